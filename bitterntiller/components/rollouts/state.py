"""The rollouts of services; part of control's replicated state.

Order, evidence, allowances and verdict are entries of control's log: they have a single
writer and survive the loss of hosts, and a new pool owner does not start from zero.
"""

from typing import Any

from bitterntiller.components.rollouts.const import (
    DUPLICATE_ORDER_SECONDS,
    LABEL_VERSION,
    MAX_CELLS,
    MAX_SERVICES,
    OLD_RUNNING_MAX_AGE,
    STATE_READY,
    STATUS_ABSENT,
    STATUS_ACCEPTED,
    STATUS_CONFLICT,
    STATUS_INVALID,
    STATUS_OK,
)
from bitterntiller.components.rollouts.models import (
    ANY_VERSION,
    Cell,
    Counts,
    Phase,
    Totals,
    VersionRules,
)
from bitterntiller.protocol import messages


class Rollout:
    """One rollout of a service; number is the index of its order in the log.

    allotted is how many requests owners were allowed to send to the candidate version.
    why is the reason of the verdict.
    """

    def __init__(
        self, number: int, service: str, to: str, ordered_ms: int, duration_ms: int
    ) -> None:
        self.number = number
        self.service = service
        self.to = to
        self.ordered_ms = ordered_ms
        self.duration_ms = duration_ms
        self.phase = Phase.JUDGED
        self.why = ""
        self.changed_ms = ordered_ms
        self.allotted = 0
        self.totals_by_owner: dict[str, Totals] = {}
        self.counts_by_owner: dict[str, dict[Cell, Counts]] = {}

    @property
    def reached(self) -> int:
        """Number of requests that arrived for the service since the order."""
        return sum(totals.reached for totals in self.totals_by_owner.values())

    @property
    def exposed(self) -> int:
        """Number of requests that were sent to the candidate version."""
        return sum(totals.exposed for totals in self.totals_by_owner.values())

    def old_running(self, now_ms: int) -> int | None:
        """Return how many requests run on the old version, None if not known.

        Counts older than OLD_RUNNING_MAX_AGE are ignored.
        """
        oldest = now_ms - OLD_RUNNING_MAX_AGE * 1000
        reported = [
            item for item in self.totals_by_owner.values() if item.told_ms >= oldest
        ]
        return sum(item.old_running for item in reported) if reported else None

    def counts_by_cell(self) -> dict[Cell, Counts]:
        """Return the evidence summed over all owners."""
        found: dict[Cell, Counts] = {}
        for counts_by_cell in self.counts_by_owner.values():
            for cell, counts in counts_by_cell.items():
                total = found.get(cell)
                found[cell] = counts if total is None else total.plus(counts)
        return found

    def record(self, report: Any) -> None:
        """Record a messages.RolloutReport; its counts replace earlier ones."""
        self.totals_by_owner[report.owner] = Totals(
            report.reached, report.exposed, report.old_running, report.told_ms or 0
        )
        counts_by_cell = self.counts_by_owner.setdefault(report.owner, {})
        for item in report.evidence:
            cell = Cell(item.second, item.route, item.upstream)
            if cell in counts_by_cell or len(counts_by_cell) < MAX_CELLS:
                counts_by_cell[cell] = Counts(*item.counts)

    def to_document(self) -> dict[str, Any]:
        """Return the rollout for a snapshot."""
        return {
            "number": self.number,
            "service": self.service,
            "to": self.to,
            "ordered_ms": self.ordered_ms,
            "duration_ms": self.duration_ms,
            "phase": self.phase,
            "why": self.why,
            "changed_ms": self.changed_ms,
            "allotted": self.allotted,
            "totals": self.totals_by_owner,
            "evidence": {
                owner: [[*cell, *counts] for cell, counts in counts_by_cell.items()]
                for owner, counts_by_cell in self.counts_by_owner.items()
            },
        }

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> "Rollout":
        """Return the rollout in a document of to_document()."""
        made = cls(
            document["number"],
            document["service"],
            document["to"],
            document["ordered_ms"],
            document["duration_ms"],
        )
        made.phase = Phase(document["phase"])
        made.why = document["why"]
        made.changed_ms = document["changed_ms"]
        made.allotted = document["allotted"]
        made.totals_by_owner = {
            owner: Totals(*fields) for owner, fields in document["totals"].items()
        }
        made.counts_by_owner = {
            owner: {Cell(*row[:3]): Counts(*row[3:]) for row in rows}
            for owner, rows in document["evidence"].items()
        }
        return made


