"""Which services and versions may have begun a route's streams, as a host knows it."""

from collections.abc import Hashable, Iterable, Mapping

from bitterntiller.components.config.models import Config, Route
from bitterntiller.components.rollouts.const import LABEL_VERSION
from bitterntiller.components.stream_versions.const import KEPT_SECONDS
from bitterntiller.components.stream_versions.models import Beginning
from bitterntiller.core.interfaces import ConfigView, UpstreamsView

RouteKey = tuple[str, str]
"""Host name and path prefix of a route."""


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
    heard of a change yet.
    """

    def __init__(self, config: ConfigView, upstreams: UpstreamsView) -> None:
        self._config = config
        self._upstreams = upstreams
        self._applied = (-1, -1)
        self._services_by_route = RecentValues()
        self._versions_by_service = RecentValues()

    def services(self, route: Route, now: float) -> frozenset[str]:
        """Return the services that may have begun a stream of a route."""
        self._update(now)
        shares = {share.service for share in route.shares}
        return self._services_by_route.values(_key(route), now) | shares

    def has_several(self, route: Route, beginning: Beginning, now: float) -> bool:
        """Return whether a route's streams may have begun in another way than one."""
        services = self.services(route, now)
        versions = self._versions_by_service.values(beginning.pool, now)
        return bool(services - {beginning.pool} or versions - {beginning.version})

    def _update(self, now: float) -> None:
        listed, changed = self._upstreams.version, self._config.version
        if (listed, changed) == self._applied:
            return
        if listed != self._applied[0]:
            self._versions_by_service.update(_versions(self._upstreams), now)
        if changed != self._applied[1]:
            self._services_by_route.update(_services(self._config.config), now)
        self._applied = (listed, changed)


def _is_recent(at: float, now: float) -> bool:
    return now - at < 2 * KEPT_SECONDS


def _key(route: Route) -> RouteKey:
    return route.host, route.prefix


def _versions(upstreams: UpstreamsView) -> dict[str, frozenset[str]]:
    return _grouped(
        (item.pool, item.labels.get(LABEL_VERSION, ""))
        for item in upstreams.by_name.values()
    )


def _services(config: Config | None) -> dict[RouteKey, frozenset[str]]:
    if config is None:
        return {}
    return {
        _key(route): frozenset(share.service for share in route.shares)
        for routes_by_prefix in config.routes_by_host.values()
        for route in routes_by_prefix.values()
    }


def _grouped(pairs: Iterable[tuple[str, str]]) -> dict[str, frozenset[str]]:
    found: dict[str, set[str]] = {}
    for key, value in pairs:
        found.setdefault(key, set()).add(value)
    return {key: frozenset(values) for key, values in found.items()}
