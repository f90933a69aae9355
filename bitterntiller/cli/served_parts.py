"""Which part of the requests was served, by service, size and route."""

from collections.abc import Iterable
from typing import NamedTuple

from bitterntiller.cli.request_trace import Line

LARGEST_PART = 0.1
"""The part of a service's requests, by their tokens, that counts as its largest."""

_ENDS = ("ended", "refused")


class ServedPart(NamedTuple):
    """Requests of a service: those of a route, the largest ones, or all of them."""

    service: str
    which: str


class Served(NamedTuple):
    """How many requests asked, and how many of them were served."""

    asked: int
    served: int


def served_by_part(lines: Iterable[Line]) -> dict[ServedPart, Served]:
    """Return what was served of each service, its largest requests and its routes.

    Lines that don't name a service, of requests whose head was refused, are left out.
    """
    by_service: dict[str, list[Line]] = {}
    for line in lines:
        service = str(line.fields.get("service") or "")
        if line.event in _ENDS and service:
            by_service.setdefault(service, []).append(line)
    found: dict[ServedPart, Served] = {}
    for service in sorted(by_service):
        ends = by_service[service]
        found[ServedPart(service, "all")] = _served(ends)
        largest = _largest(ends)
        if largest:
            found[ServedPart(service, "largest tenth")] = _served(largest)
        for route in sorted({_route(line) for line in ends} - {""}):
            of_route = [line for line in ends if _route(line) == route]
            found[ServedPart(service, f"route {route}")] = _served(of_route)
    return found


def _served(ends: list[Line]) -> Served:
    done = sum(line.fields.get("outcome") == "done" for line in ends)
    return Served(len(ends), done)


def _largest(ends: list[Line]) -> list[Line]:
    sized = [line for line in ends if line.fields.get("tokens") is not None]
    sized.sort(key=lambda line: -line.fields["tokens"])
    return sized[: max(1, int(LARGEST_PART * len(sized)))] if sized else []


def _route(line: Line) -> str:
    return str(line.fields.get("route") or "")
