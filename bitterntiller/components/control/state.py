"""The state machine of the replicated log."""

import json
from collections.abc import Callable, Mapping
from typing import Any

from bitterntiller.components.config.route_services import (
    RouteServices,
    ServicesByRoute,
)
from bitterntiller.components.control.claims import ClaimsState
from bitterntiller.components.control.configuration import ConfigurationState
from bitterntiller.components.control.const import ROUTE_SERVICES_KEPT_MS
from bitterntiller.components.control.ownership import OwnershipState
from bitterntiller.components.control.service_versions import ServiceVersionsState
from bitterntiller.components.control.upstreams import UpstreamsState
from bitterntiller.components.rollouts.state import RolloutsState
from bitterntiller.protocol import decode, encode, messages

FindServices = Callable[[Mapping[str, Any]], ServicesByRoute]
"""Returns the services of each route of a configuration document."""


def without_routes(_document: Mapping[str, Any]) -> ServicesByRoute:
    """Return no services, for a dialect without routes."""
    return {}


class ControlState:
    """Configuration, owners, upstreams, rollouts and claims; a core StateMachine.

    Deterministic: everything that depends on a clock or on settings is part of the
    command, so that replicas with different settings reach the same state.
    find_services is that of the dialect, and doesn't raise for accepted documents.
    """

    def __init__(self, find_services: FindServices = without_routes) -> None:
        self._find_services = find_services
        self.time_ms = 0
        self.applied = 0
        self.configuration = ConfigurationState()
        self.ownership = OwnershipState()
        self.claims = ClaimsState()
        self.upstreams = UpstreamsState()
        self.rollouts = RolloutsState()
        self.service_versions = ServiceVersionsState()
        self.route_services = RouteServices(ROUTE_SERVICES_KEPT_MS)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply an encoded messages.Command; return a messages.CommandResult."""
        message = decode(messages.Command, command)
        # A leader's clock may lag behind its predecessor's. Ages must not decrease, or
        # an outcome that was already dropped could be needed again.
        self.time_ms = max(self.time_ms, message.time_ms)
        self.applied = index
        self.configuration.expire(message.forget_changes_ms)
        self.claims.expire(message.forget_claims_ms)
        return encode(self._apply(index, message))

    def _apply(self, index: int, message: Any) -> Any:
        result = messages.CommandResult()
        if message.change is not None:
            version = self.configuration.version
            result.change = self.configuration.apply(message.change, self.time_ms)
            if self.configuration.version != version:
                self.route_services.update(self._present_services(), self.time_ms)
        if message.claims is not None:
            result.claims = [
                self.claims.apply(claim, self.time_ms) for claim in message.claims
            ]
        if message.assignments is not None:
            self.ownership.assign(index, message.assignments)
        if message.release is not None:
            self.ownership.release(message.release)
        if message.upstreams is not None:
            self.upstreams.apply(index, message.upstreams)
            self._update_service_versions()
            if message.settle_versions:
                self.rollouts.update_serving_versions(index, self.upstreams.by_name)
        self._apply_rollouts(index, message, result)
        return result

    def _update_service_versions(self) -> None:
        self.service_versions.update(self.upstreams.by_name.values(), self.time_ms)

    def _present_services(self) -> ServicesByRoute:
        return self._find_services(self.configuration.document)

    def _apply_rollouts(self, index: int, message: Any, result: Any) -> None:
        if message.rollout is not None:
            result.rollout = self.rollouts.start_rollout(
                index, message.rollout, self.time_ms
            )
        if message.rollout_report is not None:
            result.rollout_report = self.rollouts.record_report(message.rollout_report)
        if message.rollout_step is not None:
            self.rollouts.apply_step(index, message.rollout_step, self.time_ms)

    def snapshot(self) -> bytes:
        """Return the whole state as JSON."""
        document = {
            "time_ms": self.time_ms,
            "applied": self.applied,
            "configuration": self.configuration.to_document(),
            "ownership": self.ownership.to_document(),
            "claims": self.claims.to_document(),
            "upstreams": self.upstreams.to_document(),
            "rollouts": self.rollouts.to_document(),
            "service_versions": self.service_versions.to_document(),
            "route_services": self.route_services.to_document(),
        }
        return json.dumps(document, separators=(",", ":")).encode()

    def restore(self, data: bytes) -> None:
        """Replace the state by one that snapshot() returned."""
        document = json.loads(data)
        self.time_ms = document["time_ms"]
        self.applied = document["applied"]
        self.configuration.from_document(document["configuration"])
        self.ownership.from_document(document["ownership"])
        self.claims.from_document(document["claims"])
        # Snapshots written by earlier versions lack these sections.
        self.upstreams = UpstreamsState()
        if "upstreams" in document:
            self.upstreams.from_document(document["upstreams"])
        self.rollouts.from_document(document.get("rollouts") or {})
        self.service_versions.from_document(document.get("service_versions") or {})
        self._update_service_versions()
        self.route_services.from_document(
            document.get("route_services") or {}, self._present_services()
        )
