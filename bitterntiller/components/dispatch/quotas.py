"""What workspaces have used of their quotas, and what is set aside, over all hosts."""

from collections import Counter
from typing import NamedTuple

from bitterntiller.components.config.models import Config, Quota
from bitterntiller.components.settings.models import Bucket, QuotaWindow

WINDOW_SLICES = 40
"""Parts of a window in which use is summed up; what is older than a window leaves by
these steps."""

RESERVATION_EXPIRY_SECONDS = 60.0
"""How long a reservation is kept that nobody settles: longer than any request waits. It
is left over when both the answer and the report that settles it are lost."""


class QuotaState(NamedTuple):
    """What is left of a workspace's quota, in its unit.

    left is what is left of the window and level what a token bucket holds, each less
    what is set aside. most is what a window allows to the hosts that report here, whole
    what it allows to all of them; rate and depth are the bucket's.
    """

    remaining: float
    level: float
    limit: float
    total_limit: float
    rate: float
    depth: float


class _Reservation(NamedTuple):
    """An amount set aside at a time for one request."""

    workspace: str
    amount: int
    at: float


class _WindowUsage:
    """What a workspace has used within the last window, by slices of time."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._amount_by_slice: dict[int, float] = {}

    def add(self, amount: float, when: float, now: float) -> None:
        """Note an amount used at a time; below 0 takes one back that was noted then."""
        number = int(when * WINDOW_SLICES / self._seconds)
        if number < self._oldest(now):
            return
        known = self._amount_by_slice.get(number, 0.0)
        self._amount_by_slice[number] = known + amount

    def sum(self, now: float) -> float:
        """Return what was used within the window that ends now."""
        oldest = self._oldest(now)
        for passed in [item for item in self._amount_by_slice if item < oldest]:
            del self._amount_by_slice[passed]
        return sum(self._amount_by_slice.values())

    def _oldest(self, now: float) -> int:
        return int(now * WINDOW_SLICES / self._seconds) - WINDOW_SLICES

    def level(self, bucket: Bucket, now: float) -> float:
        """Return what a token bucket holds that was full a window ago.

        Below 0 is what was used beyond it.
        """
        self.sum(now)
        width = self._seconds / WINDOW_SLICES
        level, last = bucket.depth, now - self._seconds
        for number in sorted(self._amount_by_slice):
            when = max(last, number * width)
            level = min(bucket.depth, level + bucket.rate * (when - last))
            level -= self._amount_by_slice[number]
            last = when
        return min(bucket.depth, level + bucket.rate * max(0.0, now - last))


class QuotaLedger:
    """Counts the use of the window that has just passed, and what is set aside.

    Set aside is what was reserved for a request until its host settles it, what a host
    holds of its own for requests that wait, and what a host was lent to use without
    asking. A host that is lost may have used all of that, or may still do so when it
    wakes up: it counts as used from the moment at which the host is forgotten.

    The window counts from the sendings, which a rule of the deployment may do as well.
    The bucket counts a reservation from its making: requests that wait for an upstream
    would else keep those after them from being let through at the quota's rate.

    A new ledger knows nothing, and is told by each entry host what that host has sent
    in the whole window, and when: with nothing counted, each change of the counting
    host would add a whole window.
    """

    def __init__(self, window: QuotaWindow) -> None:
        self._window = window
        self._usage_by_workspace: dict[str, _WindowUsage] = {}
        self._bucket_usage_by_workspace: dict[str, _WindowUsage] = {}
        self._held_by_host: dict[str, dict[str, int]] = {}
        self._lent_by_host: dict[str, dict[str, int]] = {}
        self._reserved_by_host: dict[str, dict[int, _Reservation]] = {}
        self._set_aside_by_workspace: Counter[str] = Counter()
        self._reserved_by_workspace: Counter[str] = Counter()

    def record_usage(
        self, workspace: str, amount: float, age: float, now: float
    ) -> None:
        """Note an amount that was used some seconds ago."""
        self._find_or_add(self._usage_by_workspace, workspace).add(
            amount, now - age, now
        )
        self._find_or_add(self._bucket_usage_by_workspace, workspace).add(
            amount, now - age, now
        )

    def _find_or_add(
        self, uses: dict[str, _WindowUsage], workspace: str
    ) -> _WindowUsage:
        found = uses.get(workspace)
        if found is None:
            found = uses[workspace] = _WindowUsage(self._window.seconds)
        return found

    def set_held(self, host: str, held_by_workspace: dict[str, int]) -> None:
        """Note all that a host holds of its own now, for requests that wait."""
        self._replace_amounts(self._held_by_host, host, held_by_workspace)

    def set_lent(self, host: str, lent_by_workspace: dict[str, int]) -> None:
        """Note what a host may use without asking, in place of what it was lent."""
        self._replace_amounts(self._lent_by_host, host, lent_by_workspace)

    def lent(self, host: str) -> dict[str, int]:
        """Return what a host may use without asking, by workspace."""
        return self._lent_by_host.get(host, {})

    def _replace_amounts(
        self,
        amounts_by_host: dict[str, dict[str, int]],
        host: str,
        amount_by_workspace: dict[str, int],
    ) -> None:
        self._set_aside_by_workspace.subtract(amounts_by_host.get(host, {}))
        self._set_aside_by_workspace.update(amount_by_workspace)
        amounts_by_host[host] = amount_by_workspace

    def reserve(
        self, host: str, number: int, workspace: str, amount: int, now: float
    ) -> None:
        """Set an amount aside under a host's own number."""
        reserved = self._reserved_by_host.setdefault(host, {})
        reserved[number] = _Reservation(workspace, amount, now)
        self._reserved_by_workspace[workspace] += amount
        self._find_or_add(self._bucket_usage_by_workspace, workspace).add(
            amount, now, now
        )

    def is_reserved(self, host: str, number: int) -> bool:
        """Tell whether a host's reservation is set aside here."""
        return number in self._reserved_by_host.get(host, ())

    def settle(self, host: str, numbers: list[int], now: float) -> None:
        """End reservations that were used, which is told as use, or given up."""
        reserved = self._reserved_by_host.get(host, {})
        for number in numbers:
            found = reserved.pop(number, None)
            if found is not None:
                self._release(found, now)

    def _release(self, reservation: _Reservation, now: float) -> None:
        workspace, amount, made_at = reservation
        self._reserved_by_workspace[workspace] -= amount
        self._find_or_add(self._bucket_usage_by_workspace, workspace).add(
            -amount, made_at, now
        )

    def forget_host(self, host: str, now: float) -> None:
        """Count what a host that reports no more has set aside as used now."""
        aside = Counter(self._held_by_host.pop(host, {}))
        aside.update(self._lent_by_host.pop(host, {}))
        self._set_aside_by_workspace.subtract(aside)
        for reservation in self._reserved_by_host.pop(host, {}).values():
            self._release(reservation, now)
            aside[reservation.workspace] += reservation.amount
        for workspace, amount in aside.items():
            if amount:
                self.record_usage(workspace, amount, 0.0, now)

    def expire_reservations(self, now: float) -> None:
        """Give back reservations that nobody has settled."""
        oldest = now - RESERVATION_EXPIRY_SECONDS
        for host, reserved in self._reserved_by_host.items():
            old = [number for number, item in reserved.items() if item.at < oldest]
            self.settle(host, old, now)

    def state(
        self, workspace: str, config: Config, host_fraction: float, now: float
    ) -> QuotaState | None:
        """Return what is left to a workspace, None for one without a quota.

        part is the part of the deployment's entry hosts that report here: when some are
        cut off they have a ledger of their own, and whole limits in both would add up
        to two.

        By the window alone, a workspace that asks for several times its quota gets all
        of it in two seconds and nothing in the next six, when also what is within its
        rate is refused. So it gets what a token bucket holds.
        """
        found = config.workspaces_by_name.get(workspace)
        if found is None or found.quota is None:
            return None
        total_limit = self._window.limit(found.quota.rate, found.quota.burst)
        limit = total_limit * host_fraction
        bucket = self._bucket(found.quota, host_fraction)
        use = self._usage_by_workspace.get(workspace)
        pace = self._bucket_usage_by_workspace.get(workspace)
        aside = self._set_aside_by_workspace[workspace]
        used = self._reserved_by_workspace[workspace] + (use.sum(now) if use else 0.0)
        level = pace.level(bucket, now) if pace else bucket.depth
        return QuotaState(
            remaining=limit - aside - used,
            level=level - aside,
            limit=limit,
            total_limit=total_limit,
            rate=bucket.rate,
            depth=bucket.depth,
        )

    def _bucket(self, quota: Quota, host_fraction: float) -> Bucket:
        """Return the token bucket of the hosts that report here.

        Use leaves the window by whole slices, so that up to one more than the window is
        counted. A bucket of the whole depth would hold what the window does not have
        yet, and a request that returns at its time would be refused for it.
        """
        rate, depth = self._window.bucket(quota.rate, quota.burst)
        slice_ = rate * self._window.seconds / WINDOW_SLICES
        return Bucket(rate * host_fraction, max(0.0, depth - slice_) * host_fraction)
