"""Rollouts: move a service to upstreams of another version after a canary analysis."""

from bitterntiller.components.rollouts.reporter import RolloutPools, RolloutReporter
from bitterntiller.core.interfaces import ControlCalls
from bitterntiller.core.runtime import Runtime


async def async_setup_reports(
    runtime: Runtime, owner: RolloutPools, control: ControlCalls
) -> RolloutReporter:
    """Start to report the owner's counts of rollouts, until the process unloads."""
    reporter = RolloutReporter(runtime, owner, control)
    await runtime.async_spawn(reporter.async_run())
    return reporter
