"""Tunnels through the hosts that are likely to reach an upstream."""

import curio

from bitterntiller.components.paths.host_paths import HostPaths
from bitterntiller.components.paths.models import RelayCandidate
from bitterntiller.components.settings.const import ROLE_ENTRY
from bitterntiller.components.tunnels import const
from bitterntiller.components.tunnels.client import Destination, async_open_tunnel
from bitterntiller.components.tunnels.errors import TunnelError
from bitterntiller.components.tunnels.event_logging import log_tunnel
from bitterntiller.components.tunnels.stream import TunnelSocket
from bitterntiller.core.clock import Clock
from bitterntiller.core.interfaces import DirectoryView, Links, Metrics


class Relays:
    """The entry hosts that this one can go through; host is its own name."""

    def __init__(
        self,
        host: str,
        links: Links,
        directory: DirectoryView,
        paths: HostPaths,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._host = host
        self._links = links
        self._directory = directory
        self._paths = paths
        self._clock = clock
        self._metrics = metrics

    def candidates(self, destination: Destination) -> list[RelayCandidate]:
        """Return the entry hosts to try, the most likely one first.

        Those that the owner named follow the ones that reached the upstream for this
        host and precede all others.
        """
        candidates = [
            RelayCandidate(name, host.address, host.zone)
            for name, host in self._directory.hosts_by_name.items()
            if name != self._host and ROLE_ENTRY in host.roles
        ]
        ranked = self._paths.rank_relays(
            destination.address, candidates, destination.relays, self._clock.now()
        )
        return ranked[: const.MAX_RELAYS]

    async def async_open(
        self, destination: Destination, relay: RelayCandidate
    ) -> TunnelSocket:
        """Return a tunnel through a host; raise TunnelError.

        A failure is recorded; what an open tunnel is worth shows the answer over it.
        """
        began = self._clock.now()
        try:
            sock = await async_open_tunnel(self._links, relay.address, destination)
        except TunnelError as error:
            self._record_failed(destination, relay, began, error.status, error.text)
            raise
        except curio.CancelledError:
            # Another way was open first. It was slow only if it had its time.
            if self._clock.now() - began >= const.HEDGE_SECONDS:
                self._record_failed(destination, relay, began, "", "it was too slow")
            raise
        now = self._clock.now()
        self._metrics.count(const.METRIC_OPENED)
        log_tunnel(destination, relay.name, const.STATUS_OK, "", now - began)
        return sock

    def record_result(
        self, destination: Destination, relay: str, reached: bool, sent_at: float
    ) -> None:
        """Record whether an upstream answered what was sent through a host."""
        now = self._clock.now()
        self._paths.record_relay(destination.address, relay, reached, now, sent_at)

    def _record_failed(
        self,
        destination: Destination,
        relay: RelayCandidate,
        began: float,
        status: str,
        text: str,
    ) -> None:
        now = self._clock.now()
        self._metrics.count(const.METRIC_FAILED)
        self._paths.record_relay(destination.address, relay.name, False, now)
        log_tunnel(destination, relay.name, status, text, now - began)

    async def async_is_refused(self, destination: Destination) -> bool:
        """Return whether connections of other hosts to an upstream are refused.

        They are if one host says so and none of MAX_RELAYS hosts is connected. Without
        other hosts there is no doubt, and the result is True.
        """
        relays = self.candidates(destination)
        if not relays:
            return True
        async with curio.TaskGroup() as group:
            for relay in relays:
                await group.spawn(self._async_status, destination, relay)
        statuses = group.results
        return const.STATUS_REFUSED in statuses and const.STATUS_OK not in statuses

    async def _async_status(
        self, destination: Destination, relay: RelayCandidate
    ) -> str:
        try:
            sock = await async_open_tunnel(self._links, relay.address, destination)
        except TunnelError as error:
            return error.status
        await sock.close()
        return const.STATUS_OK
