"""Constants of the HTTP server and client."""

READ_BYTES = 65536
CHUNK_END_BYTES = 2
UNPARSED_HEAD_FACTOR = 2
"""Bytes up to which an incomplete head is buffered, as a multiple of its limit.

The limit holds for target, names and values. What separates them must not make a head
too long that arrives in several segments, while the same head in one piece is served.
"""

MAX_HEAD_LINES = 1000
"""Lines of a head, which are parsed at once. Other servers allow 100 to 2,000."""

MAX_EMPTY_BYTES = 1024
"""Bytes of empty lines that are ignored before a request line."""

READ_TIMEOUT_CHECKS = 4
PAUSE_CHECK_SECONDS = 1.0
"""Seconds within which a paused reader is checked for READ_TIMEOUT_CHECKS times."""

UPSTREAM_KEEPALIVE_SECONDS = 10
"""Time after which a connection to an upstream whose host is gone is closed."""

LINGER_BYTES = 16 * 1024 * 1024
LINGER_SECONDS = 2.0
BODYLESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})
SKIP_SECONDS = 0.5
SKIP_BYTES = 1024 * 1024
"""Time and bytes within which a response that is read only to skip it must end."""

MAX_FETCH_BYTES = 64 * 1024 * 1024
"""Longest response that is read into memory; the state of a large host is some MB."""

MAX_INTERIM_RESPONSES = 32
"""Interim responses before a final one; proper servers send a few."""

PARTS_AT_ONCE = 16
"""Parts of a body that are parsed and joined before other tasks may run."""

SEND_AT_ONCE_BYTES = 16 * 1024
"""A request with more bytes is sent in a task while the response is awaited.

An upstream may respond before it has read a long body, and read the rest later or
never; waiting for the send to finish would miss that response. Kernels accept this many
bytes at once.
"""

DELIVERY_SECONDS = 1.0
DELIVERY_CHECK_SECONDS = 0.01
"""Time in which an upstream that has ended its response must take more of the request,
and the time between checks. Servers that linger read on at once."""

RESET_SECONDS = 0.05
"""Time in which the reset of an upstream that has closed follows its end. One that has
read the whole request sends none."""

SEND_PART_BYTES = 64 * 1024

BODYLESS_STATUSES = frozenset({204, 304})

MAX_EXCHANGES = 200
"""Requests that one connection carries; it keeps a hash of the id of each."""

DEFAULT_IDLE_LIMIT = 2.0
"""Seconds that a reused connection may be idle; many servers close after 5 s."""

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
    414: b"URI Too Long",
    417: b"Expectation Failed",
    421: b"Misdirected Request",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}

METRIC_BAD_REQUEST = "http.bad_request"
METRIC_CONNECTIONS_REFUSED = "http.connections_refused"
METRIC_HANDLER_ERROR = "http.handler_error"

REJECT_LINGER_SECONDS = 0.2
_REJECT_BODY = b'{"outcome": "not-run", "reason": "too-many-connections"}\n'
REJECT_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: 1\r\n"
    b"content-type: application/json\r\nx-outcome: not-run\r\ncontent-length: "
    + str(len(_REJECT_BODY)).encode()
    + b"\r\n\r\n"
    + _REJECT_BODY
)
