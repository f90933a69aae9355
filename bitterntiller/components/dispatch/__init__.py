"""The dispatch role: the owner of a pool queues and grants its requests."""

import math
from functools import partial
from typing import Any

from bitterntiller.components import rollouts
from bitterntiller.components.crashes.coordinator import CrashCoordinator
from bitterntiller.components.dispatch import const, diagnostics
from bitterntiller.components.dispatch.coordinator import DispatchCoordinator
from bitterntiller.components.dispatch.host_contacts import HostContacts
from bitterntiller.components.dispatch.models import (
    DEFAULT_PARAMETERS,
    Scheduler,
)
from bitterntiller.components.dispatch.placement_server import (
    PlacementServer,
    ReadQuota,
)
from bitterntiller.components.dispatch.reports import ReportReceiver
from bitterntiller.components.dispatch.scheduler import PoolScheduler
from bitterntiller.core.interfaces import (
    ConfigView,
    ControlCalls,
    CrashView,
    DirectoryView,
    Lease,
    MessageHandler,
    UpstreamsView,
    VersionsView,
)
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages


def make_scheduler(
    kind: str,
    crashes: CrashView | None = None,
    uneven: str = const.UNEVEN_OFF,
    contacts: HostContacts | None = None,
) -> Scheduler:
    """Return the scheduler of a pool of a kind, engine or plain."""
    parameters = DEFAULT_PARAMETERS._replace(kind=kind, uneven=uneven)
    return PoolScheduler(parameters, crashes, contacts)


REGISTERED_PREFILL_WINDOW = 0.4
"""Seconds of outstanding prefill up to which an engine is sent further requests.

The owner receives progress up to half a second after the output; with a shorter window
engines would be idle in the meantime.
"""

REGISTERED_PARAMETERS = DEFAULT_PARAMETERS._replace(
    silence_seconds=math.inf,
    order=const.ORDER_FIFO,
    long_slots=1.0,
    long_prefills=1.0,
    prefill_window=REGISTERED_PREFILL_WINDOW,
    guard=0.0,
    margin=0.0,
    headroom=0.0,
    adaptive=False,
    lower_share=const.DEFAULT_LOWER_SHARE,
)
"""Parameters of pools whose upstreams register with control.

Their requests have an objective for the first output. Running requests meet their
objective beside any others, since output is many times faster than required; so every
slot is filled, and only waiting requests can miss an objective. There is no margin on
the estimated completion: it would skip requests with long outputs until their objective
is missed, while small requests behind them are sent.
"""


def make_registered_scheduler(
    kind: str,
    crashes: CrashView | None = None,
    uneven: str = const.UNEVEN_OFF,
    contacts: HostContacts | None = None,
) -> Scheduler:
    """Return the scheduler of a pool whose silent upstreams are reported by control."""
    parameters = REGISTERED_PARAMETERS._replace(kind=kind, uneven=uneven)
    return PoolScheduler(parameters, crashes, contacts)


async def async_setup_registered(
    runtime: Runtime,
    lease: Lease,
    config: ConfigView,
    directory: DirectoryView,
    registered: UpstreamsView,
    crashes: CrashCoordinator,
    versions: VersionsView,
    control: ControlCalls,
) -> DispatchCoordinator:
    """Set up the dispatch role for entry hosts that select their owners themselves.

    The upstreams are those registered with control.
    """
    contacts = HostContacts()
    coordinator = DispatchCoordinator(
        runtime,
        lease,
        config,
        directory,
        partial(
            make_registered_scheduler,
            crashes=crashes,
            uneven=runtime.settings.dispatch.uneven_upstreams,
            contacts=contacts,
        ),
        registered,
        versions,
    )
    crashes.add_listener(coordinator.async_review)
    await _async_start(runtime, coordinator, contacts)
    await rollouts.async_setup_reports(runtime, coordinator, control)
    receiver = ReportReceiver(
        runtime,
        lease,
        config,
        directory,
        coordinator.async_drop_host,
        coordinator.async_forget_ended,
    )
    handler = _recording_contacts(runtime, contacts, receiver.async_on_report)
    remove = runtime.links.handle(messages.EntryReport, handler)
    runtime.stack.callback(remove)
    remove = runtime.links.handle(messages.QuotaAsk, receiver.quotas.async_on_ask)
    runtime.stack.callback(remove)
    await runtime.async_spawn(receiver.async_run())
    await runtime.async_spawn(receiver.quotas.async_run())
    runtime.add_diagnostics("reports", receiver.describe)
    _serve_placements(runtime, lease, coordinator, receiver.quota)
    return coordinator


async def async_setup(
    runtime: Runtime,
    lease: Lease,
    config: ConfigView,
    directory: DirectoryView,
    crashes: CrashCoordinator,
    versions: VersionsView | None = None,
    control: ControlCalls | None = None,
) -> DispatchCoordinator:
    """Set up the dispatch role; it is unloaded with the runtime's stack."""
    uneven = runtime.settings.dispatch.uneven_upstreams
    contacts = HostContacts()
    make = partial(make_scheduler, crashes=crashes, uneven=uneven, contacts=contacts)
    coordinator = DispatchCoordinator(
        runtime, lease, config, directory, make, versions=versions
    )
    crashes.add_listener(coordinator.async_review)
    await _async_start(runtime, coordinator, contacts)
    if control is not None:
        await rollouts.async_setup_reports(runtime, coordinator, control)
    _serve_placements(runtime, lease, coordinator)
    return coordinator


def _serve_placements(
    runtime: Runtime,
    lease: Lease,
    coordinator: DispatchCoordinator,
    read_quota: ReadQuota | None = None,
) -> None:
    server = PlacementServer(coordinator, lease, runtime.clock, read_quota)
    remove = runtime.links.handle_streams(const.PLACEMENT_PURPOSE, server.async_serve)
    runtime.stack.callback(remove)


def _recording_contacts(
    runtime: Runtime, contacts: HostContacts, handler: MessageHandler
) -> MessageHandler:
    """Return a handler that also records that the sending host was heard from."""

    async def async_handle(host: str, message: Any) -> Any:
        incarnation = runtime.links.incarnation(host)
        contacts.record(host, incarnation, runtime.clock.now())
        return await handler(host, message)

    return async_handle


async def _async_start(
    runtime: Runtime, coordinator: DispatchCoordinator, contacts: HostContacts
) -> None:
    for cls, handler in (
        (messages.Register, coordinator.async_on_register),
        (messages.Reregister, coordinator.async_on_reregister),
        (messages.Live, coordinator.async_on_live),
        (messages.EndedRequests, coordinator.async_on_ended),
        (messages.Cancel, coordinator.async_on_cancel),
        (messages.Started, coordinator.async_on_started),
        (messages.Progress, coordinator.async_on_progress),
        (messages.Finished, coordinator.async_on_finished),
        (messages.Returned, coordinator.async_on_returned),
        (messages.UpstreamLimit, coordinator.async_on_upstream_limit),
        (messages.UpstreamNotice, coordinator.async_on_upstream_notice),
        (messages.Announce, coordinator.async_on_announce),
    ):
        recording = _recording_contacts(runtime, contacts, handler)
        runtime.stack.callback(runtime.links.handle(cls, recording))
    await runtime.async_spawn(coordinator.async_run())
    clock = runtime.clock
    # Uses qualified names: a submodule of this package that has the name of a function
    # replaces it in this namespace once the submodule is imported.
    runtime.add_diagnostics(
        "dispatch", lambda: diagnostics.describe(coordinator, clock.now())
    )
    runtime.add_diagnostics("upstreams", lambda: diagnostics.announced(coordinator))
