"""Upstreams of a pool that a workspace and a tier may use, by label selectors."""

from collections.abc import Mapping

from bitterntiller.components.config.models import Config, Selector
from bitterntiller.components.dispatch.const import (
    LABEL_CONCURRENCY,
    LABEL_RATE,
    LABEL_SHARE,
)
from bitterntiller.components.dispatch.models import WorkspaceLimits
from bitterntiller.components.rollouts.const import LABEL_VERSION

ANY = Selector()


class Eligibility:
    """Cache of the upstream names that match the selectors of workspace and tier.

    Also of the names of each version's upstreams.
    """

    def __init__(self) -> None:
        self._names_by_key: dict[tuple[str, str], frozenset[str] | None] = {}
        self._names_by_version: dict[str, frozenset[str]] = {}

    def clear(self) -> None:
        """Clear the cache after a change of labels or of the configuration."""
        self._names_by_key.clear()
        self._names_by_version.clear()

    def names_of_version(
        self, version: str, labels_by_upstream: Mapping[str, dict[str, str]]
    ) -> frozenset[str]:
        """Return the names of the upstreams of a software version."""
        if version not in self._names_by_version:
            self._names_by_version[version] = frozenset(
                name
                for name, labels in labels_by_upstream.items()
                if labels.get(LABEL_VERSION, "") == version
            )
        return self._names_by_version[version]

    def names(
        self,
        pool: str,
        workspace: str,
        tier: str,
        config: Config,
        labels_by_upstream: Mapping[str, dict[str, str]],
    ) -> frozenset[str] | None:
        """Return the names of matching upstreams, or None if there is no selector."""
        key = (workspace, tier)
        if key not in self._names_by_key:
            selectors = _selectors(pool, workspace, tier, config)
            self._names_by_key[key] = _matching_names(selectors, labels_by_upstream)
        return self._names_by_key[key]


def _selectors(pool: str, workspace: str, tier: str, config: Config) -> list[Selector]:
    found = [
        config.services_by_name.get(pool),
        config.workspaces_by_name.get(workspace),
        config.tiers_by_name.get(tier),
    ]
    return [item.selector for item in found if item and item.selector != ANY]


def _matching_names(
    selectors: list[Selector], labels_by_upstream: Mapping[str, dict[str, str]]
) -> frozenset[str] | None:
    if not selectors:
        return None
    return frozenset(
        name
        for name, labels in labels_by_upstream.items()
        if all(selector.matches(labels) for selector in selectors)
    )


def workspace_limits(config: Config) -> dict[str, WorkspaceLimits]:
    """Return the limits of each workspace from its labels."""
    return {
        name: _limits(workspace.labels)
        for name, workspace in config.workspaces_by_name.items()
    }


def _limits(labels: dict[str, str]) -> WorkspaceLimits:
    concurrency = labels.get(LABEL_CONCURRENCY)
    rate = labels.get(LABEL_RATE)
    return WorkspaceLimits(
        share=float(labels.get(LABEL_SHARE, 1.0)),
        concurrency=None if concurrency is None else int(concurrency),
        rate=None if rate is None else float(rate),
    )
