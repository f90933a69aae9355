"""Report what the response to one attempt shows of the path to its upstream."""

from typing import NamedTuple

from bitterntiller.components.paths.models import PathFault
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.components.tunnels.connector import Connected, Connector


class PathReport(NamedTuple):
    """The connection of one attempt, and the connector that learns from it."""

    connector: Connector
    destination: Destination
    connected: Connected

    async def async_head(self, from_upstream: bool) -> None:
        """Report a response head; one that the upstream didn't send shows a fault."""
        if not from_upstream:
            await self.async_lost()
            return
        self.connector.record_answer(self.destination, self.connected, False)

    async def async_lost(self) -> None:
        """Report that a request was sent and no response to it came, or no more."""
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
        if self.connected.client.timed_out:
            await self.async_silent()
            return
        if self.connected.client.broke:
            await self.connector.async_record_fault(
                self.destination, self.connected, PathFault.TRUNCATED
            )
            return
        self.connector.record_answer(self.destination, self.connected, True)
