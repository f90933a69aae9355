"""Summarize from logs which responses their callers did not get whole."""

from collections.abc import Iterable
from typing import NamedTuple

from bitterntiller.cli.request_trace import CUT, LogEvent


class CutCause(NamedTuple):
    """Who cut responses and why, of the requests of one service and route.

    route is empty in a deployment without routes.
    """

    by: str
    reason: str
    service: str
    route: str


class CutResponses(NamedTuple):
    """Responses that were cut for one cause.

    begun counts those of which the caller had the head. changed counts those during
    which the configuration changed.
    """

    cause: CutCause
    count: int
    begun: int
    changed: int


def summarize_cuts(events: Iterable[LogEvent]) -> list[CutResponses]:
    """Return the cut responses by cause, the most frequent first."""
    found: dict[CutCause, list[LogEvent]] = {}
    for event in events:
        if event.kind == CUT:
            names = (str(event.fields.get(key) or "") for key in CutCause._fields)
            found.setdefault(CutCause(*names), []).append(event)
    counts = [_counted(cause, cuts) for cause, cuts in found.items()]
    return sorted(counts, key=lambda item: (-item.count, item.cause))


def _counted(cause: CutCause, cuts: list[LogEvent]) -> CutResponses:
    return CutResponses(
        cause=cause,
        count=len(cuts),
        begun=sum(bool(event.fields.get("started")) for event in cuts),
        changed=sum(_changed(event) for event in cuts),
    )


def _changed(event: LogEvent) -> bool:
    return event.fields.get("config_version") != event.fields.get("config_now")
