"""Registrations that arrive before this host learns that it owns their pool."""

from typing import Any, NamedTuple

KEPT_SECONDS = 5.0
MOST_KEPT = 10_000


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
        held = self._buffered_by_pool.setdefault(message.pool, [])
        if held and now - held[0].at > KEPT_SECONDS:
            held[:] = [item for item in held if now - item.at <= KEPT_SECONDS]
        if len(held) < MOST_KEPT:
            held.append(_Buffered(now, message))

    @property
    def empty(self) -> bool:
        """Tell whether nothing is kept."""
        return not self._buffered_by_pool

    def take(self, pool: str, now: float) -> list[Any]:
        """Return and drop what arrived for a pool in the last seconds."""
        held = self._buffered_by_pool.pop(pool, [])
        return [item.message for item in held if now - item.at <= KEPT_SECONDS]
