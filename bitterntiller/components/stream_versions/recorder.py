"""Tells control hosts of the streams that this host relays."""

import curio

from bitterntiller.components.config.models import Route
from bitterntiller.components.stream_versions.candidates import StreamCandidates
from bitterntiller.components.stream_versions.const import METRIC_MISSED_SENDS
from bitterntiller.components.stream_versions.digests import stream_digest
from bitterntiller.components.stream_versions.holders import control_hosts, holders
from bitterntiller.components.stream_versions.memory import StreamMemory
from bitterntiller.components.stream_versions.models import Beginning, BegunStream
from bitterntiller.components.stream_versions.wire import begun_messages
from bitterntiller.core.interfaces import DirectoryView
from bitterntiller.core.runtime import Runtime


class StreamRecorder:
    """Records begun streams here, and at holders if several versions may begin them.

    Holders that were restarted are told of all streams that this host remembers, and
    so are all of them when a route's streams can begin in a second way; both with the
    next stream that begins.
    """

    def __init__(
        self,
        runtime: Runtime,
        memory: StreamMemory,
        directory: DirectoryView,
        candidates: StreamCandidates,
    ) -> None:
        self._runtime = runtime
        self._memory = memory
        self._directory = directory
        self._candidates = candidates
        self._told_process_by_host: dict[str, str] = {}
        self._routes_with_holders: set[str] = set()
        self._pending: dict[int, BegunStream] = {}
        self._wake = curio.Event()

    def record(self, route: Route, first_id: str, beginning: Beginning) -> None:
        """Record that a caller gets an event of a stream."""
        now = self._runtime.clock.now()
        digest = stream_digest(first_id)
        self._memory.remember(digest, beginning, now, now)
        if not self._candidates.has_several(route, beginning, now):
            self._routes_with_holders.discard(route.name)
            return
        if route.name not in self._routes_with_holders:
            self._routes_with_holders.add(route.name)
            self._pending |= self._memory.snapshot(now)
        self._pending[digest] = BegunStream(beginning, now)

    async def async_flush(self) -> None:
        """Let the recorded streams be sent, without waiting for it."""
        if self._pending:
            await self._wake.set()

    async def async_run(self) -> None:
        """Send recorded streams to their holders until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            pending, self._pending = self._pending, {}
            for address, begun in self._by_address(pending).items():
                # In a task each, as connecting to a host without power takes seconds.
                await curio.spawn(self._async_send, address, begun, daemon=True)

    def _by_address(
        self, pending: dict[int, BegunStream]
    ) -> dict[str, dict[int, BegunStream]]:
        """Return the streams to send by the address of their holder."""
        hosts = control_hosts(self._directory.hosts_by_name)
        names = list(hosts)
        known = self._memory.snapshot(self._runtime.clock.now())
        found: dict[str, dict[int, BegunStream]] = {}
        restarted = {
            name
            for name, host in hosts.items()
            if self._told_process_by_host.get(name) != host.incarnation
        }
        source = known | pending if restarted else pending
        for digest, begun in source.items():
            for name in holders(digest, names):
                if digest in pending or name in restarted:
                    address = hosts[name].address
                    found.setdefault(address, {})[digest] = begun
        self._told_process_by_host = {
            name: host.incarnation for name, host in hosts.items()
        }
        return found

    async def _async_send(self, address: str, begun: dict[int, BegunStream]) -> None:
        for message in begun_messages(begun, self._runtime.clock.now()):
            if not await self._runtime.links.async_send(address, message):
                self._runtime.metrics.count(METRIC_MISSED_SENDS)
                return
