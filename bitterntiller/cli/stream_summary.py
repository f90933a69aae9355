"""Summarize from logs which streams were taken up, and whether they went on."""

from collections.abc import Iterable
from typing import NamedTuple

from bitterntiller.cli.request_trace import LogEvent

REFUSED_CONTINUATIONS = frozenset({"unknown-origin", "version-gone", "service-changed"})
"""Reasons for which only a request is refused that continues a stream."""


class ContinuedStreams(NamedTuple):
    """Requests of one service that continue a stream of one version.

    version is empty for requests of which it isn't known. gone_on counts those that
    brought an event or the end of the stream, refused_by_reason the others that were
    refused.
    """

    service: str
    version: str
    taken_up: int
    gone_on: int
    refused_by_reason: dict[str, int]


def summarize_streams(events: Iterable[LogEvent]) -> list[ContinuedStreams]:
    """Return the counts by service and version."""
    kept = list(events)
    version_by_request = {
        event.request: str(event.fields.get("version", ""))
        for event in kept
        if event.kind == "sent"
    }
    continuing = {
        event.request
        for event in kept
        if event.kind in ("sent", "refused") and _continues(event)
    }
    found: dict[tuple[str, str], list[LogEvent]] = {}
    for event in kept:
        if event.kind in ("ended", "refused") and event.request in continuing:
            service = str(event.fields.get("service", ""))
            version = version_by_request.get(event.request, "")
            found.setdefault((service, version), []).append(event)
    return [_counted(*key, found[key]) for key in sorted(found)]


def _continues(event: LogEvent) -> bool:
    if event.fields.get("reason") in REFUSED_CONTINUATIONS:
        return True
    return event.fields.get("caller_after", 0) > 0


def _counted(service: str, version: str, ends: list[LogEvent]) -> ContinuedStreams:
    refused: dict[str, int] = {}
    gone_on = 0
    for event in ends:
        if event.kind == "refused":
            reason = str(event.fields.get("reason", ""))
            refused[reason] = refused.get(reason, 0) + 1
        elif event.fields.get("output") or event.fields.get("outcome") == "done":
            gone_on += 1
    return ContinuedStreams(service, version, len(ends), gone_on, refused)
