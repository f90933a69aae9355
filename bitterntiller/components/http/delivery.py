"""Whether an upstream has received the whole request when its response ends."""

from typing import Any, Protocol

import curio

from bitterntiller.components.http import const
from bitterntiller.core.tcp import is_reset, unacknowledged_bytes


class Delivery(Protocol):
    """Tells how much of what was sent on a connection its upstream has received."""

    async def async_undelivered(self) -> int:
        """Return how many of the sent bytes the upstream's kernel hasn't acknowledged.

        Raise OSError if it never will. Only called after the upstream's orderly end.
        """
        ...

    async def async_check_open(self) -> None:
        """Raise OSError if the connection was reset after the upstream's end."""
        ...


class DirectDelivery:
    """The Delivery of a connection that leads to its upstream."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock

    async def async_undelivered(self) -> int:
        """Return the bytes that aren't acknowledged; raise OSError after a reset."""
        await self.async_check_open()
        return unacknowledged_bytes(self._sock)

    async def async_check_open(self) -> None:
        """Raise OSError after a reset."""
        if is_reset(self._sock):
            raise ConnectionResetError("the connection was reset after its end")


class Sending:
    """The sending of one request; sent counts the bytes that were handed over.

    failure is set once it can't go on.
    """

    def __init__(self, delivery: Delivery, size: int) -> None:
        self._delivery = delivery
        self._size = size
        self.sent = 0
        self.failure = ""

    async def async_undelivered(self) -> int:
        """Return how many bytes of the request the upstream lacks; raise OSError."""
        unsent = self._size - self.sent
        undelivered = await self._delivery.async_undelivered()
        return unsent + undelivered

    async def async_delivered(self) -> None:
        """Wait until the upstream has the whole request.

        Raise OSError if it won't have it, or takes nothing for DELIVERY_SECONDS, or
        closes with a part of a long request unread, for which its kernel sends a reset.
        """
        left = await self.async_undelivered()
        since = await curio.clock()
        while left:
            if self.failure:
                raise ConnectionResetError(self.failure)
            await curio.sleep(const.DELIVERY_CHECK_SECONDS)
            before, left = left, await self.async_undelivered()
            now = await curio.clock()
            if left < before:
                since = now
            elif now - since > const.DELIVERY_SECONDS:
                raise TimeoutError(f"{left} bytes of the request were not received")
        if self._size > const.SEND_AT_ONCE_BYTES:
            await curio.sleep(const.RESET_SECONDS)
            await self._delivery.async_check_open()
