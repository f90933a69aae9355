"""Rules for which upstream versions may get requests, as received from control."""

from collections.abc import Mapping
from typing import Any

from bitterntiller.components.rollouts.const import LABEL_VERSION
from bitterntiller.components.rollouts.models import ANY_VERSION, VersionRules


class NodeVersions:
    """The latest version rules; a core VersionsView."""

    def __init__(self) -> None:
        self.version = 0
        self._rules_by_service: dict[str, VersionRules] = {}

    def apply(self, listed: Any) -> bool:
        """Apply a messages.VersionRulesList; return whether it is newer.

        The version is a log index, so a delayed list has a lower one.
        """
        if listed is None or listed.version <= self.version:
            return False
        self.version = listed.version
        self._rules_by_service = {
            item.pool: VersionRules(
                item.serving, item.candidate, item.denied, item.number
            )
            for item in listed.rules
        }
        return True

    def rules(self, service: str) -> VersionRules:
        """Return the rules of a service; any version is allowed if it has none."""
        return self._rules_by_service.get(service, ANY_VERSION)

    def may_run(self, service: str, labels: Mapping[str, str]) -> bool:
        """Return whether an upstream with these labels may get a service's requests."""
        return self.rules(service).may_run(labels.get(LABEL_VERSION, ""))

    def describe(self) -> dict[str, Any]:
        """Return the rules for the state dump."""
        return {
            "version": self.version,
            "rules_by_service": {
                service: rules._asdict()
                for service, rules in self._rules_by_service.items()
            },
        }