class RolloutsState:
    """The last rollout and the serving version of each service.

    version increases with each change of the version rules.
    """

    def __init__(self) -> None:
        self.version = 0
        self.by_service: dict[str, Rollout] = {}
        self.serving_by_service: dict[str, str] = {}

    def rules(self, service: str) -> VersionRules:
        """Return which versions of a service may get requests."""
        serving = self.serving_by_service.get(service, "")
        rollout = self.by_service.get(service)
        if rollout is None:
            return ANY_VERSION._replace(serving=serving)
        if rollout.phase is Phase.JUDGED:
            return VersionRules(serving, rollout.to, "", rollout.number)
        if rollout.phase is Phase.REVERTED:
            return VersionRules(serving, "", rollout.to, rollout.number)
        return VersionRules(serving, "", "", rollout.number)

    def rules_list(self) -> Any:
        """Return the messages.VersionRulesList of all services that have rules."""
        services = sorted(self.serving_by_service.keys() | self.by_service.keys())
        rules = []
        for service in services:
            found = self.rules(service)
            rules.append(messages.ServiceVersionRules(pool=service, **found._asdict()))
        return messages.VersionRulesList(version=self.version, rules=rules)

    def start_rollout(self, index: int, order: Any, time_ms: int) -> Any:
        """Apply a messages.StartRollout; return a messages.RolloutReply.

        A repeated order gets the reply of the first one: replies can be lost, and the
        same order must not start another rollout.
        """
        last = self.by_service.get(order.pool)
        if last is not None and last.to == order.to:
            recent = time_ms - last.ordered_ms <= DUPLICATE_ORDER_SECONDS * 1000
            if last.phase is not Phase.REVERTED or recent:
                return make_reply(STATUS_ACCEPTED, last)
        if last is not None and last.phase.under_way:
            text = f"the rollout of {order.pool} to {last.to} is under way"
            return make_reply(STATUS_CONFLICT, last, text)
        if self.serving_by_service.get(order.pool) == order.to:
            text = f"{order.pool} is served by version {order.to} already"
            return make_reply(STATUS_INVALID, last, text)
        if last is None and len(self.by_service) >= MAX_SERVICES:
            text = f"rollouts of {MAX_SERVICES} services are kept at most"
            return make_reply(STATUS_INVALID, None, text)
        rollout = Rollout(index, order.pool, order.to, time_ms, order.duration_ms)
        self.by_service[order.pool] = rollout
        self.version = index
        return make_reply(STATUS_ACCEPTED, rollout)

    def find(self, service: str) -> Any:
        """Return the messages.RolloutReply of a service's last rollout."""
        last = self.by_service.get(service)
        return make_reply(STATUS_ABSENT if last is None else STATUS_OK, last)

    def apply_step(self, index: int, step: Any, time_ms: int) -> None:
        """Apply a messages.RolloutStep, unless it is outdated.

        A delayed step of a deposed leader can arrive after the verdict of the next
        leader, or during another rollout.
        """
        rollout = self.by_service.get(step.pool)
        if rollout is None or rollout.number != step.number:
            return
        if not rollout.phase.under_way:
            return
        rollout.phase = Phase(step.phase)
        rollout.why = step.why
        rollout.changed_ms = time_ms
        if rollout.phase is Phase.COMPLETE:
            self.serving_by_service[rollout.service] = rollout.to
        self.version = index

    def record_report(self, report: Any) -> Any:
        """Apply a messages.RolloutReport; return its messages.RolloutReportReply.

        The allowance is granted here and not by the leader alone: two leaders at the
        same time would each grant all that is left.
        """
        rollout = self.by_service.get(report.pool)
        if rollout is None or rollout.number != report.number:
            return messages.RolloutReportReply(status=STATUS_ABSENT, allowed=0)
        allowed = 0
        if rollout.phase.under_way:
            rollout.record(report)
            allowed = max(0, min(report.wanted, (report.cap or 0) - rollout.allotted))
            rollout.allotted += allowed
        return messages.RolloutReportReply(
            status=STATUS_OK, allowed=allowed, phase=rollout.phase
        )

    def update_serving_versions(
        self, index: int, upstreams_by_name: dict[str, Any]
    ) -> None:
        """Update the serving versions from the upstreams registered now.

        The first version that registers serves. A version without an order serves only
        once no upstream of the serving version is ready, so that a service is not left
        without upstreams when they change version without an order.
        """
        ready_by_service: dict[str, set[str]] = {}
        for item in upstreams_by_name.values():
            version = item.labels.get(LABEL_VERSION, "")
            if item.state == STATE_READY and version:
                ready_by_service.setdefault(item.pool, set()).add(version)
        for service, ready in ready_by_service.items():
            if self.serving_by_service.get(service) not in ready:
                self._adopt_version(index, service, ready)

    def _adopt_version(self, index: int, service: str, ready: set[str]) -> None:
        rollout = self.by_service.get(service)
        if rollout is not None:
            if rollout.phase.under_way:
                return
            ready = ready - ({rollout.to} if rollout.phase is Phase.REVERTED else set())
        if ready:
            self.serving_by_service[service] = min(ready)
            self.version = index

    def to_document(self) -> dict[str, Any]:
        """Return the state for a snapshot."""
        return {
            "version": self.version,
            "serving": self.serving_by_service,
            "rollouts": [item.to_document() for item in self.by_service.values()],
        }

    def from_document(self, document: dict[str, Any]) -> None:
        """Replace the state by that of a snapshot; an empty document clears it."""
        self.version = document.get("version", 0)
        self.serving_by_service = dict(document.get("serving", {}))
        found = [Rollout.from_document(item) for item in document.get("rollouts", [])]
        self.by_service = {item.service: item for item in found}


def make_reply(status: str, rollout: Rollout | None, text: str = "") -> Any:
    """Return a messages.RolloutReply; its sender fills in the leader."""
    if rollout is None:
        return messages.RolloutReply(status=status, leader="", text=text)
    return messages.RolloutReply(
        status=status,
        leader="",
        text=text,
        to=rollout.to,
        phase=rollout.phase,
        number=rollout.number,
    )
