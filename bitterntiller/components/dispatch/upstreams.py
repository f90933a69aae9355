"""The upstreams of a pool, and which of them can accept another request."""

import random
from collections.abc import Callable, Iterator

from bitterntiller.components.dispatch.combined_limit import CombinedLimit
from bitterntiller.components.dispatch.concurrency_samples import Sample
from bitterntiller.components.dispatch.const import (
    FORGET_UPSTREAM_SECONDS,
    KIND_PLAIN,
    PROBE_SECONDS,
)
from bitterntiller.components.dispatch.health import Health
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.ledger import Ledger
from bitterntiller.components.dispatch.models import PolicyParameters, UpstreamState
from bitterntiller.components.dispatch.outliers import OutlierState
from bitterntiller.components.dispatch.pace import PoolPace, UpstreamPace
from bitterntiller.components.dispatch.prefix import PrefixCache, PrefixIndex
from bitterntiller.components.dispatch.speed import PoolSpeed, new_speed
from bitterntiller.components.dispatch.stated_speed import StatedSpeed
from bitterntiller.components.dispatch.upstream_events import (
    UpstreamChange,
    UpstreamEvent,
)
from bitterntiller.components.dispatch.upstream_rate_limiter import UpstreamRateLimiter
from bitterntiller.components.rollouts.const import LABEL_VERSION

ACTIVITY_SECONDS = 2.0
"""How long an upstream that is silent towards control is used after its last output."""

MESSAGE_SECONDS = 0.1
"""Delay of messages on a busy machine, during which a short call seems to run on."""

AllowedNames = frozenset[str] | None
"""Names of the upstreams that a request may use; None means all upstreams."""


