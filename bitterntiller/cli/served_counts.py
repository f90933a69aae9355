"""Which part of the requests was served, by service, size and route."""

from collections.abc import Iterable
from typing import NamedTuple

from bitterntiller.cli.request_trace import LogEvent

LARGEST_FRACTION = 0.1
"""The part of a service's requests, by their tokens, that counts as its largest."""

_ENDS = ("ended", "refused")


class RequestGroup(NamedTuple):
    """Requests of a service: those of a route, the largest ones, or all of them."""

    service: str
    group: str


class ServedCount(NamedTuple):
    """How many requests asked, and how many of them were served."""

    received: int
    served: int


def served_by_group(events: Iterable[LogEvent]) -> dict[RequestGroup, ServedCount]:
    """Return what was served of each service, its largest requests and its routes.

    Lines that don't name a service, of requests whose head was refused, are left out.
    """
    by_service: dict[str, list[LogEvent]] = {}
    for event in events:
        service = str(event.fields.get("service") or "")
        if event.kind in _ENDS and service:
            by_service.setdefault(service, []).append(event)
    found: dict[RequestGroup, ServedCount] = {}
    for service in sorted(by_service):
        ends = by_service[service]
        found[RequestGroup(service, "all")] = _count_served(ends)
        largest = _largest(ends)
        if largest:
            found[RequestGroup(service, "largest tenth")] = _count_served(largest)
        for route in sorted({_route(event) for event in ends} - {""}):
            of_route = [event for event in ends if _route(event) == route]
            found[RequestGroup(service, f"route {route}")] = _count_served(of_route)
    return found


def _count_served(ends: list[LogEvent]) -> ServedCount:
    done = sum(event.fields.get("outcome") == "done" for event in ends)
    return ServedCount(len(ends), done)


def _largest(ends: list[LogEvent]) -> list[LogEvent]:
    sized = [event for event in ends if event.fields.get("tokens") is not None]
    sized.sort(key=lambda event: -event.fields["tokens"])
    return sized[: max(1, int(LARGEST_FRACTION * len(sized)))] if sized else []


def _route(event: LogEvent) -> str:
    return str(event.fields.get("route") or "")
