"""The schedule of a soak: which troubles come when, drawn from a seed; no I/O."""

import itertools
import random
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from tests.platform.soak_endless import ORDERS_BY_MODE
from tests.scenarios.cut_paths import MODES, OUTLIVE, REFUSE, RESET, SILENT


class Kind(StrEnum):
    """What disturbs a fleet."""

    KILL_ENTRY = "kill-entry"
    KILL_ENTRIES = "kill-entries"
    CUT_UPLOADS = "cut-uploads"
    KILL_CONTROL = "kill-control"
    KILL_ALL = "kill-all"
    STOP_ENTRY = "stop-entry"
    STOP_CONTROL = "stop-control"
    FREEZE_ENTRY = "freeze-entry"
    FREEZE_CONTROL = "freeze-control"
    LOSE_DISK = "lose-disk"
    CUT_PEERS = "cut-peers"
    CUT_ENGINES = "cut-engines"
    END_ENGINE = "end-engine"
    REPLACE_ENGINE = "replace-engine"
    LEAVE_ENGINE = "leave-engine"
    CUT_COPIES = "cut-copies"
    SILENCE_PEERS = "silence-peers"
    RELEASE = "release"
    POWER_LOSS = "power-loss"
    MOVE_ROUTE = "move-route"
    SLOW_ENGINE = "slow-engine"
    LIMIT_ENGINE = "limit-engine"
    LATE_COPIES = "late-copies"
    BREAK_STREAMS = "break-streams"
    CLOSE_DELIMITED = "close-delimited"
    PAUSE_ENGINE = "pause-engine"
    BAD_PART = "bad-part"
    HOT_HOST = "hot-host"
    CONFIGURE = "configure"
    LATE_IN_STOP = "late-in-stop"
    CONFIGURE_BADLY = "configure-badly"
    ENDLESS_ENGINE = "endless-engine"


FIRST_SECONDS = 4.0
"""Time of undisturbed load before the first trouble."""

MEAN_PAUSE = 2.5
"""Mean time between the beginnings of two series."""

PAIR_SECONDS = 2.0
"""Troubles that are so close count as coming together."""

MAX_SERIES = 3
SERIES_PAUSE = (0.3, 1.5)

_DURATION_BY_KIND: dict[Kind, tuple[float, float]] = {
    Kind.KILL_ENTRY: (0.0, 1.5),
    Kind.KILL_CONTROL: (0.0, 2.0),
    Kind.KILL_ALL: (0.0, 0.0),
    Kind.STOP_ENTRY: (0.0, 1.0),
    Kind.STOP_CONTROL: (0.0, 1.0),
    Kind.FREEZE_ENTRY: (0.2, 2.5),
    Kind.FREEZE_CONTROL: (0.2, 2.5),
    Kind.LOSE_DISK: (0.0, 1.0),
    Kind.CUT_PEERS: (0.5, 4.0),
    Kind.CUT_ENGINES: (0.5, 5.0),
    Kind.END_ENGINE: (0.0, 0.0),
    Kind.REPLACE_ENGINE: (0.0, 0.0),
    Kind.LEAVE_ENGINE: (1.0, 2.0),
    Kind.SLOW_ENGINE: (1.0, 5.0),
    Kind.LIMIT_ENGINE: (3.0, 6.0),
    Kind.BREAK_STREAMS: (1.0, 5.0),
    Kind.CLOSE_DELIMITED: (2.0, 6.0),
    Kind.PAUSE_ENGINE: (0.5, 2.2),
    Kind.BAD_PART: (3.0, 8.0),
    Kind.HOT_HOST: (3.0, 8.0),
    Kind.CONFIGURE: (0.0, 0.0),
    Kind.CONFIGURE_BADLY: (0.0, 0.0),
    Kind.ENDLESS_ENGINE: (2.0, 6.0),
    Kind.LATE_COPIES: (2.5, 4.0),
    Kind.KILL_ENTRIES: (0.0, 1.5),
    Kind.RELEASE: (1.0, 3.0),
    Kind.MOVE_ROUTE: (0.0, 0.0),
    Kind.POWER_LOSS: (0.0, 0.0),
    Kind.LATE_IN_STOP: (0.0, 1.0),
    Kind.SILENCE_PEERS: (0.2, 4.0),
    Kind.CUT_UPLOADS: (1.0, 4.0),
    Kind.CUT_COPIES: (2.5, 4.0),
}
"""Shortest and longest time in seconds; 0 for what happens at one moment."""