class Upstream:
    """An upstream, with its announced state and what the owner has measured.

    paced says whether its pace is learned and considered by placement.
    """

    def __init__(
        self,
        state: UpstreamState,
        parameters: PolicyParameters,
        pool: PoolSpeed,
        index: PrefixIndex,
        now: float,
        pace: PoolPace | None = None,
        uneven: Callable[[], bool] = bool,
    ) -> None:
        self.name = state.name
        self.state = state
        self.last_announced_at = now
        self.last_active_at = now
        self.last_granted_at = float("-inf")
        self.ledger = Ledger()
        self._kind = parameters.kind
        self._pool_speed = pool
        self.speed = new_speed(parameters.kind, pool)
        self.stated = StatedSpeed()
        self._adaptive = parameters.adaptive
        self._uneven = uneven
        self.limit = self._new_limit()
        self.health = Health()
        self.outlier = OutlierState()
        self.pace = UpstreamPace(pace or PoolPace())
        self.paced = False
        self.rate_limiter = UpstreamRateLimiter()
        self.prefixes = PrefixCache(state.name, index)
        self.reserved_for: str | None = None
        self.reports_progress = False
        self.says_leaving = False
        self.member = False
        self.free = False
        self._silence_seconds = parameters.silence_seconds
        self._prefill_window = parameters.prefill_window

    def restart(self) -> None:
        """Reset requests, prefixes, failures, limits and speed of the old incarnation.

        Otherwise an upstream that was slow before its restart would get few requests
        for a long time, and requests would be sent to it for prefixes that it lost.
        """
        self.speed = new_speed(self._kind, self._pool_speed)
        self.stated = StatedSpeed()
        self.ledger.clear()
        self.prefixes.clear()
        self.health.record_success()
        self.outlier = OutlierState()
        self.pace.reset()
        self.limit = self._new_limit()
        self.rate_limiter = UpstreamRateLimiter()
        self.reserved_for = None
        self.says_leaving = False

    def event(self, change: UpstreamChange, now: float) -> UpstreamEvent:
        """Return the event of a change, with the state that it was based on."""
        unhealthy = change is UpstreamChange.UNHEALTHY
        return UpstreamEvent(
            self.name,
            change,
            announcement_age=now - self.last_announced_at,
            activity_age=now - self.last_active_at,
            in_flight=self.ledger.in_flight,
            probe_in=self.health.paused_until - now if unhealthy else None,
            limit=self.rate_limiter.limit,
        )

    def _new_limit(self) -> CombinedLimit:
        plain = self._kind == KIND_PLAIN
        return CombinedLimit(self._adaptive, self._uneven, suspects=plain)

    def learn_concurrency(
        self, job: Job, expected: float, allowed: float, now: float
    ) -> None:
        """Learn the concurrency limit from a request that ends.

        expected and allowed are the seconds that requests of its size usually take, and
        those that its objective allows.
        """
        seconds = now - job.granted_at
        if job.adopted or seconds <= 0:
            return
        load = self.ledger.load_seconds(now) - job.load_at_start
        sample = Sample(now, seconds, expected, load / seconds, allowed)
        in_flight = self.ledger.in_flight + self.ledger.foreign_requests(now)
        self.limit.learned.learn(sample, in_flight, self.state.slots)

    def review_concurrency(
        self, usual_seconds: Callable[[Job], float | None], now: float
    ) -> None:
        """Begin or end a trial of another concurrency limit."""
        if not self.ledger.jobs_by_id:
            return
        in_flight = self.ledger.in_flight + self.ledger.foreign_requests(now)
        running = [
            (now - job.granted_at - MESSAGE_SECONDS) / usual
            for job in self.ledger.jobs_by_id.values()
            if not job.adopted and (usual := usual_seconds(job))
        ]
        self.limit.learned.review(in_flight, self.state.slots, running, now)

    @property
    def version(self) -> str:
        """Return the version of its software, empty if not announced."""
        return self.state.labels.get(LABEL_VERSION, "")

    @property
    def leaving(self) -> bool:
        """Whether it is leaving, by its announcements or by its responses."""
        return self.state.leaving or self.says_leaving

    def usable(self, now: float) -> bool:
        """Return whether the upstream can be used: announced recently and not leaving.

        An upstream that is silent towards control may only be cut off from control, so
        it is used as long as its output arrives.
        """
        if self.state.silent and now - self.last_active_at > ACTIVITY_SECONDS:
            return False
        return (
            not self.leaving and now - self.last_announced_at <= self._silence_seconds
        )

    def can_be_forgotten(self, now: float) -> bool:
        """Return whether the upstream has been unusable for long enough to forget it.

        The age of its announcement alone is not sufficient: where owners receive only
        changes, a usable upstream may not be announced for days, and requests would be
        refused beside idle upstreams.
        """
        if self.usable(now) or self.ledger.in_flight:
            return False
        return (
            now - max(self.last_announced_at, self.last_active_at)
            > FORGET_UPSTREAM_SECONDS
        )

    def free_slots(self, now: float) -> float:
        """Return how many more requests may be in flight."""
        limit = self.limit.limit(self.state.slots)
        return (
            limit - self.ledger.in_flight - int(self.ledger.foreign_requests(now) + 0.5)
        )

    def prefill_wait(self, now: float) -> float:
        """Return the seconds until outstanding prefill fits the prefill window."""
        if not self.ledger.prefilling_by_id:
            return 0.0
        if self.paced:
            ahead = self.pace.prefill_seconds_ahead(self.ledger, now)
        else:
            ahead = self.ledger.prefill_backlog(self.speed, now)
        return max(0.0, ahead - self._prefill_window)

    def can_take(self, now: float) -> bool:
        """Return whether another request may be sent now."""
        return (
            self.usable(now)
            and self.free_slots(now) >= 1
            and self.health.allows_request(self.ledger.in_flight, now)
            and self.outlier.allows_request(now)
            and self.prefill_wait(now) <= 0.0
            and self.rate_limiter.wait_seconds(now) <= 0.0
        )

    def usable_slots(self, seconds: float) -> int:
        """Return the maximum concurrency of requests that take so many seconds each."""
        slots = self.limit.limit(self.state.slots)
        return max(1, int(min(slots, self.rate_limiter.sustained_concurrency(seconds))))

    def needs_speed_probe(self, now: float) -> bool:
        """Return whether the measured speed is missing or outdated.

        An upstream that was slow for a while would otherwise get no requests, since all
        would be expected to end too late, and its recovery would never be measured: the
        service would refuse everything beside idle upstreams. One request at a
        time is therefore sent as a probe, every PROBE_SECONDS.
        """
        return not self.ledger.in_flight and now - self.last_granted_at >= PROBE_SECONDS

    def has_free_slots(self, fraction: float) -> bool:
        """Return whether another request fits into a fraction of the slots."""
        if fraction >= 1.0:
            return True
        slots = self.limit.limit(self.state.slots)
        return self.ledger.in_flight < max(1.0, fraction * slots)

    def has_memory_for(self, kv_tokens: int, fraction: float = 1.0) -> bool:
        """Return whether another request's tokens fit into a fraction of the memory."""
        limit = self.state.kv_tokens * fraction
        if limit <= 0 or not self.ledger.jobs_by_id:
            return True
        return self.ledger.kv_tokens + kv_tokens <= limit


