"""Scheduler of one pool: queues requests and grants them to upstreams."""

import random

from bitterntiller.components.dispatch.const import (
    HOUSEKEEPING_SECONDS,
    IDLE_WAKE_SECONDS,
    MAX_RETURNS,
    OUTCOME_DONE,
    OUTCOME_UNKNOWN,
    REASON_EXPIRED,
    REASON_FAILED,
    REASON_LOST_ANSWER,
    REASON_NOT_ADMITTED,
    REASON_OTHER_VERSION,
    REASON_REFUSED_CONNECTION,
    REASON_UPSTREAM_LEFT,
    REASON_UPSTREAM_PAUSED,
    REASON_UPSTREAM_SILENT,
    REASON_VERSION_WITHDRAWN,
)
from bitterntiller.components.dispatch.describe import describe
from bitterntiller.components.dispatch.grant_loop import GrantLoop
from bitterntiller.components.dispatch.host_contacts import HostContacts
from bitterntiller.components.dispatch.isolation import Isolation, NoCrashes
from bitterntiller.components.dispatch.jobs import Job, JobState
from bitterntiller.components.dispatch.lifecycle import JobLifecycle
from bitterntiller.components.dispatch.lower_shares import LowerShares
from bitterntiller.components.dispatch.model_updater import ModelUpdater
from bitterntiller.components.dispatch.models import (
    DEFAULT_PARAMETERS,
    CanaryAllowance,
    Completion,
    Decision,
    NoticeUpdate,
    PolicyParameters,
    RateLimitUpdate,
    UpstreamState,
    WaitingRequest,
    WorkspaceLimits,
)
from bitterntiller.components.dispatch.ordering import new_ordering
from bitterntiller.components.dispatch.picker import UpstreamPicker
from bitterntiller.components.dispatch.placement_query import PlacementQuery
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.queue import PoolQueue
from bitterntiller.components.dispatch.refusal_bounds import (
    ExceededBound,
    RefusalBound,
)
from bitterntiller.components.dispatch.refusals import Refusals
from bitterntiller.components.dispatch.shedding import Shedder
from bitterntiller.components.dispatch.size_estimator import SizeEstimator
from bitterntiller.components.dispatch.upstream_events import UpstreamEvent
from bitterntiller.components.dispatch.wait_deadlines import WaitDeadlines
from bitterntiller.components.dispatch.wait_estimator import WaitEstimator
from bitterntiller.components.dispatch.workspace_limiter import WorkspaceLimiter
from bitterntiller.components.rollouts.models import VersionRules
from bitterntiller.core.interfaces import CrashView
from bitterntiller.core.outcomes import Reason

_REASONS_TO_TRY_ANOTHER = frozenset(
    {
        REASON_NOT_ADMITTED,
        REASON_REFUSED_CONNECTION,
        REASON_FAILED,
        REASON_LOST_ANSWER,
        REASON_UPSTREAM_SILENT,
        REASON_UPSTREAM_LEFT,
        REASON_UPSTREAM_PAUSED,
        REASON_VERSION_WITHDRAWN,
        REASON_OTHER_VERSION,
    }
)
_REASONS_WITHOUT_FAULT = frozenset(
    {
        REASON_UPSTREAM_LEFT,
        REASON_UPSTREAM_PAUSED,
        REASON_VERSION_WITHDRAWN,
        REASON_OTHER_VERSION,
    }
)


