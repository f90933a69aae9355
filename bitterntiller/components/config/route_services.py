"""The services that each route leads to, or led to lately."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from bitterntiller.components.config.models import Config, RouteKey

ServicesByRoute = Mapping[RouteKey, frozenset[str]]

MAX_LEFT_ROUTES = 16_384
"""Routes of which earlier services are kept; those that changed first are dropped."""


class RouteServices:
    """Knows where the requests of a route may have gone since some time ago.

    A request belongs to the route with the longest prefix. A route that was added took
    over requests of shorter ones, and the requests of one that was removed went to a
    shorter one; so the services of these count as well.

    Times are numbers of any unit on one clock. Services that left more than kept units
    before an update are forgotten.
    """

    def __init__(self, kept: float) -> None:
        self._kept = kept
        self._present: ServicesByRoute = {}
        self._left_at: dict[RouteKey, dict[str, float]] = {}
        self._added_at: dict[RouteKey, float] = {}

    def update(self, present: ServicesByRoute, now: float) -> None:
        """Replace the present services of all routes, as of a time."""
        before, self._present = self._present, present
        for key, services in before.items():
            self.add_left(key, services, now)
        # The routes of the first configuration took no requests over.
        if before:
            added = sorted(present.keys() - before.keys())
            self._added_at.update(dict.fromkeys(added, now))
        self._prune(now)

    def add_left(self, key: RouteKey, services: Iterable[str], now: float) -> None:
        """Add services to which a route led until a time, but for the present ones."""
        if gone := frozenset(services) - self._present.get(key, frozenset()):
            left_at = self._left_at.pop(key, {})
            left_at.update(dict.fromkeys(sorted(gone), now))
            self._left_at[key] = left_at

    def services(self, key: RouteKey, since: float) -> frozenset[str]:
        """Return the services that a route's requests may have gone to since a time."""
        found = self._services(key, since)
        host, prefix = key
        for other_host, longer in self._left_at:
            other = (other_host, longer)
            if other == key or other in self._present or other_host != host:
                continue
            if longer.startswith(prefix):
                found |= self._services(other, since)
        if self._added_at.get(key, float("-inf")) > since:
            for shorter in _shorter_prefixes(prefix):
                found |= self._services((host, shorter), since)
        return found

    def to_document(self) -> dict[str, Any]:
        """Return what the present configuration doesn't tell, for a snapshot."""
        return {
            "left": [[*key, left_at] for key, left_at in self._left_at.items()],
            "added": [[*key, at] for key, at in self._added_at.items()],
        }

    def from_document(self, document: dict[str, Any], present: ServicesByRoute) -> None:
        """Replace the state by that of a snapshot, and by the present services."""
        self._present = present
        self._left_at = {
            (host, prefix): dict(left_at)
            for host, prefix, left_at in document.get("left", ())
        }
        self._added_at = {
            (host, prefix): at for host, prefix, at in document.get("added", ())
        }

    def _services(self, key: RouteKey, since: float) -> frozenset[str]:
        left_at = self._left_at.get(key, {})
        recent = {service for service, at in left_at.items() if at > since}
        return self._present.get(key, frozenset()) | recent

    def _prune(self, now: float) -> None:
        since = now - self._kept
        self._left_at = {
            key: kept
            for key, left_at in self._left_at.items()
            if (kept := {name: at for name, at in left_at.items() if at > since})
        }
        while len(self._left_at) > MAX_LEFT_ROUTES:
            del self._left_at[next(iter(self._left_at))]
        self._added_at = {
            key: at
            for key, at in self._added_at.items()
            if at > since and key in self._present
        }


def services_by_route(config: Config | None) -> dict[RouteKey, frozenset[str]]:
    """Return the services of each route of a configuration, none without one."""
    if config is None:
        return {}
    return {
        route.key: frozenset(share.service for share in route.shares)
        for routes_by_prefix in config.routes_by_host.values()
        for route in routes_by_prefix.values()
    }


def _shorter_prefixes(prefix: str) -> Iterator[str]:
    """Yield the prefixes of a prefix that end with a slash, the longest one first."""
    end = len(prefix) - 1
    while (end := prefix.rfind("/", 0, max(end, 0))) >= 0:
        yield prefix[: end + 1]
