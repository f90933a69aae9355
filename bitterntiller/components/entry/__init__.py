"""The entry role: set-up and unloading."""

from bitterntiller.components.entry.claiming import Claimant
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.coordinator import EntryCoordinator
from bitterntiller.components.entry.diagnostics import describe
from bitterntiller.core.interfaces import (
    ConfigView,
    ControlCalls,
    DirectoryView,
    Lease,
)
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages


async def async_setup(
    runtime: Runtime,
    lease: Lease,
    config: ConfigView,
    directory: DirectoryView,
    control: ControlCalls,
) -> EntryCoordinator:
    """Set the entry role up; it is unloaded with the runtime's stack."""
    context = Context(
        host=runtime.settings.host,
        timings=runtime.settings.timings,
        clock=runtime.clock,
        metrics=runtime.metrics,
        links=runtime.links,
        lease=lease,
        config=config,
        directory=directory,
        control=control,
    )
    claimant = Claimant(context, runtime.incarnation)
    coordinator = EntryCoordinator(context, runtime.settings.limits, claimant)
    registry = coordinator.registry
    for cls, handler in (
        (messages.Grant, registry.async_on_grant),
        (messages.Refusal, registry.async_on_refusal),
    ):
        runtime.stack.callback(runtime.links.handle(cls, handler))
    await runtime.async_spawn(coordinator.async_follow())
    await runtime.async_spawn(coordinator.async_report())
    await runtime.async_spawn(coordinator.async_tell_live())
    runtime.add_diagnostics("entry", lambda: describe(coordinator))
    return coordinator
