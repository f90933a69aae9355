"""Registrations that come before this host has heard that it owns their pool."""

from typing import Any, NamedTuple

EARLY_SECONDS = 5.0
EARLY_MOST = 10_000


class _Early(NamedTuple):
    at: float
    message: Any


class OwnershipBuffer:
    """Holds registrations for a pool for a few seconds.

    Hosts hear of a new owner at their own heartbeats, the owner itself perhaps
    last. Registrations that were dropped until then would show as running work
    that the owner does not count, and as requests that wait for nothing.
    """

    def __init__(self) -> None:
        self._early_by_pool: dict[str, list[_Early]] = {}

    def put(self, message: Any, now: float) -> None:
        """Hold a Register or Reregister; beyond EARLY_MOST for a pool it is dropped."""
        held = self._early_by_pool.setdefault(message.pool, [])
        if held and now - held[0].at > EARLY_SECONDS:
            held[:] = [item for item in held if now - item.at <= EARLY_SECONDS]
        if len(held) < EARLY_MOST:
            held.append(_Early(now, message))

    @property
    def empty(self) -> bool:
        """Tell whether nothing is held."""
        return not self._early_by_pool

    def take(self, pool: str, now: float) -> list[Any]:
        """Return what came for a pool in the last seconds, and forget it."""
        held = self._early_by_pool.pop(pool, [])
        return [item.message for item in held if now - item.at <= EARLY_SECONDS]
