"""The levels of the quotas of workspaces over all entry hosts."""

from bitterntiller.components.config.models import Config, Quota
from bitterntiller.components.settings.models import QuotaWindow

SLICES = 40
"""Parts of a window in which use is summed up; what is older than a window leaves by
these steps."""


class _Use:
    """What a workspace has used within the last window, by slices of time."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._amount_by_slice: dict[int, float] = {}
        self.sum = 0.0

    def add(self, amount: float, when: float, now: float) -> None:
        """Note an amount used at a time within the window."""
        number = int(when * SLICES / self._seconds)
        known = self._amount_by_slice.get(number, 0.0)
        self._amount_by_slice[number] = known + amount
        oldest = int(now * SLICES / self._seconds) - SLICES
        for passed in [item for item in self._amount_by_slice if item < oldest]:
            del self._amount_by_slice[passed]
        self.sum = sum(self._amount_by_slice.values())


class QuotaLedger:
    """Counts the use of each workspace in the window that has just passed.

    A new ledger knows nothing, and is told by each entry host what that host has let
    through in the whole window: with nothing counted, each change of the counting host
    would add a whole window.
    """

    def __init__(self, window: QuotaWindow) -> None:
        self._window = window
        self._use_by_workspace: dict[str, _Use] = {}

    def note(self, workspace: str, amount: float, over: float, now: float) -> None:
        """Note an amount that was used evenly over some seconds until now."""
        use = self._use_by_workspace.get(workspace)
        if use is None:
            use = self._use_by_workspace[workspace] = _Use(self._window.seconds)
        over = min(over, self._window.seconds)
        step = self._window.seconds / SLICES
        count = max(1, int(over / step))
        for number in range(count):
            use.add(amount / count, now - number * step, now)

    def left(self, workspace: str, config: Config, part: float) -> float | None:
        """Return what is left, None for one without a quota.

        part is the part of the deployment's entry hosts that report here: when some are
        cut off they have a ledger of their own, and whole limits in both would add up
        to two.
        """
        found = config.workspaces_by_name.get(workspace)
        if found is None or found.quota is None:
            return None
        limit = self._limit(found.quota)
        use = self._use_by_workspace.get(workspace)
        return limit * part - (use.sum if use else 0.0)

    def _limit(self, quota: Quota) -> float:
        return self._window.limit(quota.rate, quota.burst)
