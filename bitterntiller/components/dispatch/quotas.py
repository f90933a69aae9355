"""Usage and set-aside amounts of workspace quotas, summed over all entry hosts."""

from collections import Counter
from typing import NamedTuple

from bitterntiller.components.config.models import Config, Quota
from bitterntiller.components.settings.models import Bucket, QuotaWindow

WINDOW_SLICES = 40
"""Slices per window. Usage is summed per slice and leaves the window slice by slice."""

RESERVATION_EXPIRY_SECONDS = 60.0
"""Time after which an unsettled reservation is released; longer than any request waits.
A reservation stays unsettled if both the reply and the settling report are lost."""


class QuotaState(NamedTuple):
    """Remaining quota of a workspace, in the unit of its quota.

    remaining is the unused amount of the window and level the content of the token
    bucket, each minus what is set aside. limit is what a window allows to the entry
    hosts that report here, total_limit what it allows to all entry hosts. rate and
    depth are those of the token bucket.
    """

    remaining: float
    level: float
    limit: float
    total_limit: float
    rate: float
    depth: float


class _Reservation(NamedTuple):
    """An amount set aside for one request, and the time of the reservation."""

    workspace: str
    amount: int
    at: float


class _WindowUsage:
    """Usage of a workspace within the last window, by time slice."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._amount_by_slice: dict[int, float] = {}

    def add(self, amount: float, when: float, now: float) -> None:
        """Add an amount used at a time; a negative amount reverts an earlier one."""
        number = int(when * WINDOW_SLICES / self._seconds)
        if number < self._oldest(now):
            return
        known = self._amount_by_slice.get(number, 0.0)
        self._amount_by_slice[number] = known + amount

    def sum(self, now: float) -> float:
        """Return the amount used within the window that ends now."""
        oldest = self._oldest(now)
        for passed in [item for item in self._amount_by_slice if item < oldest]:
            del self._amount_by_slice[passed]
        return sum(self._amount_by_slice.values())

    def _oldest(self, now: float) -> int:
        return int(now * WINDOW_SLICES / self._seconds) - WINDOW_SLICES

    def level(self, bucket: Bucket, now: float) -> float:
        """Return the content of a token bucket that was full one window ago.

        It is below 0 if more was used than the bucket held.
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
    """Tracks the usage of a sliding window and the amounts that are set aside.

    Set aside are amounts reserved for a request until its host settles them, amounts
    that a host holds for its waiting requests, and amounts lent to a host, which it may
    use without asking. A lost host may have used all of these, or may still do so once
    it recovers, so they count as used from the time at which the host is forgotten.

    The window counts usage from the time of sending, as a rule of the deployment may.
    The bucket counts a reservation from the time at which it was made; otherwise
    requests that wait for an upstream would keep later requests from being admitted at
    the quota's rate.

    A new ledger is empty. Each entry host reports what it has sent within the whole
    window, and when; without these reports, each change of the counting host would
    grant another full window.
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
        """Record an amount that was used age seconds ago."""
        self._find_or_add(self._usage_by_workspace, workspace).add(
            amount, now - age, now
        )
        self._find_or_add(self._bucket_usage_by_workspace, workspace).add(
            amount, now - age, now
        )

    def _find_or_add(
        self, usage_by_workspace: dict[str, _WindowUsage], workspace: str
    ) -> _WindowUsage:
        found = usage_by_workspace.get(workspace)
        if found is None:
            found = usage_by_workspace[workspace] = _WindowUsage(self._window.seconds)
        return found

    def set_held(self, host: str, held_by_workspace: dict[str, int]) -> None:
        """Replace the amounts that a host holds for its waiting requests."""
        self._replace_amounts(self._held_by_host, host, held_by_workspace)

    def set_lent(self, host: str, lent_by_workspace: dict[str, int]) -> None:
        """Replace the amounts lent to a host, which it may use without asking."""
        self._replace_amounts(self._lent_by_host, host, lent_by_workspace)

    def lent(self, host: str) -> dict[str, int]:
        """Return the amounts lent to a host, by workspace."""
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
        """Set an amount aside under a reservation number of the host."""
        reserved = self._reserved_by_host.setdefault(host, {})
        reserved[number] = _Reservation(workspace, amount, now)
        self._reserved_by_workspace[workspace] += amount
        self._find_or_add(self._bucket_usage_by_workspace, workspace).add(
            amount, now, now
        )

    def is_reserved(self, host: str, number: int) -> bool:
        """Return whether a reservation of a host is set aside here."""
        return number in self._reserved_by_host.get(host, ())

    def settle(self, host: str, numbers: list[int], now: float) -> None:
        """End reservations: those used, which are reported as usage, or given up."""
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
        """Count all that is set aside for a lost host as used now."""
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
        """Release reservations that were not settled in time."""
        oldest = now - RESERVATION_EXPIRY_SECONDS
        for host, reserved in self._reserved_by_host.items():
            old = [number for number, item in reserved.items() if item.at < oldest]
            self.settle(host, old, now)

    def state(
        self, workspace: str, config: Config, host_fraction: float, now: float
    ) -> QuotaState | None:
        """Return the remaining quota of a workspace, or None if it has no quota.

        host_fraction is the fraction of the deployment's entry hosts that report here.
        Entry hosts that are cut off have a ledger of their own, and full limits in both
        would add up to twice the quota.

        With the window alone, a workspace that requests several times its quota would
        use all of it within two seconds and get nothing for the next six, in which even
        requests within its rate are refused. The token bucket spreads the usage.
        """
        found = config.workspaces_by_name.get(workspace)
        if found is None or found.quota is None:
            return None
        total_limit = self._window.limit(found.quota.rate, found.quota.burst)
        limit = total_limit * host_fraction
        bucket = self._bucket(found.quota, host_fraction)
        usage = self._usage_by_workspace.get(workspace)
        bucket_usage = self._bucket_usage_by_workspace.get(workspace)
        aside = self._set_aside_by_workspace[workspace]
        used = self._reserved_by_workspace[workspace] + (
            usage.sum(now) if usage else 0.0
        )
        level = bucket_usage.level(bucket, now) if bucket_usage else bucket.depth
        return QuotaState(
            remaining=limit - aside - used,
            level=level - aside,
            limit=limit,
            total_limit=total_limit,
            rate=bucket.rate,
            depth=bucket.depth,
        )

    def _bucket(self, quota: Quota, host_fraction: float) -> Bucket:
        """Return the token bucket of the entry hosts that report here.

        Usage leaves the window in whole slices, so up to one slice more than the window
        is counted. A bucket of full depth would hold an amount that the window does not
        have yet, and a request that is retried at the stated time would be refused.
        """
        rate, depth = self._window.bucket(quota.rate, quota.burst)
        slice_ = rate * self._window.seconds / WINDOW_SLICES
        return Bucket(rate * host_fraction, max(0.0, depth - slice_) * host_fraction)
