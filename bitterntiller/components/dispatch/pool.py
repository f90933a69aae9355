"""Upstreams of a pool: announcements, membership, load and free capacity."""

import heapq
from collections import Counter
from collections.abc import Iterable

from bitterntiller.components.dispatch.call_durations import UsualDurations
from bitterntiller.components.dispatch.const import (
    KIND_PLAIN,
    PATH_FAILURES,
    REASON_REFUSED_CONNECTION,
    UNEVEN_ON,
    UNEVEN_STATED,
)
from bitterntiller.components.dispatch.fingerprints_in_flight import (
    FingerprintsInFlight,
)
from bitterntiller.components.dispatch.host_contacts import NEVER, HostContacts
from bitterntiller.components.dispatch.host_pauses import HostPauses
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import (
    NoticeUpdate,
    PolicyParameters,
    RateLimitUpdate,
    UpstreamLoad,
    UpstreamState,
)
from bitterntiller.components.dispatch.outliers import (
    OutlierChange,
    OutlierDetector,
    silence_seconds,
)
from bitterntiller.components.dispatch.pace import PoolPace
from bitterntiller.components.dispatch.prefix import PrefixIndex
from bitterntiller.components.dispatch.speed import PoolSpeed
from bitterntiller.components.dispatch.stated_speed import is_valid
from bitterntiller.components.dispatch.upstream_events import (
    UpstreamChange,
    UpstreamEvents,
)
from bitterntiller.components.dispatch.upstreams import (
    Upstream,
    UpstreamView,
    UpstreamViews,
)
from bitterntiller.components.paths.path_table import PathTable
from bitterntiller.components.rollouts.models import ANY_VERSION, VersionRules

RESERVE_SECONDS = 1.0
WORK_RATE_GAIN = 0.02
MIN_WORK_RATE = 0.02
OVERDUE_FACTOR = 2.0
OVERDUE_SECONDS = 0.3
STALL_SECONDS = 2.0
MAX_DEFERRED = 1024
"""Maximum number of upstreams that aren't announced yet whose rate limits are kept, and
likewise for those that said that they leave."""


