"""The levels of the quotas of workspaces over all entry hosts."""

from bitterntiller.components.config.models import Config, Quota
from bitterntiller.components.settings.models import QuotaSlack

MOST_DEBT_SECONDS = 3.0
"""Seconds of its rate that a workspace can be overdrawn by at most.

Reports that are counted twice after a lost answer would otherwise shut a workspace out
for as long as the answers are lost.
"""


class QuotaLedger:
    """Buckets that fill at the rate of a quota, up to its burst.

    A new ledger follows on one whose levels it does not know. It takes over what the
    first entry host that reports has heard of them: full buckets would let each change
    of the counting host add a burst, and empty ones would refuse what is in the quota.
    """

    def __init__(self, slack: QuotaSlack) -> None:
        self._slack = slack
        self._level_by_workspace: dict[str, float] = {}
        self._filled_at_by_workspace: dict[str, float] = {}

    def use(
        self, workspace: str, amount: int, told: float, config: Config, now: float
    ) -> float | None:
        """Take what was used; return what is left, None for one without a quota.

        told is the level that the reporting host has heard last.
        """
        found = config.workspaces_by_name.get(workspace)
        if found is None or found.quota is None:
            return None
        level = self._filled(workspace, found.quota, told, now) - amount
        level = max(level, -MOST_DEBT_SECONDS * found.quota.rate)
        self._level_by_workspace[workspace] = level
        return level

    def _filled(self, workspace: str, quota: Quota, told: float, now: float) -> float:
        before = self._level_by_workspace.get(workspace, told)
        since = self._filled_at_by_workspace.get(workspace, now)
        self._filled_at_by_workspace[workspace] = now
        filled = before + quota.rate * self._slack.factor * (now - since)
        return min(quota.burst + self._slack.besides, filled)
