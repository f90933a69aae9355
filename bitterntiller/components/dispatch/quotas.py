"""The levels of the quotas of workspaces over all entry hosts."""

from collections import deque

from bitterntiller.components.config.models import Config, Quota
from bitterntiller.components.settings.models import QuotaWindow

SLICES = 40
"""Parts of a window in which use is summed up; what is older than a window leaves by
these steps."""


class _Use:
    """What a workspace has used within the last window, by slices of time."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._slices: deque[tuple[int, float]] = deque()
        self.sum = 0.0

    def add(self, amount: float, when: float, now: float) -> None:
        """Note an amount used at a time that is not before the last one noted."""
        number = int(when * SLICES / self._seconds)
        if self._slices and self._slices[-1][0] == number:
            amount += self._slices.pop()[1]
        self._slices.append((number, amount))
        self._forget(now)

    def _forget(self, now: float) -> None:
        oldest = int(now * SLICES / self._seconds) - SLICES
        while self._slices and self._slices[0][0] < oldest:
            self._slices.popleft()
        self.sum = sum(amount for _, amount in self._slices)


class QuotaLedger:
    """Counts the use of each workspace in the window that has just passed.

    A new ledger follows on one whose counts it does not know. It takes over what the
    first entry host that reports has heard to be left, as used evenly in the window:
    with nothing counted, each change of the counting host would add a whole window.
    """

    def __init__(self, window: QuotaWindow) -> None:
        self._window = window
        self._use_by_workspace: dict[str, _Use] = {}

    def use(
        self,
        workspace: str,
        amount: int,
        told: float,
        config: Config,
        now: float,
        part: float = 1.0,
    ) -> float | None:
        """Take what was used; return what is left, None for one without a quota.

        told is the level that the reporting host has heard last. part is the part of
        the deployment's entry hosts that report here: when some are cut off they have
        a ledger of their own, and whole limits in both would add up to two.
        """
        found = config.workspaces_by_name.get(workspace)
        if found is None or found.quota is None:
            return None
        limit = self._limit(found.quota)
        use = self._use_by_workspace.get(workspace)
        if use is None:
            use = self._use_by_workspace[workspace] = _Use(self._window.seconds)
            self._take_over(use, max(0.0, limit - told) * part, now)
        use.add(amount, now, now)
        return limit * part - use.sum

    def _take_over(self, use: _Use, amount: float, now: float) -> None:
        step = self._window.seconds / SLICES
        for number in range(SLICES, 0, -1):
            use.add(amount / SLICES, now - number * step, now)

    def _limit(self, quota: Quota) -> float:
        return self._window.limit(quota.rate, quota.burst)
