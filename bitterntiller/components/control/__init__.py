"""Control: configuration, owners of pools and claims, kept by a replicated log."""

from collections.abc import Awaitable, Callable

from bitterntiller.components.config.parse import parse_config
from bitterntiller.components.control.coordinator import ControlCoordinator
from bitterntiller.components.control.state import ControlState
from bitterntiller.components.control.validate import ParseConfig, check_timings
from bitterntiller.core.interfaces import ReplicatedLog, StateMachine
from bitterntiller.core.runtime import Runtime

OpenLog = Callable[[Runtime, StateMachine], Awaitable[ReplicatedLog]]
"""Opens the log, replays it into the state machine and lets it run."""


async def async_setup(
    runtime: Runtime,
    open_log: OpenLog,
    parse: ParseConfig = parse_config,
    assigns_owners: bool = True,
) -> ControlCoordinator:
    """Open the log and answer nodes and operators until the process unloads.

    parse reads the documents of configurations. assigns tells whether control gives
    pools to owners.
    Raise TimingsError for timings that would break the promise of leases.
    """
    check_timings(runtime.settings.timings)
    state = ControlState()
    log = await open_log(runtime, state)
    coordinator = ControlCoordinator(runtime, log, state, parse, assigns_owners)
    await coordinator.async_start()
    runtime.add_diagnostics("control", coordinator.describe)
    return coordinator
