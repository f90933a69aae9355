"""Constants of the replicated log."""

from enum import IntEnum


class EntryKind(IntEnum):
    """Kind of a log entry."""

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
"""Entries kept before a snapshot's index, so that a follower that lags by less needs
no snapshot; the budget limits their bytes."""

DEFAULT_STARTUP_CHECK_GRACE = 2.0
"""Seconds that a starting replica waits for the replies of all other voters."""

DEFAULT_FIRST_ELECTION_SPACING = 0.04
"""Seconds between the first campaigns of two voters that start together.

With five voters, control has a leader 0.07 s after the last voter is up, and 0.61 s
after it if each waits for an election timeout (means over three power losses).

A campaign takes two round trips and a sync on each side: 3 ms between zones and 5 ms
per sync. With longer delays, as between regions, two voters may campaign at the same
time, and one of them retries.
"""

DEFAULT_LEADERLESS_TIMEOUT = 10.0
"""Seconds without a leader after which a replica repeats its startup check."""

DEFAULT_SILENT_VOTER_TIMEOUT = 2.0
"""Seconds of silence after which a voter is replaced by a learner that has caught up.

Longer than the longest election timeout, so that a voter that only restarts stays a
voter; short enough for its replacement to vote within 4 s of its start.
"""

FORMATION_TIMEOUT = 4.0
"""Seconds after the takeover of a leader for which the first commands of a deployment
wait for its other hosts: these start and catch up in less."""

MAX_MEMBERS = 16
"""Replicas of one log, including learners; each costs the leader a heartbeat."""

NO_VOTE = ""
VOTE_BARRED = "-"
"""Vote of a term in which this replica may have cast a vote that it has forgotten; it
does not vote in that term."""

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

SMALL_COMMAND_BYTES = 16 * 1024
SMALL_COMMANDS_FRACTION = 0.25
"""Part of the budget of unapplied entries that only small commands may use, so that
announcements and times of control don't wait for large configurations."""

STATUS_COMMITTED = "committed"
STATUS_FULL = "full"
STATUS_UNKNOWN = "unknown"
