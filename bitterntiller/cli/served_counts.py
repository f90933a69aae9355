"""Count received and served requests by service, size and route."""

from collections.abc import Iterable
from typing import NamedTuple

from bitterntiller.cli.request_trace import LogEvent

LARGEST_FRACTION = 0.1
"""Fraction of a service's requests, by token count, that count as its largest."""

_ENDS = ("ended", "refused")


class RequestGroup(NamedTuple):
    """Requests of a service: all of them, the largest ones, or those of one route."""

    service: str
    group: str


class ServedCount(NamedTuple):
    """Number of requests received, and of those served."""

    received: int
    served: int


def served_by_group(events: Iterable[LogEvent]) -> dict[RequestGroup, ServedCount]:
    """Count requests for each service, its largest requests and its routes.

    Events without a service belong to requests whose head was refused; they are
    ignored.
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
