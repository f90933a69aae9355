"""Control plane: configuration, pool owners and claims in a replicated log."""

from collections.abc import Awaitable, Callable

from bitterntiller.components.config.parse import parse_config
from bitterntiller.components.control.coordinator import ControlCoordinator
from bitterntiller.components.control.state import (
    ControlState,
    FindServices,
    without_routes,
)
from bitterntiller.components.control.validate import ParseConfig, check_timings
from bitterntiller.core.interfaces import ReplicatedLog, StateMachine
from bitterntiller.core.runtime import Runtime

OpenLog = Callable[[Runtime, StateMachine], Awaitable[ReplicatedLog]]
"""Opens the log, replays it into the state machine and starts replication."""


async def async_setup(
    runtime: Runtime,
    open_log: OpenLog,
    parse: ParseConfig = parse_config,
    assigns_owners: bool = True,
    find_services: FindServices = without_routes,
) -> ControlCoordinator:
    """Open the log and serve nodes and operators until the process unloads.

    parse validates and parses configuration documents. assigns_owners selects
    whether control assigns pools to owners, and find_services returns the services of
    each route of an accepted document.
    Raise TimingsError for timings under which a lease could outlast its replacement.
    """
    check_timings(runtime.settings.timings)
    state = ControlState(find_services)
    log = await open_log(runtime, state)
    coordinator = ControlCoordinator(runtime, log, state, parse, assigns_owners)
    await coordinator.async_start()
    runtime.add_diagnostics("control", coordinator.describe)
    return coordinator
