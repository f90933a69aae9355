"""Report what the response to one attempt shows of the path to its upstream."""

from typing import NamedTuple

from bitterntiller.components.entry.models import ActiveRequest
from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.paths.models import PathFault
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.components.tunnels.connector import Connected, Connector
from bitterntiller.core.outcomes import ResponseFault

FULL_TIME_FRACTION = 0.5
"""Fraction of the usual time of its requests that must have been left for one as it was
sent. With less, a response without an end may only be long."""


class PathReport(NamedTuple):
    """The connection of one attempt, and the connector that learns from it.

    Where the bytes of the response are why it isn't whole, the path is not the cause,
    and active keeps that for the owner. exchange is that of the caller.
    """

    connector: Connector
    destination: Destination
    connected: Connected
    active: ActiveRequest | None = None
    exchange: Exchange | None = None

    async def async_head(self, from_upstream: bool) -> None:
        """Report a response head; one that the upstream didn't send shows a fault."""
        if not from_upstream:
            await self.async_lost()
            return
        self.connector.record_answer(self.destination, self.connected, False)

    async def async_lost(self) -> None:
        """Report that a request was sent and no response to it came, or no more."""
        if self._has_response_fault():
            return
        await self.connector.async_record_fault(
            self.destination, self.connected, PathFault.LOST
        )

    async def async_silent(self) -> None:
        """Report that the upstream has sent nothing for some time.

        The response may still come; a check tells whether the path is the cause.
        """
        await self.async_lost()

    async def async_end(self) -> None:
        """Report the end of a response, which may have broken off."""
        if self._has_response_fault():
            return
        if self.connected.client.timed_out:
            await self.async_silent()
            return
        if self.connected.client.broke:
            await self.connector.async_record_fault(
                self.destination, self.connected, PathFault.TRUNCATED
            )
            return
        self.connector.record_answer(self.destination, self.connected, True)

    def _has_response_fault(self) -> bool:
        """Return whether the bytes of the response are why it isn't whole."""
        fault = self._response_fault()
        if fault is not None and self.active is not None:
            self.active.faults_by_upstream[self.destination.upstream] = fault
        return fault is not None

    def _response_fault(self) -> ResponseFault | None:
        client = self.connected.client
        if client.timed_out:
            return None
        if client.malformed:
            return ResponseFault.MALFORMED
        if not client.overran:
            return None
        if self._had_little_time() or self._caller_is_behind():
            return ResponseFault.UNFINISHED
        return ResponseFault.OVERRUN

    def _had_little_time(self) -> bool:
        if self.active is None:
            return False
        identified = self.active.prepared.identified
        usual = identified.tier.deadline_ms / 1000
        if identified.route is not None:
            usual = identified.route.timeout
        left = identified.seconds_left(self.active.sent_at)
        return left < FULL_TIME_FRACTION * usual

    def _caller_is_behind(self) -> bool:
        exchange = self.exchange
        return exchange is not None and exchange.started and not exchange.keeps_up()
