"""Constants of the control plane."""

STATUS_ACCEPTED = "accepted"
STATUS_CONFLICT = "conflict"
STATUS_INVALID = "invalid"
STATUS_SUPERSEDED = "superseded"
STATUS_UNKNOWN = "unknown"
STATUS_NOT_LEADER = "not-leader"
STATUS_EXPIRED_ID = "expired-id"
STATUS_GRANTED = "granted"
STATUS_UNKNOWN_HOST = "unknown-host"
STATUS_OK = "ok"
STATUS_FULL = "full"

FULL_TEXT = "earlier changes wait for the disks of control; send this one again later"
"""Text of the reply to a change that was not proposed, as there is no room."""

BUSY_TEXT = "too many long changes are decided now; send this one again later"
"""Text of the reply to a change that was not looked at, as others take the memory."""

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
"""Upper bound on stored outcomes of changes; they also expire by age."""

OUTCOME_BYTES = 700
"""Memory of a stored outcome with a change id of MAX_ID_LENGTH characters."""

UPSTREAM_READY = "ready"
UPSTREAM_LEAVING = "leaving"
UPSTREAM_SILENT = "silent"
UPSTREAM_GONE = "gone"

UNSPECIFIED_INCARNATION = -1
"""Incarnation of a departure that does not state which incarnation has left."""

ALL_INCARNATIONS = 2**62
"""Higher than any incarnation: marks all incarnations under a name as gone."""

MAX_UPSTREAMS = 8192
"""Upstreams registered at the same time; further ones are rejected.

Each takes about 0.3 kB in the log, in each snapshot and on each host, and a faulty
sender of announcements could invent new names without limit.
"""

MAX_GONE_UPSTREAMS = 4096
"""Names of gone upstreams kept so that a late announcement can't register them again.

A fleet of 600 that is completely replaced every hour fills this in seven hours, while
announcements are delayed by seconds.
"""

VERSIONS_KEPT_SECONDS = 60.0
"""How long a version without upstreams may still have begun a stream that callers take
up: longer than a stream lasts, and than an owner without control grants requests."""

ROUTE_SERVICES_KEPT_MS = int(VERSIONS_KEPT_SECONDS * 1000)
"""The same for a service that a route doesn't lead to any more."""

MAX_CLAIMS = 100_000
MAX_CLAIMS_PER_WORKSPACE = 50_000
"""Claims that are stored; one workspace can't use the whole capacity."""

MAX_PATCHES = 64
"""Latest changes kept as patches; a node further behind gets the whole document, as it
does once the patches have as many bytes."""

TICK = 0.25
"""Seconds between two checks of sessions and owners."""

TIME_STAMP_INTERVAL = 600.0
"""Seconds without other commands after which the leader commits the cluster time."""

LEADER_WAIT = 0.4
"""Seconds for which a heartbeat waits on this host while no leader is known.

A host that lost its lease thus learns of a new leader at once, without polling at a
rate that would load control when there are many hosts. Shorter than the host's reply
timeout.
"""

CONFIRM_TIMEOUT = 0.5
PROPOSE_TIMEOUT = 1.5

COMMIT_TIMEOUT = 15.0
"""Seconds for which a change of the configuration is followed until it is committed.

Its copies wait for the same entry meanwhile; the loss of leadership ends it sooner.
"""

CHANGE_WAIT_FRACTION = 0.75
"""Part of link_call after which a caller hears that its change is still undecided.

Without any reply it would search for another leader.
"""

MAX_ACCEPTED_CHANGES = 64
"""Changes whose copies are answered without another validation."""

MAX_REPLACED_INCARNATIONS = 4
"""Replaced incarnations that are kept for each host."""

HEARTBEATS_PER_SECOND = 400
"""Most heartbeats for one leader; with many nodes, each sends them less often."""

NEW_HOST_HEARTBEAT_INTERVAL = 0.1
"""Seconds between the first and second heartbeat of a host without a lease."""

MIN_HEARTBEATS_PER_LEASE = 3
"""Minimum, so that the loss of one heartbeat does not end the lease."""

SESSION_TIMEOUT = 60.0
"""Seconds without heartbeats after which a host is removed from the directory."""

LARGE_CONFIG_BYTES = 16 * 1024
"""A larger configuration is validated in a thread."""

MAX_CONFIG_BYTES = 1024 * 1024
"""Size limit of a stored configuration; a quarter of the frame size of links.

A configuration that does not fit a frame could reach no node, and all nodes would
lose their leases.
"""

MAX_DECODED_BYTES = 32 * MAX_CONFIG_BYTES
"""Memory of a decoded configuration where the budget of the process isn't known."""

MAX_CONFIG_DEPTH = 200
"""Levels of objects and lists in a stored configuration.

Encoding, patching and snapshots recurse, a level deeper or more for each of these, and
exceed Python's recursion limit at 1000.
"""

INLINE_CONFIG_BYTES = 8 * 1024
"""Size up to which a configuration is part of the reply to a heartbeat.

Nodes load a larger one in parts: at a few Mbit/s its transfer would outlast the timeout
of a heartbeat, and each further heartbeat would start it again.
"""

CONFIG_PART_BYTES = 16 * 1024
"""Size of a part; it must arrive within link_call beside the traffic of the host."""

MAX_CONFIG_COPIES = 8
"""Latest versions that are kept compressed, so that a node that loads one of them can
finish although the configuration has changed again.
"""

MIN_CONFIG_COPIES = 2
"""Copies that are kept whatever their size: the latest, and the one before it."""

MAX_ID_LENGTH = 128

CONCURRENT_CLAIM_GROUPS = 4
"""Groups of claims that can be committed concurrently."""

MAX_WAITING_CLAIMS = 4096
"""Claims that may wait for a place in a group; further ones are rejected."""

MAX_CLAIMS_PER_GROUP = 256
"""Maximum number of claims in one command of the log."""
