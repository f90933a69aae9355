"""Constants of the orders component."""

KIND_LOAD = "load"
KIND_UNLOAD = "unload"
KIND_ROLE = "role"

LABEL_BY_KIND = {
    KIND_ROLE: "order_role",
    KIND_UNLOAD: "order_unload",
    KIND_LOAD: "order_load",
}
"""Service labels that request orders; unloads precede loads, to make room."""

LABEL_GENERATION = "order_generation"
DEFAULT_LOADS_AT_ONCE = 1
DEFAULT_SECONDS = 120.0

UPSTREAM_LABEL_FENCING = "fencing"
UPSTREAM_LABEL_ORDERS = "orders"
UPSTREAM_LABEL_LOADED = "loaded"
UPSTREAM_LABEL_ROLE = "role"
FENCING_CHECKED = "checked"
ORDERS_IDEMPOTENT = "idempotent"

STATE_SENDING = "sending"
STATE_DONE = "done"
STATE_REFUSED = "refused"
STATE_STALE = "stale"
STATE_UNKNOWN = "unknown"
STATE_NOT_SENT = "not-sent"

TARGET = "/v1/orders"
MAX_RESPONSE_BYTES = 64 * 1024
CLAIM_WORKSPACE = "/orders"
"""Can't collide with a workspace, as workspace names contain no slash."""

MAX_RECORDS = 2000
"""Completed orders of a pool whose records are kept."""

TICK = 0.5
RETRY_PAUSE = 5.0
ANNOUNCEMENT_TIMEOUT = 10.0
"""Seconds; an upstream without a newer announcement gets no orders."""

CONNECT_TIMEOUT = 1.0
CLAIM_TIMEOUT = 3.0
