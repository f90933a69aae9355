"""Set up and unload the entry role."""

from typing import NamedTuple

from bitterntiller.components import tunnels
from bitterntiller.components.entry import const
from bitterntiller.components.entry.claiming import ClaimClient
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.coordinator import EntryCoordinator
from bitterntiller.components.entry.diagnostics import describe
from bitterntiller.components.entry.dialect import HttpDialect
from bitterntiller.components.entry.notices import UpstreamNotices
from bitterntiller.components.entry.owner_monitor import OwnerMonitor
from bitterntiller.components.entry.quota import QuotaAccount
from bitterntiller.components.entry.quota_client import QuotaClient
from bitterntiller.components.entry.rate_limits import RateLimitCache
from bitterntiller.components.entry.response_times import ResponseTimes
from bitterntiller.components.entry.retry_budget import RetryBudget
from bitterntiller.components.entry.service_probes import ServiceProbes
from bitterntiller.components.entry.sound_parts import SoundParts
from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.components.node.coordinator import NodeCoordinator
from bitterntiller.components.node.owners import RendezvousOwners
from bitterntiller.components.settings.const import ROLE_ENTRY
from bitterntiller.core.interfaces import (
    ConfigView,
    ControlCalls,
    CrashWatch,
    DirectoryView,
    Lease,
    StreamVersions,
)
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages


class RetryBounds(NamedTuple):
    """Bounds on the retries to one service over all hosts.

    per_request is the fraction of a retry that each request earns; besides is the
    number of retries allowed in each window without any requests.
    """

    per_request: float
    besides: float


async def async_setup(
    runtime: Runtime,
    lease: Lease,
    config: ConfigView,
    directory: DirectoryView,
    control: ControlCalls,
    crashes: CrashWatch,
) -> EntryCoordinator:
    """Set up the entry role; it is unloaded with the runtime's stack."""
    context = _make_context(runtime, lease, config, directory, control)
    context = context._replace(crashes=crashes)
    coordinator = await _async_start(runtime, context, None)
    await runtime.async_spawn(coordinator.async_report_ended())
    return coordinator


async def async_setup_routed(
    runtime: Runtime,
    session: NodeCoordinator,
    owners: RendezvousOwners,
    dialect: HttpDialect,
    retries: RetryBounds,
    crashes: CrashWatch,
    stream_versions: StreamVersions,
) -> EntryCoordinator:
    """Set up the entry role with routes, kept connections and derived owners."""
    account = QuotaAccount(runtime.clock, runtime.settings.quota_window)
    client = QuotaClient(
        account, runtime.links, owners, runtime.clock, runtime.settings.host
    )
    connections = ConnectionPool(
        runtime.clock, const.MAX_IDLE_CONNECTIONS, allow_close_delimited=True
    )
    runtime.stack.push_async_callback(connections.async_close)
    views = (session.lease, session.config, owners, session.control_client)
    context = _make_context(runtime, *views)._replace(
        dialect=dialect,
        connections=connections,
        quota=client,
        response_times=ResponseTimes(),
        upstreams=session.upstreams,
        versions=session.versions,
        crashes=crashes,
        stream_versions=stream_versions,
    )
    budget = _shared_budget(session, retries)
    coordinator = await _async_start(runtime, context, budget)
    monitor = OwnerMonitor(
        runtime, owners, session.config, account, client, coordinator.registry
    )
    coordinator.registry.add_listener(monitor.async_wake)
    runtime.links.add_disconnect_listener(monitor.async_link_lost)
    await runtime.async_spawn(monitor.async_run())
    await runtime.async_spawn(coordinator.async_prune())
    return coordinator


def _make_context(
    runtime: Runtime,
    lease: Lease,
    config: ConfigView,
    directory: DirectoryView,
    control: ControlCalls,
) -> Context:
    return Context(
        host=runtime.settings.host,
        timings=runtime.settings.timings,
        clock=runtime.clock,
        metrics=runtime.metrics,
        links=runtime.links,
        lease=lease,
        config=config,
        directory=directory,
        control=control,
        rate_limits=RateLimitCache(),
        notices=UpstreamNotices(),
    )


def _shared_budget(session: NodeCoordinator, retries: RetryBounds) -> RetryBudget:
    """Return this host's share of the deployment's retry budget."""

    def max_retries() -> float:
        hosts = session.directory.hosts_by_name.values()
        entries = sum(ROLE_ENTRY in host.roles for host in hosts)
        return const.RETRY_BUDGET_BASE_FRACTION * retries.besides / max(1, entries)

    return RetryBudget(const.RETRY_BUDGET_FRACTION * retries.per_request, max_retries)


async def _async_start(
    runtime: Runtime, context: Context, retries: RetryBudget | None
) -> EntryCoordinator:
    connector, tunnel_server = await tunnels.async_setup(
        runtime,
        context.directory,
        context.connections,
        ServiceProbes(context.dialect, context.config),
        context.upstreams,
    )
    context = context._replace(relayed_connector=connector)
    claim_client = ClaimClient(context, runtime.incarnation)
    coordinator = EntryCoordinator(
        context, runtime.settings.limits, claim_client, retries
    )
    coordinator.tunnel_server = tunnel_server
    registry = coordinator.registry
    if context.crashes is not None:
        sound_parts = SoundParts(registry, context.crashes)
        context.crashes.add_listener(sound_parts.async_on_evidence)
    for cls, handler in (
        (messages.Grant, registry.async_on_grant),
        (messages.Refusal, registry.async_on_refusal),
    ):
        runtime.stack.callback(runtime.links.handle(cls, handler))
    await runtime.async_spawn(coordinator.async_monitor_owners())
    await runtime.async_spawn(coordinator.async_report_progress())
    await runtime.async_spawn(coordinator.async_report_live())
    runtime.add_diagnostics("entry", lambda: describe(coordinator))
    return coordinator
