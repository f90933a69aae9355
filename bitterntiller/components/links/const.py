"""Constants of the links between hosts."""

MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_HANDSHAKE_BYTES = 4096
MAX_CALLS_PER_CONNECTION = 2000
SMALL_CALL_BYTES = 4096
"""A call of up to this size is handled whatever the others hold."""

LENGTH_BYTES = 4
NONCE_BYTES = 32
READ_BYTES = 65536

HANDSHAKE_TIMEOUT = 2.0
CONNECT_TIMEOUT = 0.3
"""Seconds to open a connection.

A host without power does not respond, and the kernel retries the SYN only after 1 s.
An attempt that begins just before the host is up must not take that second, since
replicas that start together wait for each other. 0.3 s are many round trips, even
between regions.
"""

KEEPALIVE_TIMEOUT = 4
"""Seconds of silence after which the kernel closes a connection."""

STREAM_USER_TIMEOUT = 60
"""Seconds for which the reader of a connection that carries no messages may pause. It
passes on what a caller reads, who may pause for half as long."""

RECONNECT_DELAY = 0.1
"""Seconds in which messages to an unreachable host fail without a new attempt."""

LIVENESS_CHECK_PERIOD = 0.3
MAX_SILENT_PERIODS = 3
"""A connection is closed if data was sent and nothing, not even the reply to a ping,
was received for this many periods. That is 0.9 to 1.2 s: several times the longest
pause of a process, and less than a configuration lease allows."""

FAULT_UNAUTHORIZED = 401
FAULT_MALFORMED = 400
FAULT_NO_HANDLER = 404
FAULT_BUSY = 429
FAULT_INTERNAL = 500

METRIC_WRONG_KEY = "links.wrong_key"
METRIC_MALFORMED = "links.malformed"
METRIC_HANDLER_ERROR = "links.handler_error"
METRIC_QUEUE_FULL = "links.queue_full"
METRIC_BUSY = "links.busy"
METRIC_TOO_LONG = "links.too_long"
METRIC_SILENT = "links.silent"
METRIC_SENT_BYTES = "links.sent_bytes"
METRIC_RECEIVED_BYTES = "links.received_bytes"
