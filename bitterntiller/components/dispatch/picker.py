"""Picks the upstream that a request is sent to, if any can finish it in time."""

import random
from collections.abc import Iterable
from enum import Enum
from itertools import islice
from typing import NamedTuple

from bitterntiller.components.dispatch.canary_picker import CanaryPicker
from bitterntiller.components.dispatch.const import (
    HOUSEKEEPING_SECONDS,
    KIND_PLAIN,
    PREFIX_CANDIDATES,
    SCAN_ALL_UP_TO,
)
from bitterntiller.components.dispatch.isolation import Isolation
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import PolicyParameters
from bitterntiller.components.dispatch.pace import (
    Outlook,
    Wait,
    outlook,
    outlook_after_wait,
    wait_for_better,
)
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.prefix import prefix_tokens
from bitterntiller.components.dispatch.speed import LONG, SHORT
from bitterntiller.components.dispatch.upstreams import Upstream, UpstreamView

INFINITE_SECONDS = float("inf")


class PickStatus(Enum):
    """Whether an upstream was picked, and why not.

    BLOCKED: no upstream accepts the request now. PARK: those that accept it would
    finish it too late, but a busy one may finish it in time. LATE: no upstream can.
    """

    PICKED = "picked"
    BLOCKED = "blocked"
    PARK = "park"
    LATE = "late"


class PickResult(NamedTuple):
    """Status, and the upstream that was picked or is worth waiting for.

    cached is the expected number of cached prompt tokens, and total the expected
    service time in seconds. outlook is what the pick is expected to do to the targets
    of streams, if that is considered, and wait names the upstreams worth waiting for.
    """

    status: PickStatus
    upstream: Upstream | None = None
    cached: int = 0
    total: float = 0.0
    outlook: Outlook | None = None
    wait: Wait | None = None


