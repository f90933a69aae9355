"""Rollouts on the leader of control: orders, reports of owners and verdicts."""

import json
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import curio
from absl import logging

from bitterntiller.components.rollouts.const import (
    EVALUATION_PERIOD,
    IDLE_PERIOD,
    MAX_SECONDS,
    MAX_VERSION_LENGTH,
    METRIC_ORDERS,
    METRIC_VERDICTS,
    MIN_SECONDS,
    STATUS_INVALID,
    STATUS_NOT_LEADER,
    STATUS_OK,
    STATUS_UNKNOWN,
)
from bitterntiller.components.rollouts.diagnostics import (
    describe_rollout,
    describe_rollouts,
)
from bitterntiller.components.rollouts.errors import OrderError
from bitterntiller.components.rollouts.progression import (
    Progress,
    most_exposed,
    next_step,
)
from bitterntiller.components.rollouts.state import Rollout, RolloutsState, make_reply
from bitterntiller.components.settings.models import RolloutBounds
from bitterntiller.core import events
from bitterntiller.core.interfaces import Metrics
from bitterntiller.protocol import messages


class Proposer(Protocol):
    """Proposes commands to control's replicated log."""

    async def async_propose(self, **content: Any) -> Any:
        """Propose a command with this content and return its outcome."""
        ...


class RolloutLeader:
    """Handles rollout messages and evaluates rollouts while this replica leads.

    cluster_ms returns the leader's time, None on a replica that does not lead.
    async_confirm_leadership returns whether a quorum has confirmed the leadership after
    the call. services returns the names of the services in the newest configuration.
    """

    def __init__(
        self,
        state: RolloutsState,
        proposer: Proposer,
        bounds: RolloutBounds,
        metrics: Metrics,
        cluster_ms: Callable[[], int | None],
        async_confirm_leadership: Callable[[], Awaitable[bool]],
        services: Callable[[], frozenset[str]],
        leader_address: Callable[[], str],
    ) -> None:
        self._state = state
        self._proposer = proposer
        self._bounds = bounds
        self._metrics = metrics
        self._cluster_ms = cluster_ms
        self._async_confirm_leadership = async_confirm_leadership
        self._services = services
        self._leader_address = leader_address

    async def async_start_rollout(self, _sender: str, order: Any) -> Any:
        """Handle a messages.StartRollout; it is accepted only once it is committed."""
        if self._cluster_ms() is None:
            return self._with_leader(make_reply(STATUS_NOT_LEADER, None))
        try:
            self._check(order)
        except OrderError as error:
            self._metrics.count(f"{METRIC_ORDERS}.{STATUS_INVALID}")
            return self._with_leader(make_reply(STATUS_INVALID, None, error.text))
        proposed = await self._proposer.async_propose(rollout=order)
        found = make_reply(proposed.status, None)
        if proposed.result is not None:
            found = proposed.result.rollout
        self._metrics.count(f"{METRIC_ORDERS}.{found.status}")
        events.emit(
            "rollout-ordered",
            status=found.status,
            service=order.pool,
            to=order.to,
            duration=order.duration_ms / 1000,
            number=found.number,
            why=found.text,
        )
        return self._with_leader(found)

    def _check(self, order: Any) -> None:
        """Raise OrderError for an order that is invalid in any state of the service."""
        if not 0 < len(order.to) <= MAX_VERSION_LENGTH:
            raise OrderError(f"a version has 1 to {MAX_VERSION_LENGTH} characters")
        if not MIN_SECONDS <= order.duration_ms / 1000 <= MAX_SECONDS:
            text = f"a rollout takes {MIN_SECONDS:g} to {MAX_SECONDS:g} seconds"
            raise OrderError(text)
        if order.pool not in self._services():
            raise OrderError(f"the configuration has no service {order.pool!r}")

    async def async_get_rollout(self, _sender: str, request: Any) -> Any:
        """Handle a messages.GetRollout; without a pool, return all rollouts."""
        if self._cluster_ms() is None or not await self._async_confirm_leadership():
            return self._with_leader(make_reply(STATUS_NOT_LEADER, None))
        if request.pool:
            return self._with_leader(self._state.find(request.pool))
        found = make_reply(STATUS_OK, None)
        found.document = json.dumps(
            describe_rollouts(self._state, self._bounds)
        ).encode()
        return self._with_leader(found)

    async def async_report(self, _sender: str, report: Any) -> Any:
        """Handle a messages.RolloutReport of an owner; return its allowance."""
        now_ms = self._cluster_ms()
        rollout = self._state.by_service.get(report.pool)
        if now_ms is None:
            return self._refuse_report(STATUS_NOT_LEADER)
        if rollout is None or rollout.number != report.number:
            return self._state.record_report(report)
        report.told_ms = now_ms
        progress = _progress(rollout, now_ms)
        report.cap = most_exposed(progress, self._bounds)
        proposed = await self._proposer.async_propose(rollout_report=report)
        if proposed.result is None:
            return self._refuse_report(proposed.status)
        found = proposed.result.rollout_report
        found.elapsed_ms = now_ms - rollout.ordered_ms
        return found

    def _refuse_report(self, status: str) -> Any:
        return messages.RolloutReportReply(
            status=status, allowed=0, leader=self._leader_address()
        )

    def _with_leader(self, found: Any) -> Any:
        found.leader = self._leader_address()
        return found

    async def async_run(self) -> None:
        """Evaluate the active rollouts until cancelled."""
        while True:
            await curio.sleep(EVALUATION_PERIOD if self._under_way() else IDLE_PERIOD)
            await self.async_evaluate()

    def _under_way(self) -> list[Rollout]:
        rollouts = self._state.by_service.values()
        return [rollout for rollout in rollouts if rollout.phase.under_way]

    async def async_evaluate(self) -> None:
        """Commit the verdicts that are due."""
        under_way = self._under_way()
        now_ms = self._cluster_ms() if under_way else None
        if now_ms is None:
            return
        for rollout in under_way:
            progress = _progress(rollout, now_ms)
            step = next_step(progress)
            if step is None:
                continue
            message = messages.RolloutStep(
                pool=rollout.service,
                number=rollout.number,
                phase=step.phase,
                why=step.why,
            )
            evidence = describe_rollout(rollout, self._bounds)
            proposed = await self._proposer.async_propose(rollout_step=message)
            if proposed.result is None and proposed.status != STATUS_UNKNOWN:
                continue
            self._metrics.count(f"{METRIC_VERDICTS}.{step.phase}")
            logging.info(
                "rollout of %s to %s: %s, %s",
                rollout.service,
                rollout.to,
                step.phase,
                step.why,
            )
            events.emit(
                "rollout-verdict",
                service=rollout.service,
                to=rollout.to,
                number=rollout.number,
                phase=step.phase,
                why=step.why,
                elapsed=round(progress.elapsed, 3),
                committed=proposed.result is not None,
                evidence=evidence,
            )


def _progress(rollout: Rollout, now_ms: int) -> Progress:
    return Progress(
        elapsed=(now_ms - rollout.ordered_ms) / 1000,
        duration=rollout.duration_ms / 1000,
        reached=rollout.reached,
        old_running=rollout.old_running(now_ms),
        counts_by_cell=rollout.counts_by_cell(),
    )
