"""Rollouts: a service's requests move to upstreams of another version, as judged."""

from bitterntiller.components.rollouts.reporter import RolloutPools, RolloutReporter
from bitterntiller.core.interfaces import ControlCalls
from bitterntiller.core.runtime import Runtime


async def async_setup_reports(
    runtime: Runtime, owner: RolloutPools, control: ControlCalls
) -> RolloutReporter:
    """Report what owners count of rollouts until the process unloads."""
    reporter = RolloutReporter(runtime, owner, control)
    await runtime.async_spawn(reporter.async_run())
    return reporter