class UpstreamPicker:
    """Picks the upstream with the least expected cost among the candidates.

    In a small pool all upstreams are candidates. In a large one they are some free
    upstreams drawn at random and some that hold the longest known prefix, so that the
    cost of a pick doesn't grow with the pool.
    """

    def __init__(
        self,
        parameters: PolicyParameters,
        pool: Pool,
        rng: random.Random,
        isolation: Isolation,
    ) -> None:
        self._parameters = parameters
        self._pool = pool
        self._rng = rng
        self._isolation = isolation
        self.canaries = CanaryPicker(pool, isolation)

    def pick(self, job: Job, view: UpstreamView, now: float) -> PickResult:
        """Pick an upstream for the request at the head of the queue."""
        canary = self.canaries.pick(job, now)
        if canary is not None:
            cached, _, total = self._estimate(job, canary, now)
            total = canary.stated.expected_seconds(total, now)
            expected = self._outlook(job, canary, cached, now)
            return PickResult(PickStatus.PICKED, canary, cached, total, expected)
        parameters = self._parameters
        budget = job.request.deadline - now
        best: PickResult | None = None
        least_cost = (INFINITE_SECONDS, INFINITE_SECONDS)
        any_accepts = False
        candidates = self._candidates(job, view, now)
        long_blocked = job.kind == LONG and self._too_many_long_prefills(view)
        for upstream in candidates:
            if long_blocked or not self._accepts(job, upstream, now):
                continue
            any_accepts = True
            cached, _, usual = self._estimate(job, upstream, now)
            total = upstream.stated.expected_seconds(usual, now)
            margin = 1.0 + parameters.margin * upstream.speed.deviation
            # A statement ranks upstreams but excludes none: it may be nonsense, or no
            # longer hold when the request is sent.
            if min(usual, total) * margin > budget and not job.unmeasured:
                continue
            score = self._score(job, upstream, cached, total, now)
            score += self._isolation.neighbour_seconds(
                job.request, upstream.ledger, now
            )
            expected = self._outlook(job, upstream, cached, now)
            cost = (expected.harm if expected else 0.0, score)
            if cost < least_cost:
                least_cost = cost
                best = PickResult(PickStatus.PICKED, upstream, cached, total, expected)
        if best is not None:
            return self._wait_for_better(job, view, best, now) or best
        return self._fallback(job, view, candidates, any_accepts, now)

    def _outlook(
        self, job: Job, upstream: Upstream, cached: int, now: float
    ) -> Outlook | None:
        """Return the expected objective and gaps, None if they aren't considered."""
        if not upstream.paced:
            return None
        tokens = job.request.prompt_tokens - cached
        return outlook(job, tokens, upstream.pace, upstream.ledger, now)

    def _wait_for_better(
        self, job: Job, view: UpstreamView, best: PickResult, now: float
    ) -> PickResult | None:
        """Return which upstreams are worth waiting for, or a better one.

        In a large pool the candidates are few, and a better one may be free.
        """
        if best.outlook is None or not best.outlook.harm:
            return None
        names: Iterable[str] = view.members
        if len(view.members) > SCAN_ALL_UP_TO:
            names = view.members.sample(SCAN_ALL_UP_TO, self._rng)
        excluded = self._pool.excluded(job.request.entry_host, now)
        excluded = excluded.union(job.request.tried)
        outlooks_by_name = {}
        any_free = False
        for name in names:
            upstream = self._pool.upstreams_by_name[name]
            if name in excluded or upstream.health.unhealthy:
                continue
            if upstream.outlier.ejected:
                continue
            cached, _, total = self._estimate(job, upstream, now)
            if upstream.free and self._accepts(job, upstream, now):
                expected = self._outlook(job, upstream, cached, now)
                if expected is not None and not expected.harm:
                    status = PickStatus.PICKED
                    return PickResult(status, upstream, cached, total, expected)
            tokens = job.request.prompt_tokens - cached
            expected = outlook_after_wait(
                job, tokens, upstream.pace, upstream.ledger, now
            )
            if not expected.harm:
                any_free |= upstream.free
                outlooks_by_name[name] = expected
        wait = wait_for_better(job, outlooks_by_name, any_free, now)
        return None if wait is None else PickResult(PickStatus.PARK, wait=wait)

    def _fallback(
        self,
        job: Job,
        view: UpstreamView,
        candidates: list[Upstream],
        any_accepts: bool,
        now: float,
    ) -> PickResult:
        """Return a last resort, or the status that explains why nothing was picked.

        A last resort is an idle upstream whose speed is uncertain, to probe it, or the
        fastest upstream if it is idle and the request fits without the margin only.
        """
        budget = job.request.deadline - now
        fastest: Upstream | None = None
        fastest_seconds = INFINITE_SECONDS
        fastest_cached = 0
        least_seconds = INFINITE_SECONDS
        for upstream in candidates:
            cached, usual, _ = self._estimate(job, upstream, now)
            wait = upstream.rate_limiter.wait_seconds(now)
            wait += upstream.outlier.wait_seconds(now)
            if not upstream.health.allows_request(0, now):
                continue
            alone = upstream.stated.expected_seconds(usual, now) + wait
            least_seconds = min(least_seconds, usual + wait, alone)
            if alone < fastest_seconds:
                fastest, fastest_seconds = upstream, alone
                fastest_cached = cached
        late = least_seconds > budget and not job.unmeasured
        if fastest is not None and late:
            all_seen = len(view.members) <= SCAN_ALL_UP_TO
            if all_seen or self.min_service_seconds(job, view, now) > budget:
                return self.probe(job, view, now) or PickResult(PickStatus.LATE)
        if not any_accepts:
            return PickResult(PickStatus.BLOCKED, fastest)
        if fastest is not None and self._accepts_when_idle(job, fastest, now):
            return PickResult(
                PickStatus.PICKED, fastest, fastest_cached, fastest_seconds
            )
        return PickResult(PickStatus.PARK, fastest)

    def _accepts_when_idle(self, job: Job, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream is idle and accepts a request.

        A request that is in time only without the margin isn't worth a slot among
        other work. At an idle upstream it displaces nothing, and waiting would never
        make it fit: it would be shed although the engine is idle.
        """
        return not upstream.ledger.in_flight and self._accepts(job, upstream, now)

    def probe(self, job: Job, view: UpstreamView, now: float) -> PickResult | None:
        """Pick an idle upstream of uncertain speed for a seemingly late request."""
        for upstream in self._candidates(job, view, now):
            if upstream.needs_speed_probe(now) and self._accepts(job, upstream, now):
                cached, alone, _ = self._estimate(job, upstream, now)
                alone = upstream.stated.expected_seconds(alone, now)
                return PickResult(PickStatus.PICKED, upstream, cached, alone)
        return None

    def min_service_seconds(self, job: Job, view: UpstreamView, now: float) -> float:
        """Return a lower bound of the service time in seconds without any queueing.

        It combines the best prefill and the best decoding of any upstream, which are
        updated a few times per second so that the cost doesn't depend on the size of
        the pool. It is 0, which refuses nothing, while there are no measurements. A
        random sample of upstreams wouldn't do: a request would be refused as too late
        if the sample missed the upstream that is in time.
        """
        if job.unmeasured or not len(view.members):
            return 0.0
        if now - view.best_updated_at > HOUSEKEEPING_SECONDS:
            self._find_best(view, now)
        tokens = self._uncached(job)
        seconds = view.best_prefill * tokens + view.best_decode * job.remaining_output
        return seconds / 1000

    def min_first_output_seconds(
        self, job: Job, view: UpstreamView, now: float
    ) -> float:
        """Return a lower bound of the time in seconds to the first output.

        It is estimated in the same way as min_service_seconds.
        """
        if job.unmeasured or not len(view.members):
            return 0.0
        if now - view.best_updated_at > HOUSEKEEPING_SECONDS:
            self._find_best(view, now)
        return view.best_prefill * self._uncached(job) / 1000

    def _uncached(self, job: Job) -> int:
        """Return the number of prompt tokens that no upstream has in its cache."""
        request = job.request
        level, _ = self._pool.index.longest_match(request.prefix_hashes)
        if level < 0:
            return request.prompt_tokens
        lengths = request.prefix_tokens
        cached = lengths[level] if lengths else prefix_tokens(level)
        return max(0, request.prompt_tokens - cached)

    def _find_best(self, view: UpstreamView, now: float) -> None:
        view.best_updated_at = now
        upstreams = [self._pool.upstreams_by_name[name] for name in view.members]
        # Statements that work takes longer don't raise the bounds, since they soon end.
        factors = [min(1.0, upstream.stated.factor(now)) for upstream in upstreams]
        speeds = [upstream.speed for upstream in upstreams]
        view.best_prefill = min(
            speed.prefill_seconds(1000, kind) * factor
            for speed, factor in zip(speeds, factors, strict=True)
            for kind in (SHORT, LONG)
        )
        view.best_decode = min(
            speed.best_decode_seconds(1000) * factor
            for speed, factor in zip(speeds, factors, strict=True)
        )

    def _candidates(self, job: Job, view: UpstreamView, now: float) -> list[Upstream]:
        upstreams_by_name = self._pool.upstreams_by_name
        excluded = self._pool.excluded(job.request.entry_host, now)
        excluded = excluded.union(job.request.tried)
        if len(view.members) <= SCAN_ALL_UP_TO:
            names: Iterable[str] = view.members
        else:
            names = self._sampled(job, view)
        return [upstreams_by_name[name] for name in names if name not in excluded]

    def _sampled(self, job: Job, view: UpstreamView) -> Iterable[str]:
        samples = self._parameters.samples
        drawn = view.free if len(view.free) else view.members
        names = dict.fromkeys(drawn.sample(samples, self._rng))
        _, holders = self._pool.index.longest_match(job.request.prefix_hashes)
        for name in islice(holders, PREFIX_CANDIDATES):
            if name in view.members:
                names[name] = None
        return names

    def _estimate(
        self, job: Job, upstream: Upstream, now: float
    ) -> tuple[int, float, float]:
        """Return the expected cached tokens and two service times in seconds.

        The first service time is without other work at the upstream, the second one
        behind the work that is outstanding there. Both are as usual: what the upstream
        states of its machine isn't considered.
        """
        request = job.request
        ledger = upstream.ledger
        speed = upstream.speed
        cached = 0
        if request.prefix_hashes:
            cached = upstream.prefixes.cached_tokens(
                request.prefix_hashes, request.prompt_tokens, request.prefix_tokens
            )
        prefill = speed.prefill_seconds(request.prompt_tokens - cached, job.kind)
        optimism = self._parameters.optimism
        output = job.remaining_output
        best = speed.best_decode_seconds(output)
        decode = speed.decode_seconds(output, ledger.in_flight + 1)
        decode += optimism * (best - decode)
        total = prefill + ledger.prefill_backlog(speed, now) + decode
        return cached, prefill + min(best, decode), total

    def _accepts(self, job: Job, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream can take a request now."""
        if not upstream.free:
            return False
        if upstream.reserved_for not in (None, job.request.request_id):
            return False
        if job.kind == LONG:
            slots = upstream.limit.limit(upstream.state.slots)
            allowed = max(1, int(self._parameters.long_slots * slots))
            if upstream.ledger.long_jobs >= allowed:
                return False
        fraction = self._usable_fraction(job)
        if not upstream.has_free_slots(fraction) or not upstream.has_memory_for(
            job.kv_tokens, fraction
        ):
            return False
        if not self._isolation.allows(job.request, upstream.ledger, now):
            return False
        if self._parameters.guard and not self._keeps_running_in_time(
            job, upstream, now
        ):
            return False
        # upstream.free is updated on events only. A pause or the silence of the
        # upstream may have begun since, and the grant would name a dead address.
        if not upstream.can_take(now):
            self._pool.refresh(upstream, now)
            return False
        return True

    def _usable_fraction(self, job: Job) -> float:
        """Return the fraction of an upstream that the tier of a request may fill.

        Running work is never preempted. If the lowest tier could fill every slot, a
        burst of the highest one would wait for seconds until some work ends, with
        nothing left to shed. Plain services may be filled completely: their calls are
        short, and headroom in their few slots costs more than it gains.
        """
        if self._parameters.kind == KIND_PLAIN:
            return 1.0
        above = self._pool.tiers_above(job.rank)
        return 1.0 - self._parameters.headroom * above

    def _keeps_running_in_time(self, job: Job, upstream: Upstream, now: float) -> bool:
        """Return whether running work would still end in time alongside a request.

        Only work of the same or of more important tiers counts. A request slows down
        the others by its slot in the batch and by its prefill, during which they run at
        about half their speed. The prefill of running work is done and would be wasted
        if the work became late.
        """
        ledger = upstream.ledger
        speed = upstream.speed
        needs = ledger.tightest_needs(speed.best_seconds_per_token(), now)
        if not needs:
            return True
        seconds_per_token = speed.seconds_per_token(ledger.in_flight + 1)
        guard = self._parameters.guard
        guard_higher = self._parameters.guard_higher
        tokens = job.request.prompt_tokens
        stolen = 0.5 * speed.prefill_seconds(tokens, job.kind)
        expected_seconds = upstream.stated.expected_seconds
        return all(
            expected_seconds(
                seconds_per_token
                * need.tokens
                * (guard if rank == job.rank else guard_higher)
                + stolen,
                now,
            )
            <= need.seconds
            for rank, need in needs.items()
            if rank <= job.rank
        )

    def _score(
        self, job: Job, upstream: Upstream, cached: int, total: float, now: float
    ) -> float:
        """Return the cost of picking an upstream: the delay plus weighted prefill."""
        tokens = job.request.prompt_tokens - cached
        prefill = upstream.speed.prefill_seconds(tokens, job.kind)
        prefill = upstream.stated.expected_seconds(prefill, now)
        return total + self._parameters.prefix_weight * prefill

    def _too_many_long_prefills(self, view: UpstreamView) -> bool:
        """Return whether the limit of upstreams with long prefills is reached.

        An engine runs one prefill at a time. If all engines were busy with long ones,
        short requests of the highest tier would wait for seconds, and nothing could be
        displaced.
        """
        upstreams_by_name = self._pool.upstreams_by_name
        names: Iterable[str] = view.members
        if len(view.members) > SCAN_ALL_UP_TO:
            names = view.members.sample(self._parameters.samples, self._rng)
        seen = busy = 0
        for name in names:
            seen += 1
            jobs = upstreams_by_name[name].ledger.prefilling_by_id.values()
            busy += any(job.kind == LONG for job in jobs)
        if seen < 2:
            return False
        return busy >= max(1.0, self._parameters.long_prefills * seen)
