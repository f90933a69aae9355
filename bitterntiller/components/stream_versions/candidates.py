"""Which services and versions may have begun a route's streams, as a host knows it."""

from collections.abc import Hashable, Iterable, Mapping

from bitterntiller.components.config.models import Route
from bitterntiller.components.config.route_services import (
    RouteServices,
    services_by_route,
)
from bitterntiller.components.rollouts.const import LABEL_VERSION
from bitterntiller.components.stream_versions.const import KEPT_SECONDS
from bitterntiller.components.stream_versions.models import Beginning
from bitterntiller.core.interfaces import ConfigView, UpstreamsView


class RecentValues:
    """The values that each key has, or had within twice KEPT_SECONDS."""

    def __init__(self) -> None:
        self._present: Mapping[Hashable, frozenset[str]] = {}
        self._gone_at_by_key: dict[Hashable, dict[str, float]] = {}

    def update(self, present: Mapping[Hashable, frozenset[str]], now: float) -> None:
        """Replace the present values of all keys."""
        for key, values in self._present.items():
            gone = values - present.get(key, frozenset())
            if gone:
                gone_at = self._gone_at_by_key.setdefault(key, {})
                gone_at.update(dict.fromkeys(gone, now))
        self._present = present
        self._prune(now)

    def add_recent(self, key: Hashable, values: Iterable[str], now: float) -> None:
        """Add values that a key may have had before this host was started."""
        if gone := frozenset(values) - self._present.get(key, frozenset()):
            gone_at = self._gone_at_by_key.setdefault(key, {})
            gone_at.update(dict.fromkeys(gone, now))

    def values(self, key: Hashable, now: float) -> frozenset[str]:
        """Return the present and the recent values of a key."""
        gone_at = self._gone_at_by_key.get(key, {})
        recent = {value for value, at in gone_at.items() if _is_recent(at, now)}
        return self._present.get(key, frozenset()) | recent

    def _prune(self, now: float) -> None:
        for key, gone_at in list(self._gone_at_by_key.items()):
            if not any(_is_recent(at, now) for at in gone_at.values()):
                del self._gone_at_by_key[key]


class StreamCandidates:
    """The services of each route and the versions of each service, kept up to date.

    A service may still be missing on a host that was started lately, or that has not
    heard of a change yet; the leader of control knows it then.
    """

    def __init__(self, config: ConfigView, upstreams: UpstreamsView) -> None:
        self._config = config
        self._upstreams = upstreams
        self._applied = (-1, -1)
        self._route_services = RouteServices(2 * KEPT_SECONDS)
        self._versions_by_service = RecentValues()

    def services(self, route: Route, now: float) -> frozenset[str]:
        """Return the services that may have begun a stream of a route."""
        self._update(now)
        shares = {share.service for share in route.shares}
        return self._route_services.services(route.key, now - 2 * KEPT_SECONDS) | shares

    def has_several(self, route: Route, beginning: Beginning, now: float) -> bool:
        """Return whether a route's streams may have begun in another way than one."""
        services = self.services(route, now)
        versions = self._versions_by_service.values(beginning.pool, now)
        return bool(services - {beginning.pool} or versions - {beginning.version})

    def add_recent(
        self, route: Route, beginnings: Iterable[Beginning], now: float
    ) -> None:
        """Add what may have begun streams of a route before this host was started."""
        self._update(now)
        versions_by_service = _grouped(beginnings)
        self._route_services.add_left(route.key, versions_by_service, now)
        for service, versions in versions_by_service.items():
            self._versions_by_service.add_recent(service, versions, now)

    def _update(self, now: float) -> None:
        listed, changed = self._upstreams.version, self._config.version
        if (listed, changed) == self._applied:
            return
        if listed != self._applied[0]:
            self._versions_by_service.update(_versions(self._upstreams), now)
        if changed != self._applied[1]:
            self._route_services.update(services_by_route(self._config.config), now)
        self._applied = (listed, changed)


def _is_recent(at: float, now: float) -> bool:
    return now - at < 2 * KEPT_SECONDS


def _versions(upstreams: UpstreamsView) -> dict[str, frozenset[str]]:
    return _grouped(
        (item.pool, item.labels.get(LABEL_VERSION, ""))
        for item in upstreams.by_name.values()
    )


def _grouped(pairs: Iterable[tuple[str, str]]) -> dict[str, frozenset[str]]:
    found: dict[str, set[str]] = {}
    for key, value in pairs:
        found.setdefault(key, set()).add(value)
    return {key: frozenset(values) for key, values in found.items()}
