"""Names and bounds of the control part."""

STATUS_ACCEPTED = "accepted"
STATUS_CONFLICT = "conflict"
STATUS_INVALID = "invalid"
STATUS_UNKNOWN = "unknown"
STATUS_NOT_LEADER = "not-leader"
STATUS_EXPIRED_ID = "expired-id"
STATUS_GRANTED = "granted"
STATUS_UNKNOWN_HOST = "unknown-host"
STATUS_OK = "ok"
STATUS_FULL = "full"

CLAIM_TAKEN = "taken"
CLAIM_RUNNING = "running"
CLAIM_FINISHED = "finished"
CLAIM_ORPHANED = "orphaned"
CLAIM_MISMATCH = "mismatch"
CLAIM_VOIDED = "voided"
CLAIM_FULL = "full"
CLAIM_ABSENT = "absent"

ACTION_TAKE = "take"
ACTION_FINISH = "finish"
ACTION_VOID = "void"
ACTION_FIND = "find"

ROLE_DISPATCH = "dispatch"

MAX_CHANGE_IDS = 20_000
"""Outcomes of changes that are kept, besides their age."""

UPSTREAM_READY = "ready"
UPSTREAM_LEAVING = "leaving"
UPSTREAM_SILENT = "silent"
UPSTREAM_GONE = "gone"

UNSPECIFIED_INCARNATION = -1
"""Stands for the incarnation of a departure that does not say whose it is."""

ALL_INCARNATIONS = 2**62
"""Stands for an incarnation that is higher than any: all of that name are gone."""

MAX_UPSTREAMS = 8192
"""Upstreams that are registered at once; more are turned away.

Each takes some 0.3 kB in the log, in each snapshot and at each host, and a faulty
sender of announcements could name new ones without end.
"""

MAX_GONE_UPSTREAMS = 4096
"""Names of upstreams remembered as gone; a late announcement revives none of them.

A fleet of 600 that is replaced whole once an hour fills it in seven hours, while an
announcement is delayed by seconds.
"""

MAX_CLAIMS = 100_000
MAX_CLAIMS_PER_WORKSPACE = 50_000
"""Claims that are kept; one workspace can't use up the room of all."""

MAX_PATCHES = 64
"""Newest changes kept as patches; a node further behind gets the whole."""

TICK = 0.25
"""Seconds between two looks at sessions and owners."""

TIME_STAMP_INTERVAL = 600.0
"""Seconds after which the leader commits the time though nothing else happens."""

LEADER_WAIT = 0.4
"""Seconds for which a heartbeat waits here while no leader is known.

A host that lost its lease hears of the new leader at once, without asking so often that
many hosts would keep control busy. Shorter than the host waits for its answer.
"""

CONFIRM_TIMEOUT = 0.5
PROPOSE_TIMEOUT = 1.5
"""Seconds; both end before the caller's link_call timeout."""

MAX_REPLACED_INCARNATIONS = 4
"""Incarnations of a host that are remembered as replaced."""

HEARTBEATS_PER_SECOND = 400
"""Heartbeats that one leader asks for at most; many nodes send them more rarely."""

NEW_HOST_HEARTBEAT_INTERVAL = 0.1
"""Seconds from the first heartbeat of a host that had no lease to its second one."""

MIN_HEARTBEATS_PER_LEASE = 3
"""Heartbeats in a lease at least, so that a lost one does not end the lease."""

SESSION_TIMEOUT = 60.0
"""Seconds after which a silent host is no longer in the directory."""

LARGE_CONFIG_BYTES = 16 * 1024
"""A larger configuration is checked in a thread."""

MAX_CONFIG_BYTES = 1024 * 1024
"""Of a configuration as it is kept; a quarter of what a frame of links holds.

Were one accepted that no frame can carry, no node could get it, and all of them
would lose their leases.
"""
MAX_ID_LENGTH = 128

CONCURRENT_CLAIM_GROUPS = 4
"""Groups of claims that may wait for their commit at once."""

MAX_WAITING_CLAIMS = 4096
"""Claims that may wait for room in a group; more are turned away at once."""

MAX_CLAIMS_PER_GROUP = 256
"""Claims in one command of the log."""
