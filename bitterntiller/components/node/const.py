"""Constants of the node component."""

from bitterntiller.core.clock import MAX_CLOCK_DRIFT as MAX_CLOCK_DRIFT

STATUS_GRANTED = "granted"
STATUS_NOT_LEADER = "not-leader"
STATUS_OK = "ok"
STATUS_UNKNOWN = "unknown"

ATTEMPTS_PER_LEASE = 4
"""A heartbeat times out after a lease divided by this number."""

LARGE_CONFIG_BYTES = 16 * 1024
"""A larger configuration is parsed in a thread, also after a small change to it.

Parsing one with 950 workspaces takes 40 ms; in the event loop it would stall all
responses that stream through this host for that time.
"""

MAX_RETRY_PAUSE = 0.3
"""Seconds; bounds the load of many nodes on control while it has no leader.

Short enough to find a new leader before the lease ends.
"""

RETRY_PAUSE = 0.1
"""Seconds before the next attempt after a failed call to control."""

MAX_DOWNLOAD_TURN = 0.8
"""Seconds for which a configuration is loaded between two heartbeats.

Control reassigns the pools of hosts whose heartbeats stop.
"""
