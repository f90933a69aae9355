"""Placement by objective and output gap: which streams a placement would make late.

An engine that batches its streams continuously reads prompts in chunks between their
outputs. The gaps of all its streams grow during a prefill, and prompts are read one
after the other. The owner sees neither steps nor chunks, and no single gap: the number
of outputs is reported about twice a second. Three lines are therefore fitted for each
upstream to what the reports show:

- seconds from the grant to the first output, by prompt tokens ahead and its own;
- outputs per second of a stream, by the share of the time with a prefill;
- seconds between two outputs outside of prefills, by requests in flight.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from bitterntiller.components.dispatch.const import (
    PARK_SECONDS,
    PRIOR_PREFILL_TOKENS_PER_SECOND,
    PRIOR_SECONDS_PER_TOKEN,
)
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.ledger import Ledger

UPSTREAM_TIME_CONSTANT = 8.0
"""Decay of the samples of one upstream in seconds: one with a new speed is relearned
within seconds, and one without requests is assumed to be like the pool again."""

POOL_TIME_CONSTANT = 60.0
PRIOR_SAMPLES = 3.0
"""Number of samples that the pool's line counts for in that of an upstream."""

MAX_SAMPLE_RATIO = 8.0
"""Largest factor between a sample and its expected value that is learned from, so that
one pause of an engine doesn't determine its line for seconds."""

REPORT_SECONDS = 0.6
"""Maximum time from an output to its report to the owner: outputs are reported twice a
second. The prefills within an interval are known only after that time."""

OVERDUE_SHARE = 0.1
"""Share of its time so far that a prefill without a report is expected to take longer.
Otherwise an engine that hangs would look idle."""

MAX_PENDING = 128
"""Maximum number of samples and of prefills kept for one upstream."""

MAX_PREFILL_COST = 0.95
PRIOR_PREFILL_COST = 0.5
"""Bound and initial value of the share of output that streams lose during a prefill."""

OUTPUTS_PER_SAMPLE = 8
"""Number of outputs that count as one sample of the gap. A report is off by up to one
output, and a fast engine produces a dozen between two reports."""

MIN_SECONDS_PER_TOKEN = 1e-9
"""Prevents a division by zero where prompts take no measurable time."""

MIN_SAMPLE_SECONDS = 0.05
"""Minimum duration of a sample of outputs; shorter ones measure network delays."""

SHARE_SPREAD = 0.2
TOKENS_SPREAD = 2000.0
IN_FLIGHT_SPREAD = 3.0
"""Typical standard deviation of the three lines' variables: samples that vary by less
say little about a slope, and the pool's slope counts."""

FIT_SECONDS = 0.25
"""How long fitted lines are used before they are fitted again."""

OBJECTIVE_MARGIN = 1.2
"""Factor on the expected time to the first output, for the error of the estimate."""

GAP_MARGIN = 1.1
"""Factor on expected gaps: one that is expected just below its target often exceeds
it."""

RECHECK_SECONDS = 0.03
"""How long a request waits for an upstream that is free until it is placed again: a
fraction of the objectives, and about the time in which a prompt is read."""

MIN_WAIT_SECONDS = 0.005
"""Minimum slack with which a request waits for a better upstream, so that it isn't kept
back until its objective has just been missed."""


class Line(NamedTuple):
    """A straight line."""

    intercept: float
    slope: float

    def at(self, x: float) -> float:
        """Return the value at x."""
        return self.intercept + self.slope * x


class LineFit:
    """Weighted least squares fit of a line, in which old samples decay.

    A prior line counts for PRIOR_SAMPLES samples. It is scaled to the mean of the
    samples: the upstreams of a pool differ by a factor that is the same for all sizes.
    spread is the standard deviation at which the samples determine the slope.
    """

    def __init__(self, time_constant: float, spread: float) -> None:
        self._time_constant = time_constant
        self._spread = spread
        self._weight = self._x = self._y = self._xx = self._xy = 0.0
        self.samples = 0
        self.updated_at = 0.0

    def add(self, x: float, y: float, weight: float, now: float) -> None:
        """Add a sample."""
        decay = self._decay(now)
        self._weight = self._weight * decay + weight
        self._x = self._x * decay + weight * x
        self._y = self._y * decay + weight * y
        self._xx = self._xx * decay + weight * x * x
        self._xy = self._xy * decay + weight * x * y
        self.samples += 1
        self.updated_at = max(now, self.updated_at)

    def fit(self, prior: Line, now: float) -> Line:
        """Return the line that fits the samples and a prior."""
        weight = self._weight * self._decay(now)
        if weight < 1e-6:
            return prior
        mean_x = self._x / self._weight
        expected = prior.at(mean_x)
        mean_y = self._y / self._weight
        mean_y = (weight * mean_y + PRIOR_SAMPLES * expected) / (weight + PRIOR_SAMPLES)
        decay = weight / self._weight
        deviation_xx = max(0.0, self._xx - mean_x * self._x) * decay
        deviation_xy = (self._xy - mean_x * self._y) * decay
        prior_xx = PRIOR_SAMPLES * self._spread**2
        slope = prior.slope * mean_y / expected if expected else prior.slope
        slope = (deviation_xy + prior_xx * slope) / (deviation_xx + prior_xx)
        return Line(mean_y - slope * mean_x, slope)

    def _decay(self, now: float) -> float:
        return math.exp(min(0.0, self.updated_at - now) / self._time_constant)


