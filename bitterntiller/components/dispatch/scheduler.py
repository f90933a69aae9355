"""The decisions of the owner of one pool."""

from sortedcontainers import SortedKeyList

from bitterntiller.components.dispatch.const import DEFAULT_RETRY_SECONDS
from bitterntiller.components.dispatch.models import (
    DEFAULT_PARAMETERS,
    Completion,
    Decision,
    Granted,
    PolicyParameters,
    Refused,
    UpstreamState,
    WaitingRequest,
    WorkspaceLimits,
)
from bitterntiller.core.outcomes import Reason


class Job:
    """A request at the owner: waiting, granted or running."""

    __slots__ = ("arrived", "granted_at", "request", "started", "upstream")

    def __init__(self, request: WaitingRequest, now: float) -> None:
        self.request = request
        self.arrived = now
        self.upstream: str | None = None
        self.granted_at = 0.0
        self.started = False


class Upstream:
    """An upstream as announced, and the requests it was given."""

    __slots__ = ("heard_at", "jobs_by_id", "state")

    def __init__(self, state: UpstreamState, now: float) -> None:
        self.state = state
        self.heard_at = now
        self.jobs_by_id: dict[str, Job] = {}


def _order(job: Job) -> tuple[int, float, str]:
    return (job.request.tier_rank, job.request.arrived, job.request.request_id)