class Pool:
    """The upstreams of a pool and the views of them.

    freed collects the upstreams that became free until the caller clears it. slots is
    the number of requests that all usable upstreams run at a time. work_rate is the
    mean of expected over measured service time: the work per second that one request
    in flight gets done. mean_service_seconds is the mean measured service time.
    usual_durations are those of the calls of a plain service.
    hosts_to_regroup collects the entry hosts whose waiting requests can use other
    upstreams than before, until the caller clears it. uneven says whether the parts for
    upstreams of uneven speed are in effect.
    """

    def __init__(
        self, parameters: PolicyParameters, contacts: HostContacts | None = None
    ) -> None:
        self._contacts = contacts or HostContacts()
        self.speed = PoolSpeed()
        self.pace = PoolPace()
        self.index = PrefixIndex()
        self.views = UpstreamViews()
        self.upstreams_by_name: dict[str, Upstream] = {}
        self.work_rate = 1.0
        self.mean_service_seconds = 1.0
        self.usual_durations = UsualDurations()
        self.slots = 0
        self.in_flight_by_rank: Counter[int] = Counter()
        self.fingerprints = FingerprintsInFlight()
        self.freed: list[Upstream] = []
        self.events = UpstreamEvents()
        self.pauses = HostPauses()
        self.paths = PathTable()
        self.hosts_to_regroup: set[str] = set()
        self.uneven = parameters.uneven == UNEVEN_ON
        self.outliers = OutlierDetector()
        self._ranks: set[int] = set()
        self._above_by_rank: dict[int, float] = {}
        self._parameters = parameters
        self._refreshes: list[tuple[float, str]] = []
        self._refresh_at_by_name: dict[str, float] = {}
        self._slots_by_name: dict[str, int] = {}
        self._orphans_by_name: dict[str, list[Job]] = {}
        self._deferred_limits_by_upstream: dict[str, RateLimitUpdate] = {}
        self._deferred_departures: dict[str, NoticeUpdate] = {}
        self.version_rules = ANY_VERSION

    def set_versions(self, rules: VersionRules, now: float) -> None:
        """Apply version rules; other versions only finish their running requests."""
        self.version_rules = rules
        for upstream in self.upstreams_by_name.values():
            self.refresh(upstream, now)

    def record_load(
        self,
        upstream: Upstream,
        load: UpstreamLoad,
        now: float,
        stated_at: float | None = None,
    ) -> None:
        """Apply the load that a response or an announcement reported.

        stated_at is when the head of the response came, if that is known.
        """
        if load.work_percent is not None:
            at = load.measured_at if stated_at is None else stated_at
            self.record_work_time(upstream, load.work_percent, at, now)
        upstream.ledger.apply_load_report(load, now)

    def record_work_time(
        self, upstream: Upstream, percent: int, at: float, now: float
    ) -> None:
        """Record how long work takes on an upstream's machine, as stated at a time."""
        if self._parameters.uneven == UNEVEN_STATED and is_valid(percent):
            self.uneven = True
        if self.uneven:
            upstream.stated.record(percent, at, now)

    def is_uneven(self) -> bool:
        """Return whether the parts for upstreams of uneven speed are in effect."""
        return self.uneven

    def candidate_upstreams(self, now: float) -> list[Upstream]:
        """Return the usable upstreams of the candidate version, sorted by name."""
        version = self.version_rules.candidate
        if not version:
            return []
        found = [
            upstream
            for upstream in self.upstreams_by_name.values()
            if upstream.version == version and upstream.usable(now)
        ]
        return sorted(found, key=lambda upstream: upstream.name)

    @property
    def any_free(self) -> bool:
        """Return whether any upstream can take one more request."""
        return len(self.views.unrestricted.free) > 0

    def record_tier(self, rank: int) -> None:
        """Record that the pool gets requests of a tier."""
        if rank not in self._ranks:
            self._ranks.add(rank)
            self._above_by_rank = {
                rank: float(above) for above, rank in enumerate(sorted(self._ranks))
            }

    def ranks_below_share(self, share: float) -> list[int]:
        """Return the tiers that hold less than a share of the slots, lowest first.

        The most important tier is left out.
        """
        if not share:
            return []
        wanted = share * self.slots
        lower = sorted(self._ranks)[1:]
        return [r for r in reversed(lower) if self.in_flight_by_rank[r] < wanted]

    def tiers_above(self, rank: int) -> float:
        """Return how many tiers seen in this pool are more important than a tier."""
        return self._above_by_rank.get(rank, 0.0)

    def view(self, job: Job) -> UpstreamView:
        """Return the upstreams that a request may use, including tried ones."""
        names = job.request.upstream_names
        return self.views.get(names, self.upstreams_by_name)

    def announce(self, state: UpstreamState, now: float) -> bool:
        """Apply an announcement; return False if it is older than the known state.

        Announcements are ordered by incarnation and sequence. Otherwise a delayed one
        could undo that an upstream is leaving, and requests would be sent to it until
        its next announcement.
        """
        upstream = self.upstreams_by_name.get(state.name)
        if upstream is None:
            upstream = Upstream(
                state,
                self._parameters,
                self.speed,
                self.index,
                now,
                self.pace,
                self.is_uneven,
            )
            self.upstreams_by_name[state.name] = upstream
            for job in self._orphans_by_name.pop(state.name, ()):
                self.attach(job, upstream, now)
            update = self._deferred_limits_by_upstream.pop(state.name, None)
            if update is not None:
                self.update_rate_limit(update, now)
            departure = self._deferred_departures.pop(state.name, None)
            if departure is not None:
                self.apply_notice(departure, now)
        else:
            known = upstream.state
            if (state.incarnation, state.sequence) <= (
                known.incarnation,
                known.sequence,
            ):
                return False
            if state.incarnation != known.incarnation:
                upstream.restart()
                self.pauses.forget_upstream(upstream.name)
                self.paths.forget_upstream(upstream.name)
                self._record_change(upstream, UpstreamChange.RESTARTED, now)
        upstream.state = state
        upstream.last_announced_at = now
        if state.load is not None:
            self.record_load(upstream, state.load, now)
        upstream.prefixes.apply_changes(state.cache_changes, now)
        self.refresh(upstream, now)
        return True

    def adopt(self, job: Job, name: str, now: float) -> None:
        """Attach a running request to its upstream, once that is announced."""
        upstream = self.upstreams_by_name.get(name)
        if upstream is None:
            self._orphans_by_name.setdefault(name, []).append(job)
            return
        self.attach(job, upstream, now)
        self.refresh(upstream, now)

    def attach(self, job: Job, upstream: Upstream, now: float) -> None:
        """Count a request as in flight at an upstream."""
        job.upstream = upstream
        self.in_flight_by_rank[job.rank] += 1
        self.fingerprints.add(job)
        plain = self._parameters.kind == KIND_PLAIN
        upstream.ledger.add(job, plain or job.tokens_seen > 0, now)

    def detach(self, job: Job, now: float) -> None:
        """Stop counting a request at its upstream."""
        upstream = job.upstream
        if upstream is None:
            self._forget_orphan(job)
            return
        job.upstream = None
        self.outliers.forget(upstream.outlier, job.request.request_id)
        self.in_flight_by_rank[job.rank] -= 1
        self.fingerprints.remove(job)
        upstream.ledger.remove(job, now)
        self.refresh(upstream, now)

    def reserve(self, job: Job, upstream: Upstream | None, now: float) -> None:
        """Reserve an upstream for a request that has been blocked for RESERVE_SECONDS.

        Without a reservation a large request starves: the memory that a small request
        frees goes to another small one, and there is never enough for the large one.
        """
        if job.blocked_since is None:
            job.blocked_since = now
            return
        if job.target is not None or upstream is None:
            return
        if now - job.blocked_since < RESERVE_SECONDS or not upstream.free:
            return
        if upstream.reserved_for is None and not upstream.has_memory_for(job.kv_tokens):
            upstream.reserved_for = job.request.request_id
            job.target = upstream

    def unreserve(self, job: Job) -> None:
        """Release the reservation of a request."""
        job.blocked_since = None
        target = job.target
        job.target = None
        if target is not None and target.reserved_for == job.request.request_id:
            target.reserved_for = None

    def refresh(self, upstream: Upstream, now: float) -> None:
        """Update whether an upstream is a member of views, and whether it is free."""
        upstream.paced = self.uneven and self._parameters.kind != KIND_PLAIN
        member = upstream.usable(now) and self.version_rules.may_serve(upstream.version)
        self._count_slots(upstream, member and not upstream.outlier.ejected)
        free = member and upstream.can_take(now)
        if free and not upstream.free:
            self.freed.append(upstream)
        if member != upstream.member:
            change = _membership_change(upstream, member)
            if not member and upstream.usable(now):
                change = UpstreamChange.WITHHELD
            self._record_change(upstream, change, now)
        if free != upstream.free or member != upstream.member:
            upstream.free = free
            upstream.member = member
            self.views.update(upstream, member)
        if member and not free and upstream.free_slots(now) >= 1:
            self._schedule_refresh(upstream, now)

    def update_rate_limit(self, update: RateLimitUpdate, now: float) -> None:
        """Apply the rate limit that a response of an upstream gave."""
        upstream = self.upstreams_by_name.get(update.upstream)
        if upstream is None:
            self._defer_rate_limit(update)
            return
        if str(upstream.state.incarnation) != update.incarnation:
            return
        if not upstream.rate_limiter.update(update.limit, update.at, now):
            return
        change = UpstreamChange.LIMITED
        if update.limit is None:
            change = UpstreamChange.UNLIMITED
        self._record_change(upstream, change, now)
        self.refresh(upstream, now)

    def apply_notice(self, update: NoticeUpdate, now: float) -> None:
        """Apply what an upstream stated in its responses to an entry host."""
        upstream = self.upstreams_by_name.get(update.upstream)
        if upstream is None:
            self._defer_departure(update)
            return
        if str(upstream.state.incarnation) != update.incarnation:
            return
        if now < update.paused_until:
            self.pauses.set(update.entry_host, upstream.name, update.paused_until)
            event = upstream.event(UpstreamChange.PAUSED, now)
            left = round(update.paused_until - now, 3)
            self.events.record(
                event._replace(entry_host=update.entry_host, paused_for=left)
            )
        if update.leaving and not upstream.says_leaving:
            upstream.says_leaving = True
            self.refresh(upstream, now)

    def _defer_departure(self, update: NoticeUpdate) -> None:
        """Keep that an upstream is leaving until it is announced.

        Otherwise a new owner would use it: its announcements may still say ready.
        """
        if not update.leaving:
            return
        self._deferred_departures.pop(update.upstream, None)
        self._deferred_departures[update.upstream] = update
        if len(self._deferred_departures) > MAX_DEFERRED:
            del self._deferred_departures[next(iter(self._deferred_departures))]

    def _defer_rate_limit(self, update: RateLimitUpdate) -> None:
        """Keep a rate limit until its upstream is announced.

        A new owner receives rate limits and announcements in any order.
        """
        limits = self._deferred_limits_by_upstream
        known = limits.pop(update.upstream, None)
        newer = known is None or known.at < update.at
        limits[update.upstream] = update if newer else known
        if len(limits) > MAX_DEFERRED:
            del limits[next(iter(limits))]

    def refresh_due(self, now: float) -> None:
        """Refresh the upstreams whose scheduled refresh is due."""
        while self._refreshes and self._refreshes[0][0] <= now:
            when, name = heapq.heappop(self._refreshes)
            if self._refresh_at_by_name.get(name) != when:
                continue
            del self._refresh_at_by_name[name]
            upstream = self.upstreams_by_name.get(name)
            if upstream is not None:
                self.refresh(upstream, now)

    def next_refresh(self) -> float:
        """Return when refresh_due() has to be called next."""
        return self._refreshes[0][0] if self._refreshes else float("inf")

    def housekeep(self, now: float) -> None:
        """Forget long unusable upstreams; refresh and learn from the others."""
        self.pauses.prune(now)
        self.paths.prune(now)
        if self.uneven:
            self._review_outliers(now)
        for name, upstream in list(self.upstreams_by_name.items()):
            if upstream.can_be_forgotten(now):
                self.views.update(upstream, False)
                self._count_slots(upstream, False)
                upstream.prefixes.clear()
                del self.upstreams_by_name[name]
                self._record_change(upstream, UpstreamChange.FORGOTTEN, now)
                continue
            self._learn_from_overdue(upstream, now)
            self._review_concurrency(upstream, now)
            self.refresh(upstream, now)

    def record_upstream_failure(
        self,
        upstream: Upstream,
        host: str,
        reason: str,
        now: float,
        granted_at: float,
        fault: str = "",
    ) -> None:
        """Record that a request of a host failed; see Health.record_failure.

        If another host has just reached the upstream, only the path has failed. It is
        not the cause of a ResponseFault.
        """
        responded = bool(fault) or reason not in PATH_FAILURES
        if responded:
            self.record_reached(upstream, host, now, granted_at)
        elif self._record_failed_path(upstream, host, reason, now):
            return
        certain = reason == REASON_REFUSED_CONNECTION
        if upstream.health.record_failure(now, certain, responded):
            event = upstream.event(UpstreamChange.UNHEALTHY, now)
            self.events.record(event._replace(entry_host=host, reason=fault or reason))

    def record_upstream_success(
        self, upstream: Upstream, host: str, now: float, granted_at: float
    ) -> None:
        """Record a successful response of an upstream to a host."""
        self.record_reached(upstream, host, now, granted_at)
        was_unhealthy = upstream.health.unhealthy
        upstream.health.record_success()
        if was_unhealthy:
            self._record_change(upstream, UpstreamChange.HEALTHY, now)

    def record_output(
        self, upstream: Upstream, host: str, now: float, granted_at: float
    ) -> None:
        """Record output of a request that runs at an upstream for a host.

        That of a host which goes through others does not say which path it came by.
        """
        if not self.paths.uses_relays(host, now):
            self.record_reached(upstream, host, now, granted_at)
        if upstream.health.record_output():
            self._record_change(upstream, UpstreamChange.HEALTHY, now)

    def excluded(self, host: str, now: float) -> frozenset[str]:
        """Return the upstreams to which an entry host must not send requests now."""
        paused = self.pauses.names(host, now)
        unreached = self.paths.unreached(host, now)
        return paused.union(unreached) if unreached else paused

    def record_reached(
        self, upstream: Upstream, host: str, now: float, granted_at: float
    ) -> None:
        """Record that bytes of an upstream have come to a host."""
        if self.paths.record_reached(host, upstream.name, now, granted_at):
            self._record_path_change(upstream, UpstreamChange.PATH_REGAINED, host, now)

    def _record_failed_path(
        self, upstream: Upstream, host: str, reason: str, now: float
    ) -> bool:
        """Record the failure of a path; return whether the upstream is not at fault."""
        name = upstream.name
        certain = reason == REASON_REFUSED_CONNECTION
        if not self.paths.reached_by_another(host, name, now):
            self.paths.record_failed_upstream(host, name, now)
            return False
        if self.paths.record_failed_path(host, name, certain, now):
            change = UpstreamChange.PATH_LOST
            self._record_path_change(upstream, change, host, now, reason)
        return True

    def _record_path_change(
        self,
        upstream: Upstream,
        change: UpstreamChange,
        host: str,
        now: float,
        reason: str | None = None,
    ) -> None:
        event = upstream.event(change, now)
        self.events.record(event._replace(entry_host=host, reason=reason))
        self.hosts_to_regroup.add(host)

    def record_service_time(self, work: float, seconds: float) -> None:
        """Update work_rate and mean_service_seconds with the end of one request."""
        if seconds > 0:
            self.work_rate += WORK_RATE_GAIN * (
                min(work / seconds, 4.0) - self.work_rate
            )
            self.work_rate = max(self.work_rate, MIN_WORK_RATE)
            self.mean_service_seconds += WORK_RATE_GAIN * (
                seconds - self.mean_service_seconds
            )

    def record_grant(self, job: Job, upstream: Upstream) -> None:
        """Record a grant, so that its outcome counts for outlier ejection."""
        if self.uneven:
            request = job.request
            upstream.outlier.record_grant(request.request_id, request.entry_host)

    def record_start(self, job: Job, now: float) -> None:
        """Record that a granted request is being sent, and expect its output.

        The expectation is that of the pool. The upstream's own prefill rate is learned
        from overdue prefills too: one that brings no output would be expected to bring
        it later and later.
        """
        upstream, request = job.upstream, job.request
        if not self.uneven or upstream is None:
            return
        if self._parameters.kind == KIND_PLAIN:
            expected = upstream.speed.decode_seconds(job.expected_output, 1)
        else:
            expected = self.speed.work(job.prefill, 0.0)
        leaves = request.deadline if request.start_by is None else request.start_by
        silence = silence_seconds(expected, leaves - now)
        self.outliers.record_start(upstream.outlier, request.request_id, now, silence)

    def _review_outliers(self, now: float) -> None:
        """Eject and readmit upstreams by the outcomes of their latest requests."""
        states_by_name = {
            name: upstream.outlier
            for name, upstream in self.upstreams_by_name.items()
            if upstream.member
        }
        groups = self.views.member_groups()
        changes = self.outliers.review(states_by_name, groups, now)
        for name, change in changes.items():
            self._record_outlier(self.upstreams_by_name[name], change, now)

    def _record_outlier(
        self, upstream: Upstream, change: OutlierChange, now: float
    ) -> None:
        kind = UpstreamChange.READMITTED
        probe_in = None
        if change.ejected:
            kind = UpstreamChange.EJECTED
            probe_in = upstream.outlier.wait_seconds(now)
        self.events.record(
            upstream.event(kind, now)._replace(
                probe_in=probe_in,
                failure_rate=change.failure_rate,
                pool_failure_rate=self.outliers.pool_failure_rate,
                samples=change.samples,
            )
        )

    def _usual_seconds(self, job: Job) -> float | None:
        """Return the usual seconds of a call of this size, None if unknown."""
        return self.usual_durations.seconds(job.request.prompt_tokens)

    def _record_change(
        self, upstream: Upstream, change: UpstreamChange, now: float
    ) -> None:
        self.events.record(upstream.event(change, now))

    def _learn_from_overdue(self, upstream: Upstream, now: float) -> None:
        """Update the speed estimates from work that is overdue.

        An engine that slows down reports nothing until its work ends, seconds later.
        Work that has taken OVERDUE_FACTOR times as long as expected counts as a sample
        of the elapsed time. The expectation grows with it, so that each doubling of the
        delay is counted once. Time counts up to the last message of the entry host,
        since the silence of a host says nothing about the upstream.
        """
        ledger = upstream.ledger
        if ledger.prefilling_by_id:
            job = next(iter(ledger.prefilling_by_id.values()))
            expected = upstream.speed.prefill_seconds(job.prefill, job.kind)
            elapsed = self._heard_at([job], now) - ledger.head_started_at
            if elapsed > OVERDUE_FACTOR * expected + OVERDUE_SECONDS:
                upstream.speed.learn_prefill(job.kind, expected, elapsed)
        if not upstream.reports_progress:
            return
        if now - upstream.last_active_at <= STALL_SECONDS:
            return
        stalled = self._heard_at(ledger.decoding(), now) - upstream.last_active_at
        if stalled > STALL_SECONDS:
            upstream.speed.learn_decode(1, stalled, ledger.in_flight)
            upstream.last_active_at = now

    def _heard_at(self, jobs: Iterable[Job], now: float) -> float:
        """Return when any of the processes that sent some requests was last heard."""
        heard_at = (
            self._contacts.heard_at(job.request.entry_host, job.granted_at, now)
            for job in jobs
        )
        return max(heard_at, default=NEVER)

    def _review_concurrency(self, upstream: Upstream, now: float) -> None:
        """Update the learned concurrency limit, and report its change."""
        if not self.uneven:
            return
        # The expected output of a stream is too uncertain to tell that it is overdue;
        # the ends of streams are sufficient to review the limit of an engine.
        if self._parameters.kind == KIND_PLAIN:
            upstream.review_concurrency(self._usual_seconds, now)
        change = upstream.limit.learned.take_change(upstream.state.slots, now)
        if change is not None:
            event = upstream.event(UpstreamChange.CONCURRENCY, now)
            self.events.record(event._replace(concurrency=change))

    def _count_slots(self, upstream: Upstream, member: bool) -> None:
        """Update the pool's slots with those of one upstream.

        Housekeeping would be too late: a new owner needs the sum before, to decide on
        the waiting requests that it takes over.
        """
        slots = upstream.usable_slots(self.mean_service_seconds) if member else 0
        self.slots += slots - self._slots_by_name.get(upstream.name, 0)
        if slots:
            self._slots_by_name[upstream.name] = slots
        else:
            self._slots_by_name.pop(upstream.name, None)

    def _schedule_refresh(self, upstream: Upstream, now: float) -> None:
        when = now + max(
            upstream.prefill_wait(now),
            upstream.rate_limiter.wait_seconds(now),
            upstream.outlier.wait_seconds(now),
        )
        if upstream.health.unhealthy:
            when = max(when, upstream.health.paused_until)
        if when <= now:
            return
        planned = self._refresh_at_by_name.get(upstream.name)
        if planned is not None and planned <= when:
            return
        self._refresh_at_by_name[upstream.name] = when
        heapq.heappush(self._refreshes, (when, upstream.name))

    def _forget_orphan(self, job: Job) -> None:
        for jobs in self._orphans_by_name.values():
            if job in jobs:
                jobs.remove(job)
                return


def _membership_change(upstream: Upstream, member: bool) -> UpstreamChange:
    if member:
        return UpstreamChange.USABLE
    return UpstreamChange.LEAVING if upstream.leaving else UpstreamChange.SILENT
