"""The memory's section of the state dump."""

from typing import Any

from bitterntiller.core.memory import MemoryHolders, resident_bytes


def describe(holders: MemoryHolders, limit: int) -> dict[str, Any]:
    """Return the bytes of each part, and of the process with its limit."""
    held_by_name = holders.measure()
    return {
        "limit": limit,
        "resident": resident_bytes(),
        "most_resident": holders.most_resident,
        "holders": {name: held._asdict() for name, held in held_by_name.items()},
    }
