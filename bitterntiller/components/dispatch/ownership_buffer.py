"""Registrations that arrive before this host learns that it owns their pool."""

from typing import Any, NamedTuple

BUFFER_SECONDS = 5.0
MAX_BUFFERED = 10_000


class _Buffered(NamedTuple):
    at: float
    message: Any


class OwnershipBuffer:
    """Keeps registrations for a pool for a few seconds.

    Hosts learn of a new owner with their own heartbeats, the owner itself perhaps last.
    If registrations were dropped until then, the owner would not count work that runs,
    and requests would wait for nothing.
    """

    def __init__(self) -> None:
        self._buffered_by_pool: dict[str, list[_Buffered]] = {}

    def put(self, message: Any, now: float) -> None:
        """Keep a Register or Reregister; beyond MOST_KEPT for a pool it is dropped."""
        buffered = self._buffered_by_pool.setdefault(message.pool, [])
        if buffered and now - buffered[0].at > BUFFER_SECONDS:
            buffered[:] = [item for item in buffered if now - item.at <= BUFFER_SECONDS]
        if len(buffered) < MAX_BUFFERED:
            buffered.append(_Buffered(now, message))

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing is kept."""
        return not self._buffered_by_pool

    def take(self, pool: str, now: float) -> list[Any]:
        """Return and drop what arrived for a pool in the last seconds."""
        buffered = self._buffered_by_pool.pop(pool, [])
        return [item.message for item in buffered if now - item.at <= BUFFER_SECONDS]