_SEVERAL = {
    Kind.CUT_PEERS,
    Kind.CUT_ENGINES,
    Kind.FREEZE_ENTRY,
    Kind.KILL_ENTRY,
    Kind.ENDLESS_ENGINE,
    Kind.LATE_COPIES,
    Kind.SILENCE_PEERS,
    Kind.CUT_UPLOADS,
    Kind.CUT_COPIES,
}
"""Kinds that may befall several entry hosts, or engines, at once."""

_ALL_HOSTS = {Kind.KILL_ALL, Kind.POWER_LOSS}
"""Kinds that befall all hosts; they come one at a time."""

_MODES_BY_KIND: dict[Kind, list[str]] = {
    Kind.CUT_PEERS: [SILENT, RESET, REFUSE],
    Kind.CUT_ENGINES: sorted(MODES),
    Kind.SILENCE_PEERS: [OUTLIVE],
    Kind.ENDLESS_ENGINE: list(ORDERS_BY_MODE),
}
"""How a path is cut, or which bytes an engine sends and how fast."""

PAUSED_AT_ONCE = (1, 3, 6)
"""How many engines may be paused at once; silence of all of them is the worst case."""


DISKS_LOST = 2
"""Disks that may be lost in a power loss: as many as five hosts of control bear."""


MAX_DISK_TARGET = 100


class Trouble(NamedTuple):
    """One disturbance; at and seconds are times of the run.

    targets are numbers of hosts or engines, taken modulo how many there are. mode is
    how a path is cut or what an engine sends, empty otherwise; value is a share or a
    factor.
    """

    at: float
    seconds: float
    kind: Kind
    targets: tuple[int, ...]
    mode: str = ""
    value: float = 0.0

    @property
    def ends(self) -> float:
        """Return when it ends."""
        return self.at + self.seconds


def draw(
    seed: int, seconds: float, kinds: Iterable[Kind] = tuple(Kind)
) -> tuple[Trouble, ...]:
    """Return the troubles of a run in order of time; they end within its seconds."""
    rng = random.Random(seed)
    chosen = list(kinds)
    found: list[Trouble] = []
    at = FIRST_SECONDS
    while chosen:
        at += rng.expovariate(1.0 / MEAN_PAUSE)
        if at >= seconds:
            break
        found += _series(rng, rng.choice(chosen), at)
    return tuple(sorted(item for item in found if item.ends < seconds))


def _series(rng: random.Random, kind: Kind, at: float) -> list[Trouble]:
    """Return a trouble and its repetitions, at the same or at other targets."""
    found = []
    targets = _targets(rng, kind)
    for _ in range(rng.randint(1, MAX_SERIES)):
        trouble = Trouble(
            at=at,
            seconds=rng.uniform(*_DURATION_BY_KIND[kind]),
            kind=kind,
            targets=targets,
            mode=_mode(rng, kind),
            value=rng.uniform(0.1, 0.4),
        )
        found.append(trouble)
        if kind in _ALL_HOSTS:
            break
        at = trouble.ends + rng.uniform(*SERIES_PAUSE)
        if rng.random() < 0.5:
            targets = _targets(rng, kind)
    return found


def _targets(rng: random.Random, kind: Kind) -> tuple[int, ...]:
    if kind is Kind.PAUSE_ENGINE:
        first = rng.randrange(1000)
        return tuple(range(first, first + rng.choice(PAUSED_AT_ONCE)))
    if kind is Kind.POWER_LOSS:
        return tuple(rng.sample(range(MAX_DISK_TARGET), DISKS_LOST))
    count = rng.choice((1, 1, 2)) if kind in _SEVERAL else 1
    return tuple(rng.randrange(1000) for _ in range(count))


def _mode(rng: random.Random, kind: Kind) -> str:
    modes = _MODES_BY_KIND.get(kind)
    return rng.choice(modes) if modes else ""


def pairs(troubles: Iterable[Trouble]) -> set[frozenset[Kind]]:
    """Return the pairs of kinds that come together, also two of the same kind."""
    return {
        frozenset((one.kind, other.kind))
        for one, other in itertools.combinations(troubles, 2)
        if one.at <= other.ends + PAIR_SECONDS and other.at <= one.ends + PAIR_SECONDS
    }
