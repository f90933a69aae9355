"""Constants of HTTP towards callers, operators and upstreams."""

READ_BYTES = 65536
BODYLESS_STATUSES = frozenset({204, 304})

STATUS_TEXT: dict[int, bytes] = {
    200: b"OK",
    202: b"Accepted",
    204: b"No Content",
    400: b"Bad Request",
    401: b"Unauthorized",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

METRIC_BAD_REQUEST = "http.bad_request"
METRIC_CONNECTIONS_REFUSED = "http.connections_refused"
METRIC_HANDLER_ERROR = "http.handler_error"
