"""Builders of what a soak has seen."""

from typing import Any

from soak.checks import Evidence
from soak.schedule import Kind as TroubleKind
from soak.schedule import Trouble
from soak.troubles import Applied
from tests.platform.callers import Response
from tests.platform.crashing_parts import Sent
from tests.platform.endless_engine import Held
from tests.platform.silent_callers import Answer, Kind
from tests.platform.soak_fleet import PINS
from tests.platform.stream_versions import EVENTS, Stream, Take

CALM, ENDED = 100.0, 110.0


def evidence(**changes: Any) -> Evidence:
    """Return evidence of nothing."""
    nothing: dict[str, Any] = {
        "runs": {},
        "calls": [],
        "streams": [],
        "answers": [],
        "broken_off": frozenset(),
        "cut_lines": {},
        "held": [],
        "prompts": [],
        "crashes": [],
        "arrivals": [],
        "applied": [],
        "late": [],
        "calm": CALM,
        "ended": ENDED,
        "used": {},
        "acknowledged": [],
        "read": [],
        "accepted_badly": 0,
        "errors": [],
        "files_before": {},
        "files_after": {},
        "left": [],
    }
    return Evidence(**(nothing | changes))


def call(**changes: Any) -> Response:
    """Return the response to a call that was served."""
    served = Response(105.0, "127.0.0.9", "whole", "a1", f"{PINS}1", 200, b"tile")
    return served._replace(**changes)


def stream(*numbers: int, versions: str = "", done: bool = True) -> Stream:
    """Return a stream of one attempt; versions names that of each event."""
    numbers = numbers or tuple(range(1, EVENTS + 1))
    names = versions or "1" * len(numbers)
    events = tuple(zip(numbers, names, strict=True))
    return Stream(105.0, (Take("127.0.0.9", 0, 200, events, done, 0.1),))


def answer(**changes: Any) -> Answer:
    """Return an answer that was broken off at 105.0, six seconds too early."""
    broken = Answer(
        kind=Kind.RESUMABLE,
        ip="127.0.0.9",
        request_id="s1",
        at=102.0,
        ended=105.0,
        deadline=111.0,
        status=200,
        complete=False,
        whole=False,
        events=7,
        left=False,
        detail="IncompleteRead",
    )
    return broken._replace(**changes)


def held(beyond: float | None) -> Held:
    """Return a connection with bytes without end, its deadline at 106.0.

    It was open for so many seconds after that, or is open still.
    """
    closed = None if beyond is None else 106.0 + beyond
    return Held("s1", 104.0, 106.0, closed)


def refused_stream() -> Stream:
    """Return a stream that did not begin."""
    return Stream(105.0, (Take("127.0.0.9", 0, 503, (), False, None),))


def sent(**changes: Any) -> Sent:
    """Return the first attempt of a sound prompt that began."""
    return Sent(105.0, "sound", True, 200, True, None, b"")._replace(**changes)


def applied(
    kind: TroubleKind,
    began: float,
    ended: float,
    names: tuple[str, ...] = ("a",),
    mode: str = "",
) -> Applied:
    """Return a trouble as it was applied."""
    trouble = Trouble(0.0, ended - began, kind, (0,), mode)
    return Applied(trouble, began, ended, names)