class NameSet:
    """A set of names that supports sampling in constant time."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._index_by_name: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __iter__(self) -> Iterator[str]:
        return iter(self._names)

    def __contains__(self, name: str) -> bool:
        return name in self._index_by_name

    def add(self, name: str) -> None:
        """Add a name."""
        if name in self._index_by_name:
            return
        self._index_by_name[name] = len(self._names)
        self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name by moving the last one to its position."""
        index = self._index_by_name.pop(name, None)
        if index is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[index] = last
            self._index_by_name[last] = index

    def sample(self, count: int, rng: random.Random) -> list[str]:
        """Return a random sample of names, drawn with replacement."""
        names = self._names
        size = len(names)
        return [names[int(rng.random() * size)] for _ in range(count)]


class UpstreamView:
    """The upstreams that one set of names allows, and those of them that are free.

    best_prefill and best_decode are the minimum expected seconds per thousand tokens
    over these upstreams, as of best_updated_at.
    """

    def __init__(self, names: AllowedNames) -> None:
        self.names = names
        self.members = NameSet()
        self.free = NameSet()
        self.best_updated_at = float("-inf")
        self.best_prefill = 0.0
        self.best_decode = 0.0

    def allows(self, name: str) -> bool:
        """Return whether an upstream belongs to this view."""
        return self.names is None or name in self.names


class UpstreamViews:
    """One view for each set of names that requests may use."""

    MAX_VIEWS = 256

    def __init__(self) -> None:
        self.unrestricted = UpstreamView(None)
        self._views_by_names: dict[AllowedNames, UpstreamView] = {
            None: self.unrestricted
        }

    def get(
        self, names: AllowedNames, upstreams_by_name: dict[str, Upstream]
    ) -> UpstreamView:
        """Return the view of a set of names, creating it on first use."""
        view = self._views_by_names.get(names)
        if view is None:
            # Changes of selectors leave unused views behind. Views are created on
            # demand, so all are dropped when there are too many.
            if len(self._views_by_names) >= self.MAX_VIEWS:
                self._views_by_names = {None: self.unrestricted}
            view = self._views_by_names[names] = UpstreamView(names)
            for name in names or ():
                upstream = upstreams_by_name.get(name)
                if upstream is not None and upstream.member:
                    self._update_view(view, upstream)
        return view

    def member_groups(self) -> list[NameSet]:
        """Return the members of each view."""
        return [view.members for view in self._views_by_names.values()]

    def update(self, upstream: Upstream, member: bool) -> None:
        """Update all views after a change of one upstream."""
        for view in self._views_by_names.values():
            if not view.allows(upstream.name):
                continue
            if not member:
                view.members.discard(upstream.name)
                view.free.discard(upstream.name)
                continue
            self._update_view(view, upstream)

    @staticmethod
    def _update_view(view: UpstreamView, upstream: Upstream) -> None:
        view.members.add(upstream.name)
        if upstream.free:
            view.free.add(upstream.name)
        else:
            view.free.discard(upstream.name)
