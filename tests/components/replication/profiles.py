"""Profiles of schedules: which faults occur, and how often."""

from typing import NamedTuple

from bitterntiller.components.replication.const import DEFAULT_FIRST_ELECTION_SPACING

WEIGHTS = {
    "deliver": 500,
    "pass_time": 180,
    "sync": 200,
    "propose": 50,
    "read": 12,
    "restart": 14,
    "heal": 10,
    "thaw": 12,
    "crash": 8,
    "depose": 8,
    "cut": 6,
    "freeze": 4,
    "snapshot": 6,
    "lose_disk": 1,
    "restore_old_copy": 3,
    "resize": 4,
}
FAULTS = tuple(WEIGHTS)[8:]


class Profile(NamedTuple):
    """Profile of a schedule: some faults are frequent, others are left out.

    weights can add steps that other profiles don't have. The first initial_voters
    hosts are voters at the start; grace is how many seconds a starting replica waits
    for the replies of all other voters; batch is the maximum of entries per message.
    """

    weights: dict[str, int] = {}
    faults: tuple[str, ...] = FAULTS
    hosts: str = "abcd"
    initial_voters: int = 3
    grace: float = 0.5
    first_election_spacing: float = DEFAULT_FIRST_ELECTION_SPACING
    batch: int = 3
    steps: int = 2500


MIXED = Profile()
CRASHES = Profile(
    {"crash": 60, "restart": 60, "depose": 10, "cut": 6, "propose": 90, "sync": 120},
    ("crash", "depose", "cut"),
    "abc",
    grace=0.0,
)
DEPOSED = Profile(
    {"depose": 50, "heal": 40, "restart": 60, "thaw": 40, "propose": 90, "cut": 20},
    ("depose", "cut"),
    "abc",
    batch=1,
)
COPIES = Profile(
    {"restore_old_copy": 40, "depose": 20, "cut": 20, "heal": 20, "propose": 90},
    ("restore_old_copy", "depose", "cut"),
    "abc",
    batch=1,
)
LOSSES = Profile(
    {"lose_disk": 20, "depose": 20, "cut": 20, "heal": 20, "propose": 90},
    ("lose_disk", "depose", "cut"),
    "abc",
    batch=1,
)
CHANGES = Profile(
    {"resize": 90, "depose": 30, "heal": 20, "thaw": 20, "restart": 40, "cut": 10},
    ("resize", "depose", "cut"),
    initial_voters=4,
    batch=1,
)
SNAPSHOTS = Profile(
    {"snapshot": 60, "depose": 20, "freeze": 10, "cut": 20, "propose": 120},
    ("snapshot", "depose", "cut", "freeze", "crash"),
    "abc",
)
TRANSFERS = Profile(
    {
        "transfer_leadership": 60,
        "crash": 20,
        "cut": 20,
        "heal": 20,
        "restart": 40,
        "propose": 90,
    },
    ("crash", "cut", "freeze", "resize"),
    initial_voters=4,
)
PROFILES = (MIXED, CRASHES, DEPOSED, COPIES, LOSSES, CHANGES, SNAPSHOTS, TRANSFERS)
