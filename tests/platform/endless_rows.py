"""The rows of the table of bytes without end, and those drawn from a seed."""

import random
import signal
import time
from collections.abc import Callable, Mapping
from typing import NamedTuple

from tests.platform.endless_bytes import Request, Response
from tests.platform.endless_callers import Route
from tests.platform.endless_fleet import ENTRY_IPS, EndlessFleet

TROUBLE_SECONDS = 8.0
CHANGES = 6
CHANGE_PAUSE = 0.5
SILENCE_SECONDS = 1.3
BESIDE_PAUSE = 1.0
"""Time from the beginning of the trouble to the one beside it."""

CALLS: Mapping[Route, int] = {Route.IDEMPOTENT: 12, Route.ONCE: 12}
STREAMS: Mapping[Route, int] = {Route.STREAM: 12, Route.ONCE: 12}
"""Callers of each route."""

MIN_SERVED = 0.98
MIN_SERVED_OF_TEN = 0.95
"""Least share of the callers served while there are ten connections at each host."""

Beside = Callable[[EndlessFleet], None]
"""A trouble beside the bytes without end."""


class Sent(NamedTuple):
    """What some engines send; probes states whether health checks get it too."""

    kind: Response
    slow: bool = False
    probes: bool = False


class Row(NamedTuple):
    """A row: what engines and callers send, who calls, and what happens beside it.

    The engines take turns through sent; at each entry host are so many connections of
    callers that send requests, by turns as well. long_megabytes is the size of proper
    long answers.
    """

    name: str
    sent: tuple[Sent, ...] = ()
    engines: int = 2
    requests: tuple[Request, ...] = ()
    slow_requests: bool = False
    connections: int = 1
    long_megabytes: int = 0
    callers: Mapping[Route, int] = CALLS
    seconds: float = TROUBLE_SECONDS
    beside: Beside | None = None
    min_served: float = MIN_SERVED

    @property
    def engines_are_sound(self) -> bool:
        """Whether all engines send proper answers, so that nobody has to wait."""
        return not self.sent


def change(fleet: EndlessFleet) -> None:
    """Change the configuration several times."""
    for _ in range(CHANGES):
        fleet.change()
        time.sleep(CHANGE_PAUSE)


def silence(fleet: EndlessFleet) -> None:
    """Pause a sound engine."""
    with fleet.paused(fleet.engines[-1:]):
        time.sleep(SILENCE_SECONDS)


def stop_entry(fleet: EndlessFleet) -> None:
    """Stop an entry host, and start it again."""
    fleet.stop_entry(ENTRY_IPS[0])


def reload_entry(fleet: EndlessFleet) -> None:
    """Let the entry hosts read their settings again."""
    for ip in ENTRY_IPS:
        fleet.process_by_ip[ip].signal(signal.SIGHUP)


BESIDE_BY_NAME: Mapping[str, Beside] = {
    "changes": change,
    "a silence": silence,
    "an entry host stops": stop_entry,
    "entry hosts read their settings": reload_entry,
}
CALL_KINDS = (
    Response.INTERIM_103,
    Response.INTERIM_100,
    Response.CHUNKS,
    Response.LENGTH,
    Response.UNFRAMED,
    Response.STATUS_LINE,
    Response.HEADER_LINE,
    Response.HEADER_LINES,
    Response.EXTENSION,
    Response.TRAILERS,
)
STREAM_KINDS = (Response.COMMENTS, Response.OPEN_EVENT, Response.EVENTS)
SPEED_BY_SLOW = {False: "fast", True: "slow"}


def _engine_rows() -> list[Row]:
    """Return a row for each kind and speed."""
    rows = []
    for slow, speed in SPEED_BY_SLOW.items():
        for kind in CALL_KINDS:
            rows.append(Row(f"{kind}, {speed}", (Sent(kind, slow),)))
        for kind in (*STREAM_KINDS, Response.INTERIM_103, Response.CHUNKS):
            name = f"{kind}, {speed}, streams"
            rows.append(Row(name, (Sent(kind, slow),), callers=STREAMS))
        for kind in (Response.INTERIM_103, Response.CHUNKS, Response.LOST):
            name = f"{kind}, {speed}, probes too"
            rows.append(Row(name, (Sent(kind, slow, probes=True),)))
    return rows


def _beside_rows() -> list[Row]:
    """Return rows with a further trouble."""
    return [
        Row(
            f"{kind}, {SPEED_BY_SLOW[slow]}, {name}", (Sent(kind, slow),), beside=beside
        )
        for kind, slow in ((Response.INTERIM_103, True), (Response.CHUNKS, False))
        for name, beside in BESIDE_BY_NAME.items()
    ]


def _caller_rows() -> list[Row]:
    """Return rows in which only callers send without end."""
    return [
        Row(f"callers, {kind}, {speed}", requests=(kind,), slow_requests=slow)
        for slow, speed in SPEED_BY_SLOW.items()
        for kind in Request
    ]


ROWS = (
    *_engine_rows(),
    *_beside_rows(),
    Row(
        "103, fast and chunks, slow",
        (Sent(Response.INTERIM_103), Sent(Response.CHUNKS, slow=True)),
    ),
    Row(
        "chunks, fast and length, fast",
        (Sent(Response.CHUNKS), Sent(Response.LENGTH)),
    ),
    Row("103, fast, four engines", (Sent(Response.INTERIM_103),), engines=4),
    Row("nothing"),
    Row("long answers of 20 MB", long_megabytes=20),
    Row("long answers of 100 MB", long_megabytes=100),
    *_caller_rows(),
    Row("callers, all kinds", requests=tuple(Request), connections=len(Request)),
    Row(
        "callers, ten a host",
        requests=tuple(Request),
        connections=10,
        min_served=MIN_SERVED_OF_TEN,
    ),
)


def drawn_row(seed: int) -> Row:
    """Return a row drawn from a seed."""
    draw = random.Random(seed)
    streams = draw.random() < 0.4
    kinds = (*CALL_KINDS, Response.LOST, *(STREAM_KINDS if streams else ()))
    sent = tuple(
        Sent(draw.choice(kinds), draw.random() < 0.5, draw.random() < 0.3)
        for _ in range(draw.choice((1, 1, 2)))
    )
    engines = max(len(sent), draw.randint(1, 3))
    beside = draw.choice(("", "", *BESIDE_BY_NAME))
    requests = (draw.choice(tuple(Request)),) if draw.random() < 0.25 else ()
    slow_requests = draw.random() < 0.5
    parts = [
        f"seed {seed}",
        *(
            f"{kind} {SPEED_BY_SLOW[slow]}{' with probes' if probes else ''}"
            for kind, slow, probes in sent
        ),
        f"{engines} engines",
        "streams" if streams else "calls",
        *(f"callers' {kind} {SPEED_BY_SLOW[slow_requests]}" for kind in requests),
        *([beside] if beside else []),
    ]
    return Row(
        ", ".join(parts),
        sent,
        engines=engines,
        requests=requests,
        slow_requests=slow_requests,
        callers=STREAMS if streams else CALLS,
        beside=BESIDE_BY_NAME.get(beside),
    )
