"""Holds back the first commands of a deployment until its membership is complete.

A deployment forms with its bootstrap hosts as voters; its other hosts join as learners
and are promoted one by one. What a majority of the bootstrap hosts has confirmed
before that doesn't survive as many losses as the target number of voters does.
"""

from .const import FORMATION_TIMEOUT
from .members import voters
from .state import Role, State


class Formation:
    """Whether commands wait for voters, on a leader of a log without commands.

    If hosts are missing, commands wait for FORMATION_TIMEOUT after the takeover.
    """

    def __init__(self) -> None:
        self._term = 0
        self._took_over_at = 0.0

    def is_awaited(self, state: State, now: float) -> bool:
        """Return whether a command must not be proposed yet."""
        if state.role is not Role.LEADER:
            return False
        if state.term != self._term:
            self._term = state.term
            self._took_over_at = now
        if len(voters(state.members)) >= state.tuning.target_voters:
            return False
        return now < self._took_over_at + FORMATION_TIMEOUT
