"""Names and bounds of the node part."""

STATUS_GRANTED = "granted"
STATUS_NOT_LEADER = "not-leader"
STATUS_UNKNOWN = "unknown"

MAX_CLOCK_DRIFT = 0.01
"""The part by which the rates of two hosts' clocks may differ at most.

Quartz clocks differ by less than 0.0002, and clock discipline by up to 0.0005.
"""

ATTEMPTS_PER_LEASE = 4
"""A heartbeat waits no longer than this part of a lease for its reply."""

RETRY_PAUSE = 0.1
"""Seconds before the addresses of control are tried again from the first."""