class PaceEstimate(NamedTuple):
    """Expected times at an upstream, in seconds.

    first is the time from the grant of a prompt of no tokens to its first output, and
    per_token what each prompt token adds to it. prefill_cost is the share of the output
    that streams lose during a prefill.
    """

    first: float
    per_token: float
    prefill_cost: float
    gap_line: Line

    def gap(self, in_flight: int, prefill: float) -> float:
        """Return the longest expected gap with so many seconds of prefill in a row.

        A prefill longer than the gap that it causes doesn't prolong it further.
        """
        calm = max(0.0, self.gap_line.at(in_flight))
        return calm + self.lost(calm, prefill)

    def lost(self, calm: float, prefill: float) -> float:
        """Return by how much a prefill prolongs what takes calm seconds without."""
        return self.prefill_cost * min(prefill, calm / (1.0 - self.prefill_cost))


class _Lines:
    """The three fitted lines."""

    def __init__(self, time_constant: float) -> None:
        self.first = LineFit(time_constant, TOKENS_SPREAD)
        self.rate = LineFit(time_constant, SHARE_SPREAD)
        self.gap = LineFit(time_constant, IN_FLIGHT_SPREAD)


class PoolPace:
    """Mean of a pool, which is assumed of an upstream without samples."""

    def __init__(self) -> None:
        self.lines = _Lines(POOL_TIME_CONSTANT)

    def first(self, now: float) -> Line:
        """Return the line of the first output."""
        prior = Line(PRIOR_SECONDS_PER_TOKEN, 1 / PRIOR_PREFILL_TOKENS_PER_SECOND)
        return _rising(self.lines.first.fit(prior, now), prior)

    def rate(self, now: float) -> Line:
        """Return the line of outputs per second by the share with a prefill."""
        rate = 1 / PRIOR_SECONDS_PER_TOKEN
        return self.lines.rate.fit(Line(rate, -PRIOR_PREFILL_COST * rate), now)

    def gap(self, now: float) -> Line:
        """Return the line of the gap by requests in flight."""
        prior = Line(PRIOR_SECONDS_PER_TOKEN, 0.0)
        return _rising(self.lines.gap.fit(prior, now), prior)


class _Outputs(NamedTuple):
    """Outputs of one stream within an interval."""

    began: float
    ended: float
    count: int
    in_flight: int


