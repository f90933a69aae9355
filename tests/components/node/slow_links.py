"""Links of a fake network with a bandwidth, on a manual clock."""

from bitterntiller.components.links.errors import LinkTimeoutError
from bitterntiller.protocol import encode


class SlowLinks:
    """Links whose replies take time by their size; one after the other.

    bandwidth is in bytes per second. A reply whose caller no longer waits takes its
    time on the link all the same.
    """

    def __init__(self, links, clock, bandwidth):
        self._links = links
        self._clock = clock
        self._bandwidth = bandwidth
        self._busy_until = clock.now()
        self.received_bytes = 0

    async def async_call(self, address, message, timeout):
        """Deliver a message; raise LinkTimeoutError once the timeout has passed."""
        now = self._clock.now()
        reply = await self._links.async_call(address, message, timeout)
        size = len(encode(reply))
        self.received_bytes += size
        self._busy_until = max(self._busy_until, now) + size / self._bandwidth
        if self._busy_until > now + timeout:
            self._clock.advance(timeout)
            raise LinkTimeoutError(f"{address} did not answer in {timeout} s")
        self._clock.advance(self._busy_until - now)
        return reply
