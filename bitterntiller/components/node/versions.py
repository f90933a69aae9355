"""Which versions of upstreams may get requests, as a node last heard from control."""

from collections.abc import Mapping
from typing import Any

from bitterntiller.components.rollouts.const import LABEL_VERSION
from bitterntiller.components.rollouts.models import ANY_VERSION, VersionRules


class NodeVersions:
    """The newest version rules; a core VersionsView."""

    def __init__(self) -> None:
        self.version = 0
        self._rules_by_service: dict[str, VersionRules] = {}

    def apply(self, listed: Any) -> bool:
        """Take a messages.VersionRulesList; tell whether it is newer than the one held.

        The version is an index of the log: an overtaken list is known by a lower one.
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
        """Return the rules of a service; any version may serve one without."""
        return self._rules_by_service.get(service, ANY_VERSION)

    def may_run(self, service: str, labels: Mapping[str, str]) -> bool:
        """Tell whether an upstream with these labels may get requests of a service."""
        return self.rules(service).may_run(labels.get(LABEL_VERSION, ""))

    def describe(self) -> dict[str, Any]:
        """Return the rules for the dump of the process."""
        return {
            "version": self.version,
            "rules_by_service": {
                service: rules._asdict()
                for service, rules in self._rules_by_service.items()
            },
        }
