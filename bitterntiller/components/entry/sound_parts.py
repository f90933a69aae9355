"""Reports parts of prompts that recent responses show to be sound."""

from collections.abc import Iterator

from bitterntiller.components.entry.registry import RequestRegistry
from bitterntiller.core.interfaces import CrashWatch


class SoundParts:
    """Compares new crash evidence with the responses that this host relays."""

    def __init__(self, registry: RequestRegistry, crashes: CrashWatch) -> None:
        self._registry = registry
        self._crashes = crashes

    async def async_on_evidence(self, fingerprints: frozenset[int]) -> None:
        """Clear those on which a response lasted after the upstream had crashed."""
        suspected = {item for item in fingerprints if self._crashes.has_crashes(item)}
        if suspected:
            sound = set(self._sound(suspected))
            await self._crashes.async_record_success(*sound)

    def _sound(self, suspected: set[int]) -> Iterator[int]:
        for active in self._registry.by_id.values():
            if active.parts_sound:
                yield from suspected.intersection(active.part_fingerprints)
        for ended_at, parts in self._registry.sound_parts:
            for part in suspected.intersection(parts):
                if ended_at > self._crashes.crashed_at(part):
                    yield part