class UpstreamPace:
    """What is learned about one upstream."""

    def __init__(self, pool: PoolPace) -> None:
        self._pool = pool
        self.reset()

    def reset(self) -> None:
        """Forget everything, after a restart of the upstream."""
        self._lines = _Lines(UPSTREAM_TIME_CONSTANT)
        self._pending: deque[_Outputs] = deque(maxlen=MAX_PENDING)
        self._prefills: deque[tuple[float, float]] = deque(maxlen=MAX_PENDING)
        self._estimate: PaceEstimate | None = None
        self._fitted_at = 0.0

    def estimate(self, now: float) -> PaceEstimate:
        """Return the expected times."""
        if self._estimate is None or now - self._fitted_at > FIT_SECONDS:
            self._learn_pending(now)
            self._estimate = self._fit(now)
            self._fitted_at = now
        return self._estimate

    def _fit(self, now: float) -> PaceEstimate:
        lines, pool = self._lines, self._pool
        prior = pool.first(now)
        first = _rising(lines.first.fit(prior, now), prior)
        rate = lines.rate.fit(pool.rate(now), now)
        cost = -rate.slope / rate.intercept if rate.intercept > 0 else 0.0
        cost = min(max(cost, 0.0), MAX_PREFILL_COST)
        prior = pool.gap(now)
        gap = _rising(lines.gap.fit(prior, now), prior)
        return PaceEstimate(first.intercept, first.slope, cost, gap)

    def prefill_seconds_ahead(self, ledger: Ledger, now: float) -> float:
        """Return the seconds until the prompts that were sent have been read."""
        return seconds_ahead(self.read_at(ledger, now), now)

    def read_at(self, ledger: Ledger, now: float) -> list[tuple[Job, float]]:
        """Return when the prompts that were sent are expected to have been read.

        The end of a prefill becomes known with the next report only, so a prompt counts
        as read from when it should have been.
        """
        if not ledger.prefilling_by_id:
            return []
        estimate = self.estimate(now)
        end = 0.0
        read = []
        for job in ledger.prefilling_by_id.values():
            end = max(end, job.granted_at) + estimate.per_token * job.prefill
            if now - end > estimate.first + REPORT_SECONDS:
                end = now + OVERDUE_SHARE * (now - job.granted_at)
            read.append((job, end))
        return read

    def record_grant(self, job: Job, expected: "Outlook", now: float) -> None:
        """Record what is expected of a request that is sent to the upstream."""
        per_token = max(self.estimate(now).per_token, MIN_SECONDS_PER_TOKEN)
        job.prefill_ahead = expected.ahead / per_token
        job.late = not (expected.objective_holds and expected.gap_holds)

    def record_first_output(self, job: Job, at: float, now: float) -> None:
        """Learn from the time of the first output of a request."""
        estimate = self.estimate(now)
        if job.request.first_by is not None:
            job.late = at > job.request.first_by
        tokens = job.prefill_ahead + job.prefill
        line = Line(estimate.first, estimate.per_token)
        seconds = _clipped(at - job.granted_at, line.at(tokens))
        for lines in (self._lines, self._pool.lines):
            lines.first.add(tokens, seconds, 1.0, now)
        end = at - estimate.first
        self._prefills.append((end - estimate.per_token * job.prefill, end))

    def record_outputs(
        self, count: int, began: float, ended: float, in_flight: int
    ) -> None:
        """Record the number of outputs of a stream within an interval."""
        if count > 0 and ended - began >= MIN_SAMPLE_SECONDS:
            self._pending.append(_Outputs(began, ended, count, in_flight))

    def _learn_pending(self, now: float) -> None:
        while self._pending and self._pending[0].ended < now - REPORT_SECONDS:
            self._learn_outputs(self._pending.popleft(), now)

    def _learn_outputs(self, outputs: _Outputs, now: float) -> None:
        seconds = outputs.ended - outputs.began
        prefill = _overlap(self._prefills, outputs.began, outputs.ended)
        cost = PRIOR_PREFILL_COST
        gap = seconds / outputs.count
        if self._estimate is not None:
            cost = self._estimate.prefill_cost
            gap = self._estimate.gap_line.at(outputs.in_flight)
        calm = (seconds - cost * prefill) / outputs.count
        calm = _clipped(calm, gap)
        share = prefill / seconds
        for lines in (self._lines, self._pool.lines):
            lines.rate.add(share, outputs.count / seconds, seconds, now)
            lines.gap.add(
                outputs.in_flight, calm, outputs.count / OUTPUTS_PER_SAMPLE, now
            )

    def describe(self, now: float) -> dict[str, object]:
        """Return the learned values with their samples and ages."""
        estimate = self.estimate(now)
        lines = self._lines
        return {
            "first_output_seconds": round(estimate.first, 4),
            "seconds_per_1000_prompt_tokens": round(1000 * estimate.per_token, 4),
            "first_output_samples": lines.first.samples,
            "first_output_age": _age(lines.first, now),
            "gap_seconds_alone": round(estimate.gap_line.at(1), 4),
            "gap_seconds_per_request": round(estimate.gap_line.slope, 5),
            "gap_factor": round(1 / (1 - estimate.prefill_cost), 3),
            "gap_samples": lines.rate.samples,
            "gap_age": _age(lines.rate, now),
        }


class Outlook(NamedTuple):
    """What is expected of a stream at an upstream, and of the streams there.

    harmed are the streams there that the placement makes late, and harm is the weight
    of these and of the stream itself if it is late. first is the time to the first
    output in seconds, and ahead are the seconds of prefill ahead of it.
    """

    objective_holds: bool
    gap_holds: bool
    harmed: tuple[Job, ...]
    harm: float
    first: float
    ahead: float

    @property
    def gaps_hold(self) -> bool:
        """Return whether all gaps there are expected to be within their targets."""
        return self.gap_holds and not self.harmed


class Wait(NamedTuple):
    """The upstreams that a request waits for, and when it is placed at the latest."""

    names: tuple[str, ...]
    until: float


def seconds_ahead(read_at: list[tuple[Job, float]], now: float) -> float:
    """Return the seconds until all prompts have been read."""
    return max(0.0, read_at[-1][1] - now) if read_at else 0.0


def weight(job: Job) -> float:
    """Return the weight of a stream: its work, less for less important tiers.

    The value of a stream isn't known. What a caller loses with a late one grows with
    what it asked for, and with the importance of its tier.
    """
    return job.work / (1 + job.rank)