class PoolScheduler:
    """Implementation of models.Scheduler.

    The calls for a request are register, which leads to a grant, then started, progress
    and finished. Each call updates the requests and upstreams that it concerns and then
    runs GrantLoop, which grants requests while an upstream is free.
    """

    def __init__(
        self,
        parameters: PolicyParameters = DEFAULT_PARAMETERS,
        crashes: CrashView | None = None,
        contacts: HostContacts | None = None,
    ) -> None:
        rng = random.Random(parameters.seed)
        self._parameters = parameters
        self._limiter = WorkspaceLimiter()
        self._pool = Pool(parameters, contacts)
        self._queue = PoolQueue(parameters.fair, self._limiter)
        self._ordering = new_ordering(parameters)
        self._size_estimator = SizeEstimator(parameters, self._pool.speed)
        self._model_updater = ModelUpdater(parameters, self._pool, self._size_estimator)
        self._isolation = Isolation(crashes or NoCrashes(), self._pool)
        self._picker = UpstreamPicker(parameters, self._pool, rng, self._isolation)
        self._wait_deadlines = WaitDeadlines(parameters, self._pool, self._picker)
        self._lower_shares = LowerShares(
            self._pool, self._queue, parameters.lower_share
        )
        self._wait_estimator = WaitEstimator(
            self._pool, self._queue, self._limiter, rng, self._lower_shares
        )
        self._shedder = Shedder(
            parameters, self._queue, self._wait_estimator, self._pool
        )
        self._next_housekeeping_at = 0.0
        self._blocked: set[tuple] = set()
        self._jobs = JobLifecycle(
            parameters,
            self._pool,
            self._queue,
            self._limiter,
            self._wait_deadlines,
            self._blocked.clear,
        )
        self._refusals = Refusals(
            self._pool,
            self._jobs,
            self._wait_estimator,
            self._limiter,
            self._wait_deadlines,
        )
        self._grant_loop = GrantLoop(
            self._pool,
            self._queue,
            self._jobs,
            self._picker,
            self._wait_estimator,
            self._refusals,
            self._blocked,
            self._lower_shares,
        )

    def register(self, request: WaitingRequest, now: float) -> list[Decision]:
        """Add a request to the queue; a request that is tracked stays as it is."""
        return self.register_all([request], now)

    def register_all(
        self, requests: list[WaitingRequest], now: float
    ) -> list[Decision]:
        """Add requests that wait already to the queue, before granting any of them.

        The lowest tier is added first, so that it can be shed when the queue has no
        room for a higher tier.
        """
        decisions: list[Decision] = []
        for request in sorted(requests, key=_lowest_tier_first):
            self._admit(request, now, decisions)
        self._grant_loop.decide(now, decisions)
        return decisions

    def _admit(
        self, request: WaitingRequest, now: float, decisions: list[Decision]
    ) -> None:
        known = self._jobs.by_id.get(request.request_id)
        if known is not None and known.state is not JobState.EXPIRED:
            # The connection to the entry host broke and the host registers its requests
            # again. If the grant was lost with the connection, this flag returns the
            # request to the queue when the grant expires instead of dropping it.
            known.reregistered = True
            return
        if known is not None:
            del self._jobs.by_id[request.request_id]
        job = self._jobs.new(request, now)
        if self._refuse_quarantined(job, now, decisions):
            return
        if self._has_tried_all(job):
            job.request = job.request._replace(tried=())
        self._estimate_size(job, now)
        job.min_service_seconds = self._picker.min_service_seconds(
            job, self._pool.view(job), now
        )
        self._wait_estimator.add_offer(job, now)
        self._lower_shares.served.record_arrival(job.rank, now)
        refused = self._refusals.check_arrival(job, now)
        if refused is not None:
            decisions.append(refused)
            return
        self._make_room(job, now, decisions)
        if decisions and decisions[-1].request_id == request.request_id:
            return
        self._jobs.track(job)
        self._wait_estimator.add_arrival(job, now)
        self._jobs.enqueue(job, now)

    def cancel(self, request_id: str, now: float) -> list[Decision]:
        """Remove a waiting or running request whose caller disconnected."""
        job = self._jobs.by_id.pop(request_id, None)
        if job is None:
            return []
        decisions: list[Decision] = []
        self._jobs.withdraw(job, now)
        self._grant_loop.decide(now, decisions)
        return decisions

    def started(self, request_id: str, now: float) -> list[Decision]:
        """Record that the entry host started to send the request."""
        job = self._jobs.by_id.get(request_id)
        if job is not None:
            self._jobs.mark_running(job, now)
        return []

    def runs_without(self, request_id: str, upstream: str, reason: str) -> bool:
        """Return whether a request runs, but not under a grant that is returned.

        It has gone on where it ran before, while the grant was on its way. A grant of
        the same upstream was then not used.
        """
        job = self._jobs.by_id.get(request_id)
        if job is None or job.state is not JobState.RUNNING or job.upstream is None:
            return False
        unused = job.adopted and reason == REASON_EXPIRED
        return unused or job.upstream.name != upstream

    def returned(
        self,
        request_id: str,
        reason: str,
        waiting: bool,
        now: float,
        version: str | None = None,
        upstream_names: frozenset[str] | None = None,
        fault: str = "",
    ) -> list[Decision]:
        """Release the upstream of a returned grant; requeue a request that waits."""
        job = self._jobs.by_id.pop(request_id, None)
        if job is None:
            return []
        decisions: list[Decision] = []
        upstream = job.upstream
        broke = reason == REASON_LOST_ANSWER and not fault
        if broke and version is None and not job.tokens_seen:
            self._record_break(job, now)
        if upstream is not None and reason in _REASONS_TO_TRY_ANOTHER:
            if reason not in _REASONS_WITHOUT_FAULT:
                self._model_updater.learn_from_return(job, upstream, reason, now, fault)
            job.return_count += 1
            tried = (*job.request.tried, upstream.name)
            job.request = job.request._replace(tried=tried)
        if version is not None:
            job.request = job.request._replace(
                version=version, upstream_names=upstream_names
            )
        if version is not None or job.tokens_seen:
            # The limits of its first output don't apply to a stream that has begun.
            job.request = job.request._replace(first_by=None, start_by=None)
        self._jobs.withdraw(job, now)
        self._regroup(now)
        if waiting:
            self._requeue(job, now, decisions)
        self._grant_loop.decide(now, decisions)
        return decisions

    def progress(
        self,
        request_id: str,
        output_tokens: int,
        now: float,
        first: float | None = None,
        work_percent: int | None = None,
    ) -> list[Decision]:
        """Record the number of output tokens of a running request so far."""
        job = self._jobs.by_id.get(request_id)
        if job is None:
            return []
        self._jobs.mark_running(job, now)
        self._model_updater.learn_from_progress(
            job, output_tokens, now, first, work_percent
        )
        if job.upstream is None:
            return []
        decisions: list[Decision] = []
        waited = job.awaits_output
        if output_tokens:
            self._isolation.record_output(job, done=False)
            self._pool.fingerprints.begin_output(job)
        self._pool.refresh(job.upstream, now)
        unblocked = waited and not job.awaits_output and self._isolation.active
        if unblocked:
            self._blocked.clear()
        if self._pool.freed or unblocked:
            self._grant_loop.decide(now, decisions)
        return decisions

    def finished(self, completion: Completion, now: float) -> list[Decision]:
        """Record the end of a running request."""
        job = self._jobs.by_id.pop(completion.request_id, None)
        if job is None:
            return []
        decisions: list[Decision] = []
        tokens = max(completion.output_tokens, job.tokens_seen)
        broke = completion.outcome == OUTCOME_UNKNOWN and not completion.fault
        if completion.outcome == OUTCOME_DONE:
            self._isolation.record_output(job, done=True)
        elif broke and not tokens:
            self._record_break(job, now)
        self._model_updater.learn_from_completion(job, completion, now)
        self._jobs.withdraw(job, now)
        self._regroup(now)
        self._grant_loop.decide(now, decisions)
        return decisions

    def adopt_running(
        self, request: WaitingRequest, upstream: str, output_tokens: int, now: float
    ) -> list[Decision]:
        """Track a running request that an earlier owner granted."""
        known = self._jobs.by_id.pop(request.request_id, None)
        if known is not None:
            self._jobs.withdraw(known, now)
        job = self._jobs.new(request, now)
        self._estimate_size(job, now)
        job.state = JobState.RUNNING
        job.adopted = True
        job.tokens_seen = output_tokens
        job.tokens_at = job.granted_at = now
        job.prefill = 0 if output_tokens else request.prompt_tokens
        self._jobs.track(job)
        self._limiter.start_request(job.workspace, now)
        self._pool.adopt(job, upstream, now)
        return []

    def announce(self, state: UpstreamState, now: float) -> tuple[bool, list[Decision]]:
        """Apply an announcement; return False if it is older than the known state."""
        decisions: list[Decision] = []
        accepted = self._pool.announce(state, now)
        self._grant_loop.decide(now, decisions)
        return accepted, decisions

    def update_rate_limit(self, update: RateLimitUpdate, now: float) -> list[Decision]:
        """Apply the rate limit that a response of an upstream gave."""
        decisions: list[Decision] = []
        self._pool.update_rate_limit(update, now)
        if self._pool.freed:
            self._grant_loop.decide(now, decisions)
        return decisions

    def apply_notice(self, update: NoticeUpdate, now: float) -> list[Decision]:
        """Apply what an upstream stated in its responses to an entry host.

        The waiting requests of that host are regrouped, since they can't use the same
        upstreams as those of other hosts any more.
        """
        decisions: list[Decision] = []
        self._pool.apply_notice(update, now)
        self._pool.hosts_to_regroup.add(update.entry_host)
        self._regroup(now)
        self._grant_loop.decide(now, decisions)
        return decisions

    def _record_break(self, job: Job, now: float) -> None:
        """Suspect a request whose response broke; regroup those that resemble it."""
        suspected = self._isolation.record_break(job, now)
        if suspected:
            self._regroup_suspects(suspected, now)

    def _regroup_suspects(self, fingerprints: frozenset[int], now: float) -> None:
        for job in list(self._jobs.by_id.values()):
            if job.waiting and not fingerprints.isdisjoint(job.request.fingerprints):
                self._jobs.regroup(job, lambda job=job: self._set_group_key(job, now))

    def _regroup(self, now: float) -> None:
        """Regroup waiting requests of hosts whose usable upstreams have changed."""
        hosts = self._pool.hosts_to_regroup
        if not hosts:
            return
        for job in list(self._jobs.by_id.values()):
            if job.waiting and job.request.entry_host in hosts:
                self._jobs.regroup(job, lambda job=job: self._set_group_key(job, now))
        hosts.clear()

    def set_versions(
        self, rules: VersionRules, allowance: CanaryAllowance | None, now: float
    ) -> list[Decision]:
        """Apply version rules, and the allowance of the candidate version."""
        decisions: list[Decision] = []
        self._picker.canaries.allowance = allowance
        self._pool.set_versions(rules, now)
        self._blocked.clear()
        self._grant_loop.decide(now, decisions)
        return decisions

    def review(self, fingerprints: frozenset[int], now: float) -> list[Decision]:
        """Reconsider waiting requests of fingerprints whose crash history has changed.

        Requests that are quarantined now are refused. The others are regrouped, since
        suspects wait in groups of their own.
        """
        decisions: list[Decision] = []
        self._isolation.review(fingerprints, now)
        for job in list(self._jobs.by_id.values()):
            if not job.waiting or fingerprints.isdisjoint(job.request.fingerprints):
                continue
            if self._refuse_quarantined(job, now, decisions):
                self._jobs.forget(job, now)
        self._regroup_suspects(fingerprints, now)
        self._grant_loop.decide(now, decisions)
        return decisions

    def set_limits(
        self, limits_by_workspace: dict[str, WorkspaceLimits], now: float
    ) -> list[Decision]:
        """Apply new workspace limits."""
        decisions: list[Decision] = []
        self._limiter.set_limits(limits_by_workspace)
        self._queue.uncap_all()
        self._grant_loop.decide(now, decisions)
        return decisions

    def tick(self, now: float) -> list[Decision]:
        """Handle timeouts: late requests, silent upstreams and expired grants."""
        decisions: list[Decision] = []
        for job in self._jobs.grant_timers.due(now):
            self._jobs.expire_grant(job, now)
        self._jobs.parking.unpark_due(now)
        for job in self._wait_deadlines.due_objectives(now):
            self._jobs.demote(job)
            self._refuse_if_overdue(job, now, decisions)
        for job in self._wait_deadlines.due_checks(now):
            self._refuse_if_too_late(job, now, decisions)
        self._pool.refresh_due(now)
        if now >= self._next_housekeeping_at:
            self._housekeep(now, decisions)
        self._grant_loop.decide(now, decisions)
        return decisions

    def next_wake(self, now: float) -> float:
        """Return the time at which tick() is due if no other call comes first."""
        housekeeping = self._next_housekeeping_at
        if not self._jobs.by_id:
            housekeeping = max(housekeeping, now + IDLE_WAKE_SECONDS)
        return min(
            housekeeping,
            self._jobs.grant_timers.next_due(),
            self._jobs.parking.next_due(),
            self._wait_deadlines.next_due(),
            self._pool.next_refresh(),
        )

    def take_events(self) -> list[UpstreamEvent]:
        """Return the changes in the state of upstreams since the last call."""
        return self._pool.events.take()

    def describe(self, now: float) -> dict[str, object]:
        """Return the scheduler's state for the state dump."""
        return describe(
            self._pool, self._queue, self._wait_estimator, self._jobs.waiting, now
        )

    def explain_placement(
        self, request: WaitingRequest, now: float
    ) -> dict[str, object]:
        """Return where a request would be placed now, without changing any state."""
        query = PlacementQuery(
            self._parameters,
            self._pool,
            self._queue,
            self._limiter,
            self._size_estimator,
            self._ordering,
            self._wait_estimator,
            self._isolation,
        )
        return query.answer(request, self._jobs.waiting, now)

    def _estimate_size(self, job: Job, now: float) -> None:
        self._size_estimator.estimate(job)
        self._pool.record_tier(job.rank)
        job.order_key = self._ordering.key(job)
        self._set_group_key(job, now)

    def _set_group_key(self, job: Job, now: float) -> None:
        """Set the key of the queue group whose requests can use the same upstreams."""
        request = job.request
        job.group_key = (
            request.upstream_names,
            self._pool.excluded(request.entry_host, now).union(request.tried),
            job.kind,
            self._isolation.suspect_key(request, now),
        )

    def _make_room(self, job: Job, now: float, decisions: list[Decision]) -> None:
        """Shed a request if the queue is full or the expected wait is too long.

        The new request itself is shed if no request of a lower tier waits.
        """
        if not self._jobs.waiting:
            return
        reason = Reason.SHED
        exceeded: ExceededBound | None
        if self._jobs.waiting >= self._parameters.max_waiting:
            reason = Reason.QUEUE_FULL
            exceeded = ExceededBound(RefusalBound.QUEUE_LENGTH)
        else:
            exceeded = self._shedder.overloaded(job, job.min_service_seconds, now)
            if exceeded is None:
                return
        self._jobs.parking.unpark_all()
        victim = self._shedder.victim(job)
        if victim is job:
            decisions.append(self._refusals.refuse(job, reason, now, exceeded))
            return
        exceeded = exceeded._replace(bound=RefusalBound.DISPLACED)
        decisions.append(self._refusals.drop(victim, reason, now, exceeded))

    def _refuse_quarantined(
        self, job: Job, now: float, decisions: list[Decision]
    ) -> bool:
        """Refuse a request that is quarantined; return whether it is."""
        conviction = self._isolation.conviction(job.request, now)
        if conviction is None:
            return False
        decisions.append(self._refusals.quarantined(job, conviction, now))
        return True

    def _has_tried_all(self, job: Job) -> bool:
        """Return whether every upstream that may run a request refused or failed it."""
        members = self._pool.view(job).members
        upstreams_by_name = self._pool.upstreams_by_name
        return bool(members) and all(
            name in job.request.tried or upstreams_by_name[name].outlier.ejected
            for name in members
        )

    def _requeue(self, job: Job, now: float, decisions: list[Decision]) -> None:
        """Queue a request again, at its old position, after its grant was returned."""
        if self._has_tried_all(job):
            # Every upstream refused or failed it. Its deadline may allow another round,
            # but rounds are limited: each try costs the entry host a connection.
            job.request = job.request._replace(tried=())
            if job.return_count >= MAX_RETURNS:
                decisions.append(self._refusals.refuse(job, Reason.NOT_ADMITTED, now))
                return
        if self._refuse_quarantined(job, now, decisions):
            return
        self._set_group_key(job, now)
        job.reregistered = False
        self._jobs.track(job)
        self._jobs.enqueue(job, now)

    def _refuse_if_overdue(
        self, job: Job, now: float, decisions: list[Decision]
    ) -> None:
        """Refuse a request that misses its objective and would wait for long."""
        if not self._jobs.is_live(job) or not job.waiting:
            return
        exceeded = self._shedder.overdue(job, now)
        if exceeded is not None:
            decisions.append(self._refusals.drop(job, Reason.SHED, now, exceeded))

    def _refuse_if_too_late(
        self, job: Job, now: float, decisions: list[Decision]
    ) -> None:
        if not self._jobs.is_live(job) or not job.waiting:
            return
        exceeded = self._wait_deadlines.exceeded(job, now)
        if exceeded is not None:
            decisions.append(self._refusals.drop(job, Reason.TOO_LATE, now, exceeded))
            return
        if self._wait_deadlines.no_upstream_for_too_long(job, now):
            exceeded = ExceededBound(RefusalBound.NO_UPSTREAM)
            reason = Reason.NO_UPSTREAM
            decisions.append(self._refusals.drop(job, reason, now, exceeded))
            return
        self._wait_deadlines.schedule_check(job, now)

    def _housekeep(self, now: float, decisions: list[Decision]) -> None:
        self._next_housekeeping_at = now + HOUSEKEEPING_SECONDS
        self._pool.housekeep(now)
        self._isolation.expire(now)
        for timers in (
            self._wait_deadlines,
            self._jobs.grant_timers,
            self._jobs.parking,
        ):
            timers.prune(len(self._jobs.by_id), self._jobs.is_live)
        self._blocked.clear()
        self._wait_estimator.close_interval(now)
        self._jobs.parking.unpark_all()
        for job, exceeded in self._shedder.trim(now):
            del self._jobs.by_id[job.request.request_id]
            self._jobs.stop_waiting(job, now)
            job.state = JobState.GONE
            reason = Reason.TOO_LATE if job.demoted else Reason.SHED
            decisions.append(self._refusals.refuse(job, reason, now, exceeded))


def _lowest_tier_first(request: WaitingRequest) -> int:
    return -request.tier_rank
