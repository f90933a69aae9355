"""Buffer for registrations that arrive before this host is known to own the pool."""

from typing import Any, NamedTuple

BUFFER_SECONDS = 5.0
MAX_BUFFERED = 10_000


class _Buffered(NamedTuple):
    at: float
    message: Any


class OwnershipBuffer:
    """Buffers registrations for a pool for a few seconds.

    Hosts receive a new owner with their own heartbeats, and the owner may be the last
    one. If it dropped registrations until then, it would not count running requests,
    and waiting requests would be delayed needlessly.
    """

    def __init__(self) -> None:
        self._buffered_by_pool: dict[str, list[_Buffered]] = {}

    def put(self, message: Any, now: float) -> None:
        """Buffer a Register or Reregister; drop it beyond MAX_BUFFERED per pool."""
        buffered = self._buffered_by_pool.setdefault(message.pool, [])
        if buffered and now - buffered[0].at > BUFFER_SECONDS:
            buffered[:] = [item for item in buffered if now - item.at <= BUFFER_SECONDS]
        if len(buffered) < MAX_BUFFERED:
            buffered.append(_Buffered(now, message))

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is buffered."""
        return not self._buffered_by_pool

    def take(self, pool: str, now: float) -> list[Any]:
        """Remove and return what arrived for a pool within BUFFER_SECONDS."""
        buffered = self._buffered_by_pool.pop(pool, [])
        return [item.message for item in buffered if now - item.at <= BUFFER_SECONDS]