def outlook(
    job: Job, tokens: int, pace: UpstreamPace, ledger: Ledger, now: float
) -> Outlook:
    """Return what is expected if a request is sent to an upstream now.

    tokens is the number of prompt tokens to compute.
    """
    return _outlook(job, tokens, pace, ledger, False, now)


def outlook_after_wait(
    job: Job, tokens: int, pace: UpstreamPace, ledger: Ledger, now: float
) -> Outlook:
    """Return what is expected once one request and all prefills there have ended."""
    return _outlook(job, tokens, pace, ledger, True, now)


def _outlook(
    job: Job,
    tokens: int,
    pace: UpstreamPace,
    ledger: Ledger,
    after_wait: bool,
    now: float,
) -> Outlook:
    estimate = pace.estimate(now)
    request = job.request
    read_at = pace.read_at(ledger, now)
    ahead = seconds_ahead(read_at, now)
    in_flight = ledger.in_flight + (not after_wait)
    adjacent = 0.0 if after_wait else ahead
    own = estimate.per_token * tokens
    first = estimate.first + ahead + own
    objective_holds = (
        request.first_by is None or now + OBJECTIVE_MARGIN * first <= request.first_by
    )
    target = request.target_interval
    gap_holds = not target or GAP_MARGIN * estimate.gap(in_flight, 0.0) <= target
    before = estimate.gap(ledger.in_flight, adjacent) * GAP_MARGIN
    after = estimate.gap(in_flight, adjacent + own) * GAP_MARGIN
    harmed = _harmed(ledger.jobs_by_id.values(), before, after)
    if read_at:
        delayed = _delayed(read_at, estimate, own, now)
        harmed += tuple([other for other in delayed if other not in harmed])
    harm = sum(weight(other) for other in harmed) if harmed else 0.0
    if not (objective_holds and gap_holds):
        harm += weight(job)
    return Outlook(objective_holds, gap_holds, harmed, harm, first, ahead)


def _harmed(jobs: Iterable[Job], before: float, after: float) -> tuple[Job, ...]:
    """Return the streams whose target lies between two gaps.

    A stream that is late already has nothing to lose.
    """
    return tuple(
        [
            job
            for job in jobs
            if before <= job.target_interval < after
            and job.target_interval
            and not job.late
        ]
    )


def _delayed(
    read_at: list[tuple[Job, float]], estimate: PaceEstimate, own: float, now: float
) -> tuple[Job, ...]:
    """Return the streams whose first output another prefill makes late.

    Its tokens are produced after its prompt has been read, beside the next prefill.
    """
    delayed = []
    for job, end in read_at:
        objective = job.request.first_by
        if objective is None or job.late or end + estimate.first < now:
            continue
        behind = read_at[-1][1] - end
        at = end + estimate.first
        before = at + estimate.lost(estimate.first, behind)
        if before <= objective < at + estimate.lost(estimate.first, behind + own):
            delayed.append(job)
    return tuple(delayed)


def wait_for_better(
    job: Job, outlooks_by_name: Mapping[str, Outlook], any_free: bool, now: float
) -> Wait | None:
    """Return which upstreams a request should wait for, None if it shouldn't.

    outlooks_by_name are those without harm after a wait, and any_free says whether an
    upstream among them is free already, so that nothing tells when its prefills have
    ended. A request waits only while its objective holds after the wait.
    """
    if job.request.first_by is None:
        return None
    latest_by_name = {
        name: job.request.first_by - OBJECTIVE_MARGIN * expected.first
        for name, expected in outlooks_by_name.items()
    }
    names = [n for n, at in latest_by_name.items() if at > now + MIN_WAIT_SECONDS]
    if not names:
        return None
    latest = max(latest_by_name[name] for name in names)
    recheck = now + (RECHECK_SECONDS if any_free else PARK_SECONDS)
    return Wait(tuple(names), min(latest, recheck))


def _rising(line: Line, prior: Line) -> Line:
    """Return a line without negative values for positive x."""
    if line.slope < 0:
        return Line(max(line.intercept, 0.0), 0.0)
    return Line(max(line.intercept, 0.0), line.slope)


def _clipped(value: float, expected: float) -> float:
    if expected <= 0:
        return max(value, 0.0)
    return min(max(value, expected / MAX_SAMPLE_RATIO), expected * MAX_SAMPLE_RATIO)


def _overlap(
    intervals: Iterable[tuple[float, float]], began: float, ended: float
) -> float:
    """Return for how long disjoint intervals overlap another one."""
    overlaps = (min(end, ended) - max(start, began) for start, end in intervals)
    return min(sum(each for each in overlaps if each > 0), ended - began)


def _age(fit: LineFit, now: float) -> float | None:
    return round(now - fit.updated_at, 1) if fit.samples else None