class PoolScheduler:
    """Decides for one pool; see models.Scheduler for the calls."""

    def __init__(self, parameters: PolicyParameters = DEFAULT_PARAMETERS) -> None:
        self._parameters = parameters
        self._jobs_by_id: dict[str, Job] = {}
        self._queue: SortedKeyList = SortedKeyList(key=_order)
        self._upstreams_by_name: dict[str, Upstream] = {}
        self._limits_by_workspace: dict[str, WorkspaceLimits] = {}

    def register(self, request: WaitingRequest, now: float) -> list[Decision]:
        """Take a request into the queue; a known one stays as it is."""
        if request.request_id in self._jobs_by_id:
            return []
        job = Job(request, now)
        self._jobs_by_id[request.request_id] = job
        self._queue.add(job)
        return self._decide(now)

    def cancel(self, request_id: str, now: float) -> list[Decision]:
        """Forget a request whose caller has gone, waiting or running."""
        job = self._jobs_by_id.pop(request_id, None)
        if job is None:
            return []
        self._release(job)
        return self._decide(now)

    def started(self, request_id: str, now: float) -> list[Decision]:
        """Note that the entry host began to send under its grant."""
        job = self._jobs_by_id.get(request_id)
        if job is not None and job.upstream is not None:
            job.started = True
        return []

    def returned(
        self, request_id: str, reason: str, waiting: bool, now: float
    ) -> list[Decision]:
        """Take back an unused grant, and the request if it still waits."""
        job = self._jobs_by_id.pop(request_id, None)
        if job is None:
            return []
        tried = job.request.tried
        if job.upstream is not None and reason != "expired":
            tried = (*tried, job.upstream)
        self._release(job)
        if waiting:
            job.request = job.request._replace(tried=tried)
            job.started = False
            self._jobs_by_id[request_id] = job
            self._queue.add(job)
        return self._decide(now)

    def progress(
        self, request_id: str, output_tokens: int, now: float
    ) -> list[Decision]:
        """Note how many output tokens a running request has got so far."""
        return []

    def finished(self, completion: Completion, now: float) -> list[Decision]:
        """Note the end of a running request."""
        return self.cancel(completion.request_id, now)

    def adopt_running(
        self, request: WaitingRequest, upstream: str, output_tokens: int, now: float
    ) -> list[Decision]:
        """Count a request that was granted by an earlier owner and runs."""
        known = self._jobs_by_id.pop(request.request_id, None)
        if known is not None:
            self._release(known)
        job = Job(request, now)
        job.started = True
        self._jobs_by_id[request.request_id] = job
        self._place(job, upstream, now)
        return []

    def announce(self, state: UpstreamState, now: float) -> tuple[bool, list[Decision]]:
        """Take an announcement; False for one older than what is known."""
        known = self._upstreams_by_name.get(state.name)
        if known is None:
            upstream = Upstream(state, now)
            self._upstreams_by_name[state.name] = upstream
            for job in self._jobs_by_id.values():
                if job.upstream == state.name:
                    upstream.jobs_by_id[job.request.request_id] = job
            return True, self._decide(now)
        before = (known.state.incarnation, known.state.sequence)
        if (state.incarnation, state.sequence) <= before:
            return False, []
        known.state = state
        known.heard_at = now
        return True, self._decide(now)

    def set_limits(
        self, limits_by_workspace: dict[str, WorkspaceLimits], now: float
    ) -> list[Decision]:
        """Put new limits of workspaces in force."""
        self._limits_by_workspace = dict(limits_by_workspace)
        return self._decide(now)

    def tick(self, now: float) -> list[Decision]:
        """Do what time alone brings: lateness, silence, lapsed grants."""
        lapsed_before = (
            now - self._parameters.grant_seconds - self._parameters.grant_grace
        )
        for job in list(self._jobs_by_id.values()):
            if job.upstream is None or job.started or job.granted_at > lapsed_before:
                continue
            del self._jobs_by_id[job.request.request_id]
            self._release(job)
        return self._decide(now)

    def next_wake(self, now: float) -> float:
        """Return the time at which tick() is due, if nothing happens before."""
        return now + 0.1

    def describe(self, now: float) -> dict[str, object]:
        """Return the owner's view for the dump."""
        return {
            "waiting": len(self._queue),
            "upstreams_by_name": {
                name: {
                    "address": upstream.state.address,
                    "incarnation": upstream.state.incarnation,
                    "leaving": upstream.state.leaving,
                    "running": len(upstream.jobs_by_id),
                    "silent": not self._heard(upstream, now),
                }
                for name, upstream in self._upstreams_by_name.items()
            },
        }

    def _heard(self, upstream: Upstream, now: float) -> bool:
        return now - upstream.heard_at <= self._parameters.silence_seconds

    def _release(self, job: Job) -> None:
        if job.upstream is None:
            self._queue.discard(job)
            return
        upstream = self._upstreams_by_name.get(job.upstream)
        if upstream is not None:
            upstream.jobs_by_id.pop(job.request.request_id, None)
        job.upstream = None

    def _place(self, job: Job, name: str, now: float) -> None:
        job.upstream = name
        job.granted_at = now
        upstream = self._upstreams_by_name.get(name)
        if upstream is not None:
            upstream.jobs_by_id[job.request.request_id] = job

    def _decide(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        for job in list(self._queue):
            decision = self._decide_one(job, now)
            if decision is not None:
                decisions.append(decision)
        return decisions

    def _decide_one(self, job: Job, now: float) -> Decision | None:
        request = job.request
        if request.deadline <= now:
            return self._refuse(job, Reason.TOO_LATE)
        usable = [
            upstream
            for name, upstream in self._upstreams_by_name.items()
            if self._heard(upstream, now)
            and not upstream.state.leaving
            and name not in request.tried
            and (request.upstream_names is None or name in request.upstream_names)
        ]
        if not usable:
            if now - job.arrived < self._parameters.no_upstream_seconds:
                return None
            return self._refuse(job, Reason.NO_UPSTREAM)
        best = min(usable, key=lambda upstream: len(upstream.jobs_by_id))
        if len(best.jobs_by_id) >= best.state.slots:
            return None
        self._queue.remove(job)
        self._place(job, best.state.name, now)
        return Granted(
            request.request_id,
            request.entry_host,
            best.state.name,
            best.state.address,
            best.state.incarnation,
        )

    def _refuse(self, job: Job, reason: Reason) -> Refused:
        self._queue.remove(job)
        request = job.request
        del self._jobs_by_id[request.request_id]
        return Refused(
            request.request_id, request.entry_host, reason, DEFAULT_RETRY_SECONDS
        )
