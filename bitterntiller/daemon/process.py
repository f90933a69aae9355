"""Set up the components of a process and run it until a stop signal."""

import signal
from typing import NamedTuple

import curio
from absl import logging

from bitterntiller.components import (
    control,
    crashes,
    dispatch,
    entry,
    links,
    logs,
    memory,
    metrics,
    node,
    operator,
    orders,
    replication,
    upstreams,
)
from bitterntiller.components.control.coordinator import ControlCoordinator
from bitterntiller.components.dispatch.coordinator import DispatchCoordinator
from bitterntiller.components.entry.coordinator import EntryCoordinator
from bitterntiller.components.entry.server import CallerPort
from bitterntiller.components.links.coordinator import LinkCoordinator
from bitterntiller.components.links.models import Peer
from bitterntiller.components.metrics.client import StatsdMetrics
from bitterntiller.components.node.coordinator import NodeCoordinator
from bitterntiller.components.operator.diagnostics import make_dump
from bitterntiller.components.settings.const import (
    ROLE_CONTROL,
    ROLE_DISPATCH,
    ROLE_ENTRY,
)
from bitterntiller.components.settings.models import Settings
from bitterntiller.core import events
from bitterntiller.core.clock import Clock, RuntimeClock
from bitterntiller.core.errors import BrokenInvariantError
from bitterntiller.core.runtime import Runtime
from bitterntiller.core.signals import SignalReceiver

STATSD_PREFIX = "bitterntiller"
EXIT_OK = 0
EXIT_CUT = 3
EXIT_FAILED = 4


class Parts(NamedTuple):
    """The components that take part in a clean stop."""

    node: NodeCoordinator
    entry: EntryCoordinator | None
    dispatch: DispatchCoordinator | None
    control: ControlCoordinator | None = None


def make_runtime(settings: Settings, clock: Clock) -> Runtime:
    """Return a runtime whose links don't listen yet."""
    statsd = StatsdMetrics(settings.statsd, f"{STATSD_PREFIX}.{settings.host}")
    runtime = Runtime(settings, clock, statsd)
    own = Peer(settings.host, runtime.incarnation, str(settings.listen.peer_address))
    runtime.links = LinkCoordinator(
        own,
        settings.listen.internal,
        settings.keys.internal,
        clock,
        statsd,
        settings.limits,
    )
    return runtime


async def async_setup_parts(runtime: Runtime) -> Parts:
    """Set up all components of this process, in the order of their dependencies."""
    roles = runtime.settings.roles
    await metrics.async_setup(runtime, runtime.metrics, make_dump(runtime))
    await memory.async_setup(runtime)
    await links.async_setup(runtime, runtime.links)
    replica = None
    if ROLE_CONTROL in roles:
        replica = await control.async_setup(runtime, replication.async_setup)
    session = await node.async_setup(runtime)
    views = (session.lease, session.config, session.directory)
    crash_coordinator = await crashes.async_setup(
        runtime, session.config, session.directory
    )
    owner = None
    if ROLE_DISPATCH in roles:
        owner = await dispatch.async_setup(
            runtime, *views, crash_coordinator, session.versions, session.control_client
        )
        issuer = await orders.async_setup(runtime, session)
        owner.add_announce_listener(issuer.record_announcement)
    await operator.async_setup(
        runtime,
        session.control_client,
        crash_coordinator,
        session.config,
        session.directory,
    )
    callers = None
    if ROLE_ENTRY in roles:
        callers = await entry.async_setup(
            runtime, *views, session.control_client, crash_coordinator
        )
        announcements = upstreams.setup(runtime, session.config, session.directory)
        port = CallerPort(runtime, callers, announcements)
        await runtime.async_spawn(port.async_serve())
    return Parts(session, callers, owner, replica)


async def async_run(settings: Settings) -> int:
    """Run a process until a stop signal or a failure; return its exit code."""
    runtime = make_runtime(settings, RuntimeClock())
    async with runtime.stack:
        signals = SignalReceiver(signal.SIGTERM, signal.SIGINT)
        await runtime.stack.enter_async_context(signals)
        await logs.async_setup_events(runtime)
        try:
            parts = await async_setup_parts(runtime)
        except BrokenInvariantError as error:
            logging.error("start-up failed: %s", error)
            return EXIT_FAILED
        events.emit("start", roles=settings.roles)
        logging.info(
            "host %s started with roles %s", settings.host, ", ".join(settings.roles)
        )
        await _async_until_stopped(runtime, signals)
        if runtime.failure is not None:
            logging.error("stopped by an error: %s", runtime.failure)
            return EXIT_FAILED
        return await _async_stop(runtime, parts, signals)


async def _async_until_stopped(runtime: Runtime, signals: SignalReceiver) -> None:
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(signals.async_get)
        await group.spawn(runtime.failed.wait)


async def _async_stop(runtime: Runtime, parts: Parts, signals: SignalReceiver) -> int:
    """Stop cleanly: accept no new work, release the pools, finish running requests.

    A second signal ends the wait; the requests that it aborts are logged.
    """
    events.emit("stop")
    logging.info("stopping: no new requests are accepted")
    parts.node.set_draining()
    if parts.entry is not None:
        await parts.entry.async_begin_drain()
    await _async_release_pools(runtime, parts)
    if parts.control is not None:
        await parts.control.async_transfer_leadership()
    if parts.entry is None:
        return EXIT_OK
    async with curio.TaskGroup(wait=any) as group:
        drained = await group.spawn(parts.entry.async_drain)
        await group.spawn(signals.async_get)
    completed = group.completed is drained
    left = drained.result if completed else parts.entry.unfinished()
    events.emit("stopped", cut=len(left))
    if not left:
        logging.info("stopped with no requests in progress")
        return EXIT_OK
    why = "the shutdown limit" if completed else "a second signal"
    logging.warning("%s aborted %d requests: %s", why, len(left), ", ".join(left))
    return EXIT_CUT


async def _async_release_pools(runtime: Runtime, parts: Parts) -> None:
    """Release the owned pools first, so that waiting requests get a new owner."""
    if parts.dispatch is None:
        return
    pools = list(parts.dispatch.pools_by_name)
    if not pools:
        return
    timeout = runtime.settings.timings.link_call
    handed = await parts.node.async_release_pools(pools, timeout)
    if not handed:
        logging.warning("control did not reply; the pools move when the lease expires")
