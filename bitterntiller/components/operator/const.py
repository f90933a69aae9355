"""Constants of the operator port."""

from bitterntiller.components.control.const import MAX_CONFIG_BYTES

PATH_CONFIG = "/v1/config"
PATH_STATE = "/v1/state"
PATH_CONTROL = "/v1/control"
PATH_REPAIR = "/v1/control/repair"
PATH_ROLLOUTS = "/v1/rollouts"
PATH_CRASHES = "/v1/crashes"
PATH_CRASHES_CLEAR = "/v1/crashes/clear"
PATH_CRASHES_BLOCK = "/v1/crashes/block"
PATH_PLACEMENT = "/v1/placement"

HEADER_AUTHORIZATION = b"authorization"
HEADER_CONTENT_TYPE = b"content-type"
HEADER_ETAG = b"etag"
HEADER_IDEMPOTENCY_KEY = b"idempotency-key"
HEADER_IF_MATCH = b"if-match"
HEADER_RETRY_AFTER = b"retry-after"

ATTR_UPSTREAMS = "upstreams"

STATUS_ABSENT = "absent"
STATUS_ACCEPTED = "accepted"
STATUS_BAD_REQUEST = "bad-request"
STATUS_CONFLICT = "conflict"
STATUS_EXPIRED_ID = "expired-id"
STATUS_DONE = "done"
STATUS_FULL = "full"
STATUS_INVALID = "invalid"
STATUS_OK = "ok"
STATUS_REFUSED = "refused"
STATUS_RUNNING = "running"
STATUS_UNAVAILABLE = "unavailable"
STATUS_UNAUTHORIZED = "unauthorized"
STATUS_UNKNOWN = "unknown"

MAX_BODY_BYTES = MAX_CONFIG_BYTES
"""A longer one would not fit a frame to the leader, and end the link to it."""

BODY_MEMORY_PARTS = 16
"""The port's bodies may take one of so many parts of the memory of the process."""

MAX_HEAD_BYTES = 32 * 1024
MAX_CONNECTIONS = 64
MAX_QUERY_TOKENS = 10_000_000
CONTROL_TIMEOUT = 5.0
RETRY_AFTER_SECONDS = 1

METRIC_REQUESTS = "operator.requests"
METRIC_WRONG_KEY = "operator.wrong_key"
METRIC_BAD_REQUEST = "operator.bad_request"
METRIC_DIAGNOSTICS_ERROR = "operator.diagnostics_error"
