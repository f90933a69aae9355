"""Names and bounds of the node part."""

from bitterntiller.core.clock import MAX_CLOCK_DRIFT as MAX_CLOCK_DRIFT

STATUS_GRANTED = "granted"
STATUS_NOT_LEADER = "not-leader"
STATUS_UNKNOWN = "unknown"

ATTEMPTS_PER_LEASE = 4
"""A heartbeat waits no longer than this part of a lease for its reply."""

LARGE_CONFIG_BYTES = 16 * 1024
LARGE_CONFIG_WORKSPACES = 50
"""A configuration beyond either is parsed in a thread.

One of 950 workspaces takes 40 ms: in the event loop, all answers that stream
through this host would stand still for as long.
"""

MAX_RETRY_PAUSE = 0.3
"""Seconds; while control has no leader, many nodes must not keep it busy.

Short enough to find a new leader before the lease ends.
"""

RETRY_PAUSE = 0.1
"""Seconds before the addresses of control are tried again from the first."""
