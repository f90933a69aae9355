"""Finds out what began a stream."""

from typing import Any

import curio

from bitterntiller.components.config.models import Route
from bitterntiller.components.links.errors import LinkError
from bitterntiller.components.stream_versions.conclusion import (
    CONFLICT,
    conclude,
    conclude_early,
)
from bitterntiller.components.stream_versions.const import (
    FIND_TIMEOUT,
    METRIC_FOUND,
    METRIC_NOT_FOUND,
    SOURCE_RELAYED,
)
from bitterntiller.components.stream_versions.digests import stream_digest
from bitterntiller.components.stream_versions.holders import control_hosts
from bitterntiller.components.stream_versions.leader_query import LeaderQuery
from bitterntiller.components.stream_versions.memory import StreamMemory
from bitterntiller.components.stream_versions.models import Answer, Beginning
from bitterntiller.components.stream_versions.wire import find_answer
from bitterntiller.core.interfaces import (
    DirectoryView,
    StreamOrigin,
    UnknownOrigin,
)
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages


class StreamFinder:
    """Asks the hosts that may remember a stream, and the leader of control.

    The leader knows to which services a route may have led since the stream began, and
    which versions these may have had. Its reply is confirmed by a majority after the
    request arrived, so that a host which was started lately, or has not heard of a
    change yet, doesn't conclude that there is only one.
    """

    def __init__(
        self,
        runtime: Runtime,
        memory: StreamMemory,
        directory: DirectoryView,
        leader_query: LeaderQuery,
    ) -> None:
        self._runtime = runtime
        self._memory = memory
        self._directory = directory
        self._leader_query = leader_query
        self._own_address = str(runtime.settings.listen.peer_address)

    async def async_find(
        self, route: Route, first_id: str
    ) -> StreamOrigin | UnknownOrigin:
        """Return what began a stream of a route, within FIND_TIMEOUT seconds.

        first_id is the id of the caller's first attempt, empty if it isn't stated.
        """
        found = self._find_here(first_id) if first_id else None
        if found is None:
            found = await self._async_ask(route, first_id)
        known = isinstance(found, StreamOrigin)
        self._runtime.metrics.count(METRIC_FOUND if known else METRIC_NOT_FOUND)
        return found

    def _find_here(self, first_id: str) -> StreamOrigin | UnknownOrigin | None:
        now = self._runtime.clock.now()
        begun = self._memory.find(stream_digest(first_id), now)
        if begun is None:
            return None
        if begun.beginning is None:
            return UnknownOrigin(final=True, detail=CONFLICT)
        return StreamOrigin(*begun.beginning, SOURCE_RELAYED, now - begun.at)

    async def _async_ask(
        self, route: Route, first_id: str
    ) -> StreamOrigin | UnknownOrigin:
        addresses = self._addresses() if first_id else []
        message = messages.FindStream(digest=stream_digest(first_id))
        answers: dict[str, Answer | None] = dict.fromkeys(addresses)
        candidates: tuple[Beginning, ...] | None = None
        async with curio.TaskGroup() as group:
            leader = await group.spawn(self._leader_query.async_ask, route)
            address_by_task = {
                await group.spawn(self._async_ask_host, address, message): address
                for address in addresses
            }
            async for task in group:
                if task is leader:
                    candidates = task.result
                else:
                    answers[address_by_task[task]] = task.result
                found = conclude_early(answers.values(), candidates)
                if found is not None:
                    await group.cancel_remaining()
                    return found
        return conclude(list(answers.values()), candidates)

    def _addresses(self) -> list[str]:
        hosts = control_hosts(self._directory.hosts_by_name).values()
        found = [host.address for host in hosts]
        return [address for address in found if address != self._own_address]

    async def _async_ask_host(self, address: str, message: Any) -> Answer | None:
        links = self._runtime.links
        try:
            reply = await links.async_call(address, message, FIND_TIMEOUT)
        except LinkError:
            return None
        return find_answer(reply)
