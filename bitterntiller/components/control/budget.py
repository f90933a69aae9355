"""Limits in bytes of what control keeps, derived from the memory of its process."""

from typing import NamedTuple

from bitterntiller.components.settings.models import Limits


class ControlBudget(NamedTuple):
    """Limits in bytes.

    copies: compressed configurations that nodes load in parts.
    """

    copies: int


def control_budget(limits: Limits) -> ControlBudget:
    """Return the limits for a process with these limits."""
    return ControlBudget(copies=limits.memory_bytes // 64)
