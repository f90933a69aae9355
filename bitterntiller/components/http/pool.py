"""A pool of reusable connections to upstreams."""

from collections import deque

from bitterntiller.components.http import const
from bitterntiller.components.http.client import ClientExchange
from bitterntiller.core.clock import Clock


class ConnectionPool:
    """Idle connections by address; max_idle is per address and 0 disables reuse.

    Times are in seconds. A connection is reused only if it received nothing while idle
    and was idle for less than idle_limit and than half of the upstream's keep-alive
    timeout. An upstream could otherwise close it while a request is being sent, and
    whether that request ran would be unknown.
    """

    def __init__(
        self,
        clock: Clock,
        max_idle: int = 0,
        idle_limit: float = const.DEFAULT_IDLE_LIMIT,
        allow_close_delimited: bool = False,
    ) -> None:
        self._clock = clock
        self._max_idle = max_idle
        self._idle_limit = idle_limit
        self._allow_close_delimited = allow_close_delimited
        self._idle_by_address: dict[str, deque[ClientExchange]] = {}
        self.opened = 0
        self.reused = 0

    @property
    def allow_close_delimited(self) -> bool:
        """Whether a response may end with its connection; see ClientExchange."""
        return self._allow_close_delimited

    @property
    def keeps_connections(self) -> bool:
        """Return whether connections are kept for reuse."""
        return self._max_idle > 0

    async def async_acquire(
        self, address: str, timeout: float, request_id: str = ""
    ) -> ClientExchange:
        """Return a connection; raise ConnectRefusedError if none can be opened.

        The most recently used idle connection comes first, so that surplus ones expire.
        Those that have carried a request with this id are left idle.
        """
        client = await self.async_take_idle(address, request_id=request_id)
        if client is not None:
            return client
        return await self.async_open(address, timeout)

    async def async_take_idle(
        self,
        address: str,
        used_since: float = float("-inf"),
        request_id: str = "",
    ) -> ClientExchange | None:
        """Return an idle connection that was in use since a time, None without one.

        Those that have carried a request with this id are left idle: a copy of its
        response may follow there, and couldn't be told from that to a later one.
        """
        idle = self._idle_by_address.get(address, deque())
        while (client := _newest(idle, request_id)) is not None:
            idle.remove(client)
            usable = self._usable(client) and client.idle_since >= used_since
            if usable and client.is_quiet():
                self.reused += 1
                return client
            await client.async_close()
        return None

    async def async_open(self, address: str, timeout: float) -> ClientExchange:
        """Return a new connection; raise ConnectRefusedError."""
        self.opened += 1
        return await ClientExchange.async_open(
            address, timeout, self._allow_close_delimited
        )

    async def async_release(self, address: str, client: ClientExchange) -> None:
        """Keep a connection after its exchange, or close it."""
        used_up = client.exchanges >= const.MAX_EXCHANGES
        keeps = self._max_idle > 0 and not used_up
        if not keeps or not await client.async_prepare_reuse():
            await client.async_close()
            return
        client.idle_since = self._clock.now()
        idle = self._idle_by_address.setdefault(address, deque())
        idle.append(client)
        if len(idle) > self._max_idle:
            await idle.popleft().async_close()

    async def async_prune(self) -> None:
        """Close the connections that have been idle for too long."""
        for address, idle in list(self._idle_by_address.items()):
            while idle and not self._usable(idle[0]):
                await idle.popleft().async_close()
            if not idle:
                del self._idle_by_address[address]

    async def async_close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            while idle:
                await idle.pop().async_close()

    def idle_by_address(self) -> dict[str, int]:
        """Return the number of idle connections by address, for the state dump."""
        return {address: len(idle) for address, idle in self._idle_by_address.items()}

    def _usable(self, client: ClientExchange) -> bool:
        limit = self._idle_limit
        if client.keep_alive is not None:
            limit = min(limit, client.keep_alive / 2)
        return self._clock.now() - client.idle_since < limit


def _newest(idle: deque[ClientExchange], request_id: str) -> ClientExchange | None:
    """Return the connection used last that has not carried a request, if any."""
    candidates = (item for item in reversed(idle) if not item.has_carried(request_id))
    return next(candidates, None)
