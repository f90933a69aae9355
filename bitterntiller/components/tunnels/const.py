"""Constants of tunnels; times in seconds."""

PURPOSE = "tunnel"
LENGTH_BYTES = 4
COUNT_BYTES = 8
READ_BYTES = 16 * 1024
MAX_PART_BYTES = 64 * 1024

MAX_TUNNELS = 256
"""Tunnels that a host carries for others. Each takes two connections and two buffers of
READ_BYTES."""

REQUEST_TIMEOUT = 1.0
"""Time within which a peer must say where its tunnel leads."""

MAX_CONNECT_SECONDS = 1.0

CLOSE_CHECK_SECONDS = 0.1
"""Time between checks whether the asking host has closed a tunnel whose upstream reads
nothing."""

DELIVERY_CHECK_SECONDS = 0.02
"""Time between checks how much an upstream has received after its end."""

RELAY_CONNECT_SECONDS = 0.3
"""Time that another host gets to connect to an upstream."""

OPEN_SECONDS = 0.8
"""Time within which a tunnel must be open, with the connection to its host."""

MAX_RELAYS = 3
"""Hosts that are tried for one attempt of a request."""

HEDGE_SECONDS = 0.1
SUSPECT_HEDGE_SECONDS = 0.03
"""Time after which a second way is tried beside a connection that isn't established;
the second one after a path of this host has failed silently."""

PROBE_CHECK_SECONDS = 0.25
"""Time between checks for failed paths whose probe is due."""

PROBE_SECONDS = 0.3
PROBE_ANSWER_SECONDS = 0.3
"""Time that a probe may take to connect, and to be answered."""

SETTLE_SECONDS = 0.7
"""Longest time that a request waits for the result of a check of its path."""

CHECK_ANSWER_SECONDS = 2.0
LATE_ANSWER_SECONDS = 0.1
"""Longest time that the probe of a check may take to be answered while other hosts are
asked, and the part of it after another host was answered: an upstream that was silent
answers both once it goes on."""

PADDING_HEADER = b"x-padding"
"""Header that makes a probe as long as the request that was lost."""

STATUS_OK = "ok"
STATUS_REFUSED = "refused"
STATUS_UNREACHABLE = "unreachable"
STATUS_BUSY = "busy"
STATUS_STOPPING = "stopping"
STATUS_INVALID = "invalid"

METRIC_OPENED = "tunnels.opened"
METRIC_FAILED = "tunnels.failed"
METRIC_CARRIED = "tunnels.carried"
METRIC_REJECTED = "tunnels.rejected"
