"""Reports a pool owner's counts of active rollouts to control."""

from collections.abc import Mapping
from typing import Any, Protocol

import curio

from bitterntiller.components.rollouts.const import (
    ALLOWANCE_SECONDS,
    MAX_ALLOWED,
    METRIC_EXPOSED,
    REPORT_PERIOD,
    REPORT_TIMEOUT,
    STATUS_ABSENT,
    STATUS_OK,
)
from bitterntiller.components.rollouts.models import Phase
from bitterntiller.components.rollouts.trial import Trial
from bitterntiller.core import events
from bitterntiller.core.interfaces import ControlCalls
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages


class PoolRollout(Protocol):
    """The rollout of an owned pool."""

    trial: Trial | None

    @property
    def allowance_left(self) -> int:
        """The number of requests that may still go to the candidate version."""
        ...


class PoolInRollout(Protocol):
    """A pool that this process owns."""

    name: str
    rollout: PoolRollout


class RolloutPools(Protocol):
    """The pools that this process owns, as the reporter needs them."""

    @property
    def pools_by_name(self) -> Mapping[str, Any]:
        """The owned pools, each a PoolInRollout."""
        ...

    async def async_wait_for_trial(self) -> None:
        """Return once a trial of an owned pool's service has started."""
        ...

    async def async_renew_allowance(
        self, pool: Any, number: int, more: int, until: float
    ) -> None:
        """Renew the allowance of a rollout's trial."""
        ...

    async def async_end_trial(self, pool: Any, number: int, complete: bool) -> None:
        """Apply the verdict of a rollout before the version rules contain it."""
        ...


class RolloutReporter:
    """Reports the counts of each trial and applies the allowance in the reply."""

    def __init__(
        self, runtime: Runtime, owner: RolloutPools, control: ControlCalls
    ) -> None:
        self._clock = runtime.clock
        self._metrics = runtime.metrics
        self._process = f"{runtime.settings.host}/{runtime.incarnation}"
        self._owner = owner
        self._control = control

    async def async_run(self) -> None:
        """Report until cancelled."""
        while True:
            pools = list(self._owner.pools_by_name.values())
            in_rollout = [pool for pool in pools if pool.rollout.trial is not None]
            if not in_rollout:
                await self._owner.async_wait_for_trial()
            await curio.sleep(REPORT_PERIOD)
            for pool in in_rollout:
                trial = pool.rollout.trial
                # Skip trials without requests: with owners that entry hosts derive, any
                # host may own any pool.
                if trial is not None and trial.reached:
                    await self.async_report(pool, trial)

    async def async_report(self, pool: PoolInRollout, trial: Trial) -> None:
        """Report one trial and renew its allowance."""
        sent_at = self._clock.now()
        trial.count_overdue(sent_at)
        evidence = trial.take_evidence()
        message = messages.RolloutReport(
            pool=pool.name,
            number=trial.number,
            owner=self._process,
            reached=trial.reached,
            exposed=trial.exposed,
            old_running=trial.old_running,
            wanted=max(0, MAX_ALLOWED - pool.rollout.allowance_left),
            evidence=[
                messages.EvidenceItem(
                    second=cell.second,
                    route=cell.route,
                    upstream=cell.upstream,
                    counts=list(counts),
                )
                for cell, counts in evidence.items()
            ],
        )
        reply = await self._control.async_call_leader(message, REPORT_TIMEOUT)
        if reply is None or reply.status not in (STATUS_OK, STATUS_ABSENT):
            trial.requeue_evidence(evidence)
            return
        if reply.status == STATUS_ABSENT or reply.phase != Phase.JUDGED:
            await self._owner.async_end_trial(
                pool, trial.number, reply.phase == Phase.COMPLETE
            )
            return
        if trial.started_at is None:
            trial.started_at = sent_at - (reply.elapsed_ms or 0) / 1000
        await self._owner.async_renew_allowance(
            pool, trial.number, reply.allowed, sent_at + ALLOWANCE_SECONDS
        )
        self._emit_exposure(pool, trial, reply.allowed)

    def _emit_exposure(self, pool: PoolInRollout, trial: Trial, allowed: int) -> None:
        more = trial.exposed - trial.reported_exposed
        if not more and not allowed:
            return
        trial.reported_exposed = trial.exposed
        self._metrics.count(METRIC_EXPOSED, more)
        events.emit(
            "rollout-exposure",
            service=pool.name,
            number=trial.number,
            reached=trial.reached,
            exposed=trial.exposed,
            allowed=allowed,
            left=pool.rollout.allowance_left,
        )
