"""Tell whether a path or its upstream lost a response."""

from enum import StrEnum

import curio

from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.errors import ConnectRefusedError
from bitterntiller.components.paths.const import (
    CHECK_PERIOD,
    MAX_CHECKS,
    MAX_KEPT_PATHS,
)
from bitterntiller.components.paths.host_paths import HostPaths
from bitterntiller.components.paths.models import (
    CarriedBytes,
    PathFault,
    RelayCandidate,
)
from bitterntiller.components.tunnels import const
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.components.tunnels.direct import DirectPaths
from bitterntiller.components.tunnels.errors import TunnelError
from bitterntiller.components.tunnels.event_logging import log_path_check
from bitterntiller.components.tunnels.probes import Prober
from bitterntiller.components.tunnels.relays import Relays
from bitterntiller.core.clock import Clock
from bitterntiller.core.timeouts import ignore_after


class CheckResult(StrEnum):
    """What a check has found.

    WORKS: the upstream answered over the path. REFUSED: no connection was established.
    PATH_FAILED: it answered through another host only. UNKNOWN: no host got an answer.
    """

    WORKS = "works"
    REFUSED = "refused"
    PATH_FAILED = "path-failed"
    UNKNOWN = "unknown"


class PathChecks:
    """Checks paths after lost responses: over the path itself, then by other hosts.

    The path has failed if the upstream answers through another host only. A probe that
    isn't answered at first goes on while other hosts are asked, since an upstream that
    was silent may go on meanwhile.
    """

    def __init__(
        self,
        direct: DirectPaths,
        relays: Relays,
        prober: Prober,
        paths: HostPaths,
        allow_close_delimited: bool,
        clock: Clock,
    ) -> None:
        self._direct = direct
        self._relays = relays
        self._prober = prober
        self._paths = paths
        self._allow_close_delimited = allow_close_delimited
        self._clock = clock
        self._running_by_address: dict[str, curio.Event] = {}
        self._checked_at_by_address: dict[str, float] = {}

    @property
    def running(self) -> list[str]:
        """The addresses of the upstreams whose paths are being checked."""
        return list(self._running_by_address)

    async def async_start(
        self,
        destination: Destination,
        fault: PathFault,
        carried: CarriedBytes,
        sent_at: float,
    ) -> None:
        """Check the path on which a response was lost or truncated, in the background.

        sent_at is when its request was sent. A path is checked once each CHECK_PERIOD.
        """
        address = destination.address
        if address in self._running_by_address or not self._is_due(address):
            return
        if self._paths.leads_around(address):
            # It was sent to test a failed path, so there is nothing to check.
            self._direct.record_failed(destination, fault, "", sent_at, carried)
            return
        if len(self._running_by_address) >= MAX_CHECKS:
            return
        self._running_by_address[address] = curio.Event()
        await curio.spawn(
            self._async_check, destination, fault, carried, sent_at, daemon=True
        )

    async def async_settle(self, address: str) -> None:
        """Wait for the end of a check of a path, for SETTLE_SECONDS at most."""
        running = self._running_by_address.get(address)
        if running is not None:
            async with ignore_after(const.SETTLE_SECONDS):
                await running.wait()

    async def _async_check(
        self,
        destination: Destination,
        fault: PathFault,
        carried: CarriedBytes,
        sent_at: float,
    ) -> None:
        address = destination.address
        began = self._clock.now()
        try:
            result = await self._async_result(destination, carried)
            if result is CheckResult.PATH_FAILED:
                text = "it answers through another"
                self._direct.record_failed(
                    destination, PathFault.LOST, text, began, carried
                )
            elif result is CheckResult.WORKS and fault is PathFault.TRUNCATED:
                self._direct.record_failed(
                    destination, fault, "broke off", sent_at, carried
                )
            log_path_check(destination, fault, result, self._clock.now() - began)
        finally:
            self._record_checked(address)
            await self._running_by_address.pop(address).set()

    async def _async_result(
        self, destination: Destination, carried: CarriedBytes
    ) -> CheckResult:
        size = carried.bounded().sent
        try:
            client = await self._direct.async_open(destination, const.PROBE_SECONDS)
        except ConnectRefusedError:
            return CheckResult.REFUSED
        asking = await curio.spawn(
            self._direct.async_answers,
            client,
            destination,
            size,
            const.CHECK_ANSWER_SECONDS,
        )
        try:
            if await _async_answered(asking, const.PROBE_ANSWER_SECONDS):
                return CheckResult.WORKS
            elsewhere = await self._async_answers_elsewhere(destination, size)
            if await _async_answered(asking, const.LATE_ANSWER_SECONDS):
                return CheckResult.WORKS
            return CheckResult.PATH_FAILED if elsewhere else CheckResult.UNKNOWN
        finally:
            # A cancellation meanwhile would leave connections open.
            async with curio.disable_cancellation():
                await asking.cancel()
                await client.async_close()

    async def _async_answers_elsewhere(
        self, destination: Destination, size: int
    ) -> bool:
        """Return whether an upstream answers through one of MAX_RELAYS hosts."""
        relays = self._relays.candidates(destination)
        results: curio.Queue = curio.Queue()
        async with curio.TaskGroup() as group:
            for relay in relays:
                await group.spawn(
                    self._async_probe_through, destination, relay, size, results
                )
            for _ in relays:
                if await results.get():
                    await group.cancel_remaining()
                    return True
        return False

    async def _async_probe_through(
        self,
        destination: Destination,
        relay: RelayCandidate,
        size: int,
        results: curio.Queue,
    ) -> None:
        answered = False
        try:
            probe = destination._replace(probe=True)
            sock = await self._relays.async_open(probe, relay)
            sent_at = self._clock.now()
            client = ClientExchange(sock, self._allow_close_delimited, sock)
            try:
                answered = await self._prober.async_answers(client, destination, size)
            finally:
                await client.async_close()
            self._relays.record_result(destination, relay.name, answered, sent_at)
        except TunnelError:
            pass
        await results.put(answered)

    def _is_due(self, address: str) -> bool:
        checked_at = self._checked_at_by_address.get(address, float("-inf"))
        return self._clock.now() - checked_at >= CHECK_PERIOD

    def _record_checked(self, address: str) -> None:
        self._checked_at_by_address.pop(address, None)
        self._checked_at_by_address[address] = self._clock.now()
        while len(self._checked_at_by_address) > MAX_KEPT_PATHS:
            del self._checked_at_by_address[next(iter(self._checked_at_by_address))]


async def _async_answered(asking: curio.Task, seconds: float) -> bool:
    """Return whether a probe is answered within some seconds; it goes on if not."""
    async with ignore_after(seconds):
        return await asking.join()
    return False
