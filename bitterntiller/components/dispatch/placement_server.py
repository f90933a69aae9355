"""Answers the placement queries of other hosts about the pools that this host owns."""

import json
from collections.abc import Callable
from typing import Any

import curio

from bitterntiller.components.dispatch.const import (
    PLACEMENT_NO_CONFIGURATION,
    PLACEMENT_NO_LEASE,
    PLACEMENT_NO_OWNER,
    PLACEMENT_OK,
    PLACEMENT_TIMEOUT,
)
from bitterntiller.components.dispatch.coordinator import DispatchCoordinator
from bitterntiller.components.dispatch.quotas import QuotaState
from bitterntiller.components.links.errors import HandshakeError
from bitterntiller.components.links.frames import pack, unpack
from bitterntiller.components.links.handshake import async_read_frame
from bitterntiller.components.links.models import Peer
from bitterntiller.core.clock import Clock
from bitterntiller.core.interfaces import Lease
from bitterntiller.core.timeouts import timeout_after
from bitterntiller.protocol import MalformedMessageError, messages

ReadQuota = Callable[[str, float], QuotaState | None]
"""Returns the quota of a workspace at a time, None if it isn't counted here."""


class PlacementServer:
    """Serves connections with the purpose placement, one query on each."""

    def __init__(
        self,
        coordinator: DispatchCoordinator,
        lease: Lease,
        clock: Clock,
        read_quota: ReadQuota | None = None,
    ) -> None:
        self._coordinator = coordinator
        self._lease = lease
        self._clock = clock
        self._read_quota = read_quota

    async def async_serve(self, sock: Any, _peer: Peer) -> None:
        """Reply to the query of a peer."""
        try:
            async with timeout_after(PLACEMENT_TIMEOUT):
                query = unpack(await async_read_frame(sock)).message
                if isinstance(query, messages.QueryPlacement):
                    await sock.sendall(pack(self.reply(query)))
        except (curio.TaskTimeout, HandshakeError, MalformedMessageError, OSError):
            return

    def reply(self, query: Any) -> Any:
        """Return the messages.QueryPlacementReply to a messages.QueryPlacement.

        An owner without a lease doesn't answer: another host may own the pool.
        """
        if not self._lease.valid():
            return messages.QueryPlacementReply(status=PLACEMENT_NO_LEASE)
        pool = self._coordinator.pools_by_name.get(query.pool)
        if pool is None:
            return messages.QueryPlacementReply(status=PLACEMENT_NO_OWNER)
        now = self._clock.now()
        found = pool.explain_placement(query, now)
        if found is None:
            return messages.QueryPlacementReply(status=PLACEMENT_NO_CONFIGURATION)
        document = json.dumps(found | {"quota": self._quota(query.workspace, now)})
        return messages.QueryPlacementReply(
            status=PLACEMENT_OK, document=document.encode()
        )

    def _quota(self, workspace: str, now: float) -> dict[str, int] | None:
        state = None if self._read_quota is None else self._read_quota(workspace, now)
        if state is None:
            return None
        return {
            "left": int(state.remaining),
            "usable_now": int(state.level),
            "of": int(state.limit),
        }
