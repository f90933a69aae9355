"""Updates the models of upstreams from the progress and ends of requests."""

from bitterntiller.components.dispatch.const import (
    KIND_PLAIN,
    OUTCOME_CALLER_GONE,
    OUTCOME_DONE,
    OUTCOME_REJECTED,
    OUTCOME_UNKNOWN,
    REASON_NOT_ADMITTED,
)
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import Completion, PolicyParameters
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.size_estimator import SizeEstimator
from bitterntiller.components.dispatch.upstreams import Upstream
from bitterntiller.core.outcomes import ResponseFault

ENDLESS_OUTPUT_FACTOR = 4.0
"""Multiple of the expected output from which a stream is taken for one without end."""


class ModelUpdater:
    """Passes samples to the speed, limit, health and prefix models of upstreams."""

    def __init__(
        self, parameters: PolicyParameters, pool: Pool, size_estimator: SizeEstimator
    ) -> None:
        self._plain = parameters.kind == KIND_PLAIN
        self._pool = pool
        self._size_estimator = size_estimator

    def learn_from_progress(
        self, job: Job, output_tokens: int, now: float, first: float | None
    ) -> None:
        """Learn from the number of output tokens of a running request so far.

        The message arrives up to half a second after the first output, which is several
        times the duration of a prefill. If its arrival counted as the end of the
        prefill, an engine would seem many times too slow, and long prompts would be
        refused as too late beside idle engines. The entry host therefore reports when
        the first output came.
        """
        upstream = job.upstream
        if upstream is None or output_tokens <= job.tokens_seen:
            return
        upstream.last_active_at = now
        upstream.reports_progress = True
        host = job.request.entry_host
        self._pool.record_output(upstream, host, now, job.granted_at)
        if job.first_output_at is None and job.tokens_seen == 0:
            when = now
            if first is not None and not job.adopted:
                when = min(now, job.granted_at + first)
                if upstream.paced:
                    upstream.pace.record_first_output(job, when, now)
            self._learn_first_output(job, upstream, when)
        else:
            self._learn_decode(job, upstream, output_tokens, now)
        job.tokens_seen = output_tokens
        job.tokens_at = now

    def learn_from_completion(
        self, job: Job, completion: Completion, now: float
    ) -> None:
        """Learn from the end of a request."""
        upstream = job.upstream
        if upstream is None:
            return
        if completion.load is not None:
            self._pool.record_load(upstream, completion.load, now)
        # A caller that disconnects, or sends what the upstream rejects, is no failure
        # of the upstream. If these were counted, a few of them in a row would stop
        # all requests to the upstream.
        if completion.outcome == OUTCOME_CALLER_GONE:
            return
        # A broken tunnel says as little about the upstream as about the host between.
        broke = completion.outcome == OUTCOME_UNKNOWN and not completion.fault
        if completion.relay and broke:
            return
        host = completion.relay or job.request.entry_host
        granted_at = job.granted_at
        if completion.relay:
            self._pool.paths.record_relayed(job.request.entry_host, now)
        if completion.outcome == OUTCOME_REJECTED:
            self._pool.record_upstream_success(upstream, host, now, granted_at)
            return
        if completion.outcome != OUTCOME_DONE:
            job.tokens_seen = max(job.tokens_seen, completion.output_tokens)
            self._record_failure(
                job, upstream, host, completion.outcome, now, completion.fault
            )
            return
        self._pool.record_upstream_success(upstream, host, now, granted_at)
        upstream.last_active_at = now
        self._size_estimator.learn(job, completion)
        # The duration of a call measures the upstream's speed only relative to the
        # measured mean of such calls. Relative to an unmeasured estimate, an upstream
        # would seem many times too slow or too fast for calls of all sizes.
        if not (self._plain and (job.adopted or job.unmeasured)):
            self._learn_service_times(job, upstream, completion, now)
        if completion.cached_tokens is not None:
            upstream.prefixes.update_trust(
                job.expected_cached, completion.cached_tokens
            )

    def learn_from_return(
        self,
        job: Job,
        upstream: Upstream,
        reason: str,
        now: float,
        fault: str = "",
    ) -> None:
        """Learn from a returned grant that is a failure of the upstream."""
        if reason == REASON_NOT_ADMITTED:
            upstream.limit.record_rejection(
                upstream.ledger.in_flight - 1, upstream.state.slots
            )
        host = job.request.entry_host
        self._record_failure(job, upstream, host, reason, now, fault)

    def _record_failure(
        self,
        job: Job,
        upstream: Upstream,
        host: str,
        reason: str,
        now: float,
        fault: str,
    ) -> None:
        """Record a failure of an upstream, unless its response may only be long."""
        long = fault == ResponseFault.OVERRUN and _may_end(job)
        if long or fault == ResponseFault.UNFINISHED:
            self._pool.record_reached(upstream, host, now, job.granted_at)
            return
        self._pool.record_upstream_failure(
            upstream, host, reason, now, job.granted_at, fault
        )

    def _learn_first_output(self, job: Job, upstream: Upstream, now: float) -> None:
        job.first_output_at = now
        seconds = upstream.ledger.finish_prefill(job, now)
        if seconds is None:
            return
        expected = upstream.speed.prefill_seconds(job.prefill, job.kind)
        upstream.speed.learn_prefill(job.kind, expected, seconds)

    def _learn_decode(
        self, job: Job, upstream: Upstream, tokens: int, now: float
    ) -> None:
        if not job.tokens_at:
            return
        if upstream.paced:
            upstream.pace.record_outputs(
                tokens - job.tokens_seen, job.tokens_at, now, upstream.ledger.in_flight
            )
        upstream.speed.learn_decode(
            tokens - job.tokens_seen, now - job.tokens_at, upstream.ledger.in_flight
        )

    def _learn_service_times(
        self, job: Job, upstream: Upstream, completion: Completion, now: float
    ) -> None:
        """Learn from the times of a completed request."""
        in_flight = upstream.ledger.in_flight
        first = completion.first_token
        if self._plain:
            size = job.expected_output
            upstream.speed.learn_decode(size, completion.total, in_flight)
        elif first is None:
            size = max(job.expected_output, 1.0)
            upstream.speed.learn_decode(size, completion.total, in_flight)
        elif job.first_output_at is None:
            began = job.granted_at + first
            if upstream.paced and not job.adopted:
                upstream.pace.record_first_output(job, began, now)
            self._learn_first_output(job, upstream, began)
            upstream.speed.learn_decode(
                completion.output_tokens - 1, completion.total - first, in_flight
            )
        elif completion.output_tokens > job.tokens_seen:
            self._learn_decode(job, upstream, completion.output_tokens, now)
        if job.work <= 0 or completion.total <= 0:
            return
        upstream.speed.learn_total(job.expected_total, completion.total)
        upstream.limit.learn(completion.total / job.work, upstream.state.slots)
        self._pool.record_service_time(job.work, completion.total)


def _may_end(job: Job) -> bool:
    """Return whether a stream has brought output, and no more than a long one does."""
    expected = max(job.expected_output, float(job.request.output_tokens))
    return 0 < job.tokens_seen <= ENDLESS_OUTPUT_FACTOR * expected
