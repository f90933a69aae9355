"""Constants of the replicated log."""

from enum import IntEnum


class EntryKind(IntEnum):
    """What an entry of the log holds."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


ATTR_REPLICA = "replica"
ATTR_BOOT = "boot"
ATTR_ROLE = "role"
ATTR_TERM = "term"
ATTR_LEADER = "leader"
ATTR_MEMBERS = "members"
ATTR_COMMIT = "commit_index"
ATTR_APPLIED = "applied_index"
ATTR_LAST = "last_index"
ATTR_STABLE = "stable_index"
ATTR_SNAPSHOT = "snapshot_index"
ATTR_QUORUM = "quorum"
ATTR_SURVIVES = "survives_losses"
ATTR_COUNTERS = "counters"

DEFAULT_BATCH_BYTES = 256 * 1024
DEFAULT_BATCH_ENTRIES = 512
DEFAULT_MAX_IN_FLIGHT = 8
DEFAULT_PIECE_BYTES = 256 * 1024
DEFAULT_MAX_UNCOMMITTED = 20000
DEFAULT_TRAILING_ENTRIES = 1000
"""Entries kept behind a snapshot, for followers that are a little behind."""

DEFAULT_SNAPSHOT_BYTES = 32 * 1024 * 1024
"""Bytes of applied entries after which the log is cut, however few they are."""

DEFAULT_STARTUP_CHECK_GRACE = 2.0
"""Seconds a returning replica waits for the answers of all other voters."""

DEFAULT_FIRST_ELECTION_SPACING = 0.04
"""Seconds between the first campaigns of two voters that were started together.

With five voters control leads 0.07 s after the last of them is up, and 0.61 s after
it when each waits for an election timeout: means of three losses of power.

A campaign takes two round trips and a sync on each side: 3 ms between zones and 5 ms a
sync. Beyond it, as between regions, two may ask at once, and one of them asks again.
"""

DEFAULT_LEADERLESS_TIMEOUT = 10.0
"""Seconds without a leader after which a replica asks about itself again."""

DEFAULT_SILENT_VOTER_TIMEOUT = 2.0
"""Seconds after which a silent voter gives its place to a learner that waits.

Longer than the longest election timeout, so that a voter that is only restarted
keeps its place; short enough for a successor to vote within 4 s of its start.
"""

MAX_MEMBERS = 16
"""Replicas of one log, learners included; each costs its leader a heartbeat."""

NO_VOTE = ""
VOTE_BARRED = "-"
"""Stands for a vote that may have been cast in this term and been forgotten."""

VERDICT_FINE = "fine"
VERDICT_STALE = "stale"
VERDICT_REMOVED = "removed"

JOIN_FRESH = "fresh"
JOIN_FORMED = "formed"
JOIN_EXISTS = "exists"
JOIN_ACCEPTED = "accepted"
JOIN_FULL = "full"
STATUS_NOT_LEADER = "not-leader"

REPAIR_DONE = "done"
REPAIR_RUNNING = "running"
REPAIR_REFUSED = "refused"

STATUS_COMMITTED = "committed"
STATUS_UNKNOWN = "unknown"
