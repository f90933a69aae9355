"""Limits in bytes of what control keeps, derived from the memory of its process."""

from typing import NamedTuple

from bitterntiller.components.settings.models import Limits


class ControlBudget(NamedTuple):
    """Limits in bytes.

    copies: compressed configurations that nodes load in parts.
    document: one configuration, decoded.
    changes: configurations that are decided now, decoded.
    """

    copies: int
    document: int
    changes: int


def control_budget(limits: Limits) -> ControlBudget:
    """Return the limits for a process with these limits."""
    memory = limits.memory_bytes
    return ControlBudget(
        copies=memory // 64, document=memory // 16, changes=memory // 8
    )
