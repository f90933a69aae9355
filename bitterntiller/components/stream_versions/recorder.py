"""Tells control hosts of the streams that this host relays."""

import curio

from bitterntiller.components.config.models import Route, RouteKey
from bitterntiller.components.stream_versions.candidates import StreamCandidates
from bitterntiller.components.stream_versions.const import (
    CHECK_SECONDS,
    FIND_TIMEOUT,
    KEPT_SECONDS,
    METRIC_MISSED_SENDS,
    RETRY_SECONDS,
)
from bitterntiller.components.stream_versions.digests import stream_digest
from bitterntiller.components.stream_versions.holders import control_hosts, holders
from bitterntiller.components.stream_versions.leader_query import LeaderQuery
from bitterntiller.components.stream_versions.memory import StreamMemory
from bitterntiller.components.stream_versions.models import (
    Beginning,
    BegunStream,
    LastStream,
)
from bitterntiller.components.stream_versions.wire import begun_messages
from bitterntiller.core.interfaces import DirectoryView, HostView
from bitterntiller.core.runtime import Runtime
from bitterntiller.core.timeouts import ignore_after


class StreamRecorder:
    """Records begun streams here, and at holders if several versions may begin them.

    Holders that were restarted, or missed a message, are told of all streams that this
    host remembers, and so are all of them when a route's streams can begin in a second
    way. Neither waits for the next stream that begins here. A host that was started
    lately asks the leader of control in which ways streams may have begun before.
    """

    def __init__(
        self,
        runtime: Runtime,
        memory: StreamMemory,
        directory: DirectoryView,
        candidates: StreamCandidates,
        leader_query: LeaderQuery,
    ) -> None:
        self._runtime = runtime
        self._memory = memory
        self._directory = directory
        self._candidates = candidates
        self._leader_query = leader_query
        self._started_at = runtime.clock.now()
        self._known_routes: set[RouteKey] = set()
        self._ask_at_by_route: dict[RouteKey, float] = {}
        self._told_process_by_host: dict[str, str] = {}
        self._telling_all: set[str] = set()
        self._retry_at_by_host: dict[str, float] = {}
        self._last_by_route: dict[str, LastStream] = {}
        self._routes_with_holders: set[str] = set()
        self._pending: dict[int, BegunStream] = {}
        self._wake = curio.Event()

    def record(self, route: Route, first_id: str, beginning: Beginning) -> None:
        """Record that a caller gets an event of a stream."""
        now = self._runtime.clock.now()
        digest = stream_digest(first_id)
        self._memory.remember(digest, beginning, now, now)
        last = LastStream(route, beginning, now)
        self._last_by_route[route.name] = last
        if self._update_route(last, now):
            self._pending[digest] = BegunStream(beginning, now)

    def _update_route(self, last: LastStream, now: float) -> bool:
        """Update whether holders are told of a route's streams, and return it.

        Once they are, all streams that this host remembers are to be sent.
        """
        name = last.route.name
        if not self._candidates.has_several(last.route, last.beginning, now):
            self._routes_with_holders.discard(name)
            return False
        if name not in self._routes_with_holders:
            self._routes_with_holders.add(name)
            self._pending |= self._memory.snapshot(now)
        return True

    async def async_flush(self) -> None:
        """Let the recorded streams be sent, without waiting for it."""
        if self._pending or self._routes_to_ask_about():
            await self._wake.set()

    async def async_run(self) -> None:
        """Send streams to their holders as they are due, until cancelled."""
        while True:
            async with ignore_after(CHECK_SECONDS):
                await self._wake.wait()
            self._wake.clear()
            await self._async_ask_about_routes()
            self._check_routes()
            pending, self._pending = self._pending, {}
            if pending or self._routes_with_holders:
                await self._async_tell(pending)

    def _routes_to_ask_about(self) -> list[Route]:
        """Return the routes of which this host doesn't know where they led before."""
        now = self._runtime.clock.now()
        if now - self._started_at >= 2 * KEPT_SECONDS:
            return []
        return [
            last.route
            for last in self._last_by_route.values()
            if (key := last.route.key) not in self._known_routes
            and now >= self._ask_at_by_route.get(key, now)
        ]

    async def _async_ask_about_routes(self) -> None:
        """Ask in tasks, so that a leader that is lost delays no messages to holders."""
        now = self._runtime.clock.now()
        for route in self._routes_to_ask_about():
            self._ask_at_by_route[route.key] = now + FIND_TIMEOUT
            await curio.spawn(self._async_ask_about_route, route, daemon=True)

    async def _async_ask_about_route(self, route: Route) -> None:
        beginnings = await self._leader_query.async_ask(route)
        if beginnings is None:
            return
        self._known_routes.add(route.key)
        now = self._runtime.clock.now()
        self._candidates.add_recent(route, beginnings, now)
        await self._wake.set()

    def _check_routes(self) -> None:
        """Update the routes of which streams have begun here lately."""
        now = self._runtime.clock.now()
        for name, last in list(self._last_by_route.items()):
            if now - last.at >= 2 * KEPT_SECONDS:
                del self._last_by_route[name]
                self._routes_with_holders.discard(name)
            else:
                self._update_route(last, now)

    async def _async_tell(self, pending: dict[int, BegunStream]) -> None:
        """Send pending streams to their holders, and all streams to uninformed ones."""
        now = self._runtime.clock.now()
        host_by_name = control_hosts(self._directory.hosts_by_name)
        uninformed = {
            name
            for name, host in host_by_name.items()
            if self._told_process_by_host.get(name) != host.incarnation
            and now >= self._retry_at_by_host.get(name, now)
        } - self._telling_all
        streams = self._memory.snapshot(now) | pending if uninformed else pending
        begun_by_host: dict[str, dict[int, BegunStream]] = {
            name: {} for name in uninformed
        }
        for digest, begun in streams.items():
            for name in holders(digest, list(host_by_name)):
                if digest in pending or name in uninformed:
                    begun_by_host.setdefault(name, {})[digest] = begun
        self._telling_all |= uninformed
        for name, begun in begun_by_host.items():
            # In a task each, as connecting to a host without power takes seconds.
            host = host_by_name[name]
            send = self._async_send_all if name in uninformed else self._async_send_new
            await curio.spawn(send, name, host, begun, daemon=True)

    async def _async_send_all(
        self, name: str, host: HostView, begun: dict[int, BegunStream]
    ) -> None:
        """Send all streams to a holder that doesn't know of them."""
        try:
            if await self._async_send(host, begun):
                self._told_process_by_host[name] = host.incarnation
            else:
                self._forget_told(name)
        finally:
            self._telling_all.discard(name)

    async def _async_send_new(
        self, name: str, host: HostView, begun: dict[int, BegunStream]
    ) -> None:
        """Send streams to a holder, which is told of all of them if that fails."""
        if not await self._async_send(host, begun):
            self._forget_told(name)

    def _forget_told(self, name: str) -> None:
        """Let a host that missed a message be told of all streams some time later."""
        self._told_process_by_host.pop(name, None)
        self._retry_at_by_host[name] = self._runtime.clock.now() + RETRY_SECONDS

    async def _async_send(self, host: HostView, begun: dict[int, BegunStream]) -> bool:
        for message in begun_messages(begun, self._runtime.clock.now()):
            if not await self._runtime.links.async_send(host.address, message):
                self._runtime.metrics.count(METRIC_MISSED_SENDS)
                return False
        return True
