"""Updates the models of upstreams from the progress and ends of requests."""

import math

from bitterntiller.components.dispatch.const import (
    KIND_PLAIN,
    OUTCOME_CALLER_GONE,
    OUTCOME_DONE,
    OUTCOME_REJECTED,
    OUTCOME_UNKNOWN,
    REASON_NOT_ADMITTED,
    REASON_REFUSED_CONNECTION,
)
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import (
    Completion,
    PolicyParameters,
    UpstreamLoad,
)
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.size_estimator import SizeEstimator
from bitterntiller.components.dispatch.stated_speed import (
    Statement,
    is_valid,
    sample_factor,
)
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
        self,
        job: Job,
        output_tokens: int,
        now: float,
        first: float | None,
        work_percent: int | None = None,
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
        self._pool.outliers.record_success(
            upstream.outlier, job.request.request_id, now
        )
        if job.first_output_at is None and job.tokens_seen == 0:
            when = now
            if first is not None and not job.adopted:
                when = min(now, job.granted_at + first)
                if upstream.paced:
                    upstream.pace.record_first_output(job, when, now)
            if work_percent is not None:
                self._pool.record_work_time(upstream, work_percent, when, now)
                self._record_own_statement(job, work_percent, when)
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
            self._record_load(job, upstream, completion, completion.load, now)
        # A caller that disconnects, or sends what the upstream rejects, is no failure
        # of the upstream. If these were counted, a few of them in a row would stop
        # all requests to the upstream.
        outliers, request_id = self._pool.outliers, job.request.request_id
        if completion.outcome == OUTCOME_CALLER_GONE:
            if max(completion.output_tokens, job.tokens_seen):
                outliers.record_success(upstream.outlier, request_id, now)
            else:
                outliers.record_end(upstream.outlier, request_id, now)
            return
        # A broken tunnel says as little about the upstream as about the host between.
        broke = completion.outcome == OUTCOME_UNKNOWN and not completion.fault
        if completion.relay and broke:
            return
        host = completion.relay or job.request.entry_host
        granted_at = job.granted_at
        if completion.relay:
            self._pool.paths.record_relayed(job.request.entry_host, now)
        if completion.outcome in (OUTCOME_REJECTED, OUTCOME_DONE):
            outliers.record_success(upstream.outlier, request_id, now)
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
        usual = self._usual_call_seconds(job, upstream, completion)
        self._size_estimator.learn(job, completion._replace(total=usual))
        # The duration of a call measures the upstream's speed only relative to the
        # measured mean of such calls. Relative to an unmeasured estimate, an upstream
        # would seem many times too slow or too fast for calls of all sizes.
        if not (self._plain and (job.adopted or job.unmeasured)):
            self._learn_service_times(job, upstream, completion, usual, now)
        if not job.adopted:
            self._learn_concurrency(job, upstream, completion, now)
        if completion.cached_tokens is not None:
            upstream.prefixes.update_trust(
                job.expected_cached, completion.cached_tokens
            )

    def _record_load(
        self,
        job: Job,
        upstream: Upstream,
        completion: Completion,
        load: UpstreamLoad,
        now: float,
    ) -> None:
        """Apply the load that the head of a completed response reported.

        The head came with the first output, which may have been seconds ago.
        """
        head_at = load.measured_at
        if completion.first_token is not None:
            head_at -= max(0.0, completion.total - completion.first_token)
        self._pool.record_load(upstream, load, now, head_at)
        self._record_own_statement(job, load.work_percent, head_at)

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
        if reason not in (REASON_NOT_ADMITTED, REASON_REFUSED_CONNECTION):
            upstream.outlier.record_failure(job.request.request_id, now)
        self._pool.record_upstream_failure(
            upstream, host, reason, now, job.granted_at, fault
        )

    def _learn_first_output(self, job: Job, upstream: Upstream, now: float) -> None:
        job.first_output_at = now
        seconds = upstream.ledger.finish_prefill(job, now)
        if seconds is None:
            return
        expected = upstream.speed.prefill_seconds(job.prefill, job.kind)
        if job.statement is not None:
            seconds /= sample_factor(job.statement.whole, seconds, expected)
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
        self._learn_outputs(
            job, upstream, tokens - job.tokens_seen, job.tokens_at, now - job.tokens_at
        )

    def _learn_outputs(
        self, job: Job, upstream: Upstream, tokens: int, begin: float, seconds: float
    ) -> None:
        """Learn from the seconds in which tokens were decoded, from a time on.

        The statement of a response is about the time of its head, so it counts for less
        the later the tokens came.
        """
        in_flight = upstream.ledger.in_flight
        if job.statement is not None:
            stated = job.statement.mean_factor(begin, seconds)
            expected = upstream.speed.decode_seconds(tokens, in_flight)
            seconds /= sample_factor(stated, seconds, expected)
        upstream.speed.learn_decode(tokens, seconds, in_flight)

    def _record_own_statement(
        self, job: Job, percent: int | None, head_at: float
    ) -> None:
        if self._pool.uneven and job.statement is None and is_valid(percent):
            job.statement = Statement(percent, head_at)

    def _usual_call_seconds(
        self, job: Job, upstream: Upstream, completion: Completion
    ) -> float:
        """Return how long a call would have taken if work took as long as usual.

        A stream runs on after its statement; its parts are corrected one by one. If the
        expected time is a guess, it can't tell whether the statement is true.
        """
        seconds = completion.total
        stream = not self._plain and completion.first_token is not None
        if job.statement is None or stream or job.unmeasured:
            return seconds
        size = max(job.expected_output, 0.0 if self._plain else 1.0)
        expected = upstream.speed.decode_seconds(size, upstream.ledger.in_flight)
        return seconds / sample_factor(job.statement.whole, seconds, expected)

    def _learn_service_times(
        self,
        job: Job,
        upstream: Upstream,
        completion: Completion,
        usual: float,
        now: float,
    ) -> None:
        """Learn from the times of a completed request.

        usual is its time in seconds if work had taken as long as usual.
        """
        in_flight = upstream.ledger.in_flight
        first = completion.first_token
        if self._plain:
            upstream.speed.learn_decode(job.expected_output, usual, in_flight)
        elif first is None:
            size = max(job.expected_output, 1.0)
            upstream.speed.learn_decode(size, usual, in_flight)
        elif job.first_output_at is None:
            began = job.granted_at + first
            if upstream.paced and not job.adopted:
                upstream.pace.record_first_output(job, began, now)
            self._learn_first_output(job, upstream, began)
            self._learn_outputs(
                job,
                upstream,
                completion.output_tokens - 1,
                began,
                completion.total - first,
            )
        elif completion.output_tokens > job.tokens_seen:
            self._learn_decode(job, upstream, completion.output_tokens, now)
        if job.work <= 0 or completion.total <= 0:
            return
        upstream.speed.learn_total(job.expected_total, completion.total)
        upstream.limit.learn(usual / job.work, upstream.state.slots)
        self._pool.record_service_time(job.work, completion.total)

    def _learn_concurrency(
        self, job: Job, upstream: Upstream, completion: Completion, now: float
    ) -> None:
        """Learn the concurrency limit, relative to the usual time of such a request.

        It is the time from the grant to here: the time that messages take counts, since
        it determines how many requests have to be in flight to use an upstream fully.
        """
        request = job.request
        allowed = math.inf
        seconds = now - job.granted_at
        if seconds <= 0:
            return
        if self._plain:
            # Learned without the switch too, so that what is usual is known when a pool
            # turns out to be uneven.
            durations = self._pool.usual_durations
            expected = durations.seconds(request.prompt_tokens) or seconds
            durations.learn(request.prompt_tokens, seconds)
            if request.first_by is not None:
                allowed = request.first_by - request.arrived
        elif completion.output_tokens:
            expected = self._pool.speed.work(job.prefill, completion.output_tokens)
        else:
            expected = job.work
        if job.statement is not None:
            expected *= job.statement.whole
        if self._pool.uneven:
            upstream.learn_concurrency(job, expected, allowed, now)


def _may_end(job: Job) -> bool:
    """Return whether a stream has brought output, and no more than a long one does."""
    expected = max(job.expected_output, float(job.request.output_tokens))
    return 0 < job.tokens_seen <= ENDLESS_OUTPUT_FACTOR * expected
