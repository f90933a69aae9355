"""Learned limit of the requests in flight at an upstream, by its throughput."""

import math
from collections.abc import Sequence
from typing import NamedTuple

from bitterntiller.components.dispatch.concurrency_samples import (
    Sample,
    SampleGroup,
    SampleWindow,
    is_near,
    standard_error,
)

MIN_SAMPLES = 4
MIN_RAISE_SAMPLES = 3
"""Samples that both sides of a comparison need. A trial of a higher limit costs a third
of the throughput of a contended upstream for as long as it lasts."""

CONFIDENCE = 1.3
"""Standard errors by which a comparison has to differ from its threshold: one decision
in ten is wrong, and the next trial corrects it."""

LOWER_GAIN = 0.1
"""Gain of throughput for which the limit is lowered, relative to the change of the
limit: constant throughput doesn't lower it."""

RAISE_GAIN = 0.2
"""Gain of throughput for which the limit is raised, relative to the change."""

SUSPICIOUS_RATIO = 3.0
"""Seconds per expected second, relative to the usual ones of the upstream, from which a
lower limit is tried at once. Shared and slow machines take up to 2.8 times as long."""

LASTING_RATIO = 1.8
LASTING_SECONDS = 2.0
"""Ratio from which a lower limit is tried once half of the samples have exceeded it for
LASTING_SECONDS, in which the speed of a shared machine changes three times."""

LATE_FRACTION = 0.5
"""Fraction of the requests over their objective from which lower limits are preferred
at the same throughput."""

MIN_PAUSE = 0.4
RAISE_PAUSE = 2.6
"""Maximum time between two trials of a higher limit. Three trials reach six slots from
two, so that a recovered upstream is used fully within 4 s."""

LOWER_PAUSE = 4.0
MAX_LOWER_PAUSE = 32.0
"""Time between two trials of a lower limit without suspicion, doubled after each one
that gained nothing."""

LOWER_SECONDS = 1.8
"""Minimum duration of a trial of a lower limit without suspicion: three of the 0.6 s
after which the speed of a shared machine changes."""

EXCESS_RATIO = 1.3
CALM_PAUSE = 16.0
"""Time that is added to the one between two trials of a lower limit while requests take
less than EXCESS_RATIO times as long as usual: little can be gained then. The trials are
needed all the same, since an upstream may have been contended from the first request
on, or all upstreams of the pool."""

TRIAL_SECONDS = 1.5
TRIAL_CYCLES = 4.0
"""Maximum duration of a trial in seconds, or in mean times of a request if longer."""

REACH_SECONDS = 4.0
"""Maximum time until the number in flight comes to the limit that is tried."""

EVENT_SECONDS = 1.0
"""Minimum time between two events of an upstream."""


class LimitChange(NamedTuple):
    """A change of the learned limit; samples and age in seconds are of its basis."""

    old: int
    new: int
    samples: int
    age: float


class _Trial(NamedTuple):
    """A limit that is tried since when, until when at most, and for how long at least.

    lower says whether it is below the learned one.

    reached says whether the number in flight has come to the limit. An upstream that is
    contended takes many times its usual time to end what it runs. sudden says that the
    requests that ran when it began were overdue; those have run partly before the
    change, so that they take less time than later ones would.
    """

    limit: int
    lower: bool
    began_at: float
    until: float
    least_seconds: float = 0.0
    reached: bool = False
    sudden: bool = False


class LearnedLimit:
    """Number in flight at which an upstream gets most work done.

    By Little's law the throughput at a level of concurrency is the number in flight
    over the seconds per expected second. While the limit is in use, another limit is
    tried from time to time, for as long as it takes to compare the throughput of both,
    and kept if it gains. Latency alone never moves the limit: it can't distinguish a
    slow upstream from a contended one. It only decides when a lower limit is tried, and
    which; not even that without suspects, for engines: their latency grows with the
    prompts and outputs that they work on.
    """

    def __init__(self, suspects: bool = True) -> None:
        self._suspects = suspects
        self._limit: int | None = None
        self._slots = 0
        self._samples = SampleWindow()
        self._trial: _Trial | None = None
        self._next_raise_at = -math.inf
        self._next_lower_at = math.inf
        self._raise_pause = MIN_PAUSE
        self._lower_pause = LOWER_PAUSE
        self._raise_step = 1
        self._suspected_ratio = 1.0
        self._reported: int | None = None
        self._reported_at = -math.inf

    def limit(self, slots: int) -> int:
        """Return the limit in effect, that of a trial if there is one."""
        wanted = self._trial.limit if self._trial else self._limit
        return max(1, slots if wanted is None else min(wanted, slots))

    def learned(self, slots: int) -> int:
        """Return the learned limit, without any trial."""
        return max(1, slots if self._limit is None else min(self._limit, slots))

    @property
    def samples(self) -> int:
        """Return the number of samples in use."""
        return len(self._samples)

    def age(self, now: float) -> float | None:
        """Return the seconds since the last sample, None without any."""
        return self._samples.age(now)

    def learn(self, sample: Sample, in_flight: float, slots: int) -> None:
        """Learn from a request that ended; in_flight is the number with it."""
        if sample.seconds <= 0 or sample.expected <= 0:
            return
        self._set_slots(slots, sample.at)
        self._samples.add(sample)
        self._review(in_flight, (), sample.at)

    def review(
        self,
        in_flight: float,
        slots: int,
        running_ratios: list[float],
        now: float,
    ) -> None:
        """Begin or end a trial if one is due.

        running_ratios are the elapsed over the expected seconds of the requests that
        run. An upstream that has just become contended ends none for a while.
        """
        self._set_slots(slots, now)
        self._review(in_flight, running_ratios, now)

    def take_change(self, slots: int, now: float) -> LimitChange | None:
        """Return the change since the last one returned, at most one per second."""
        new = self.learned(slots)
        if self._reported is None:
            self._reported = slots
        if new == self._reported or now - self._reported_at < EVENT_SECONDS:
            return None
        change = LimitChange(self._reported, new, self.samples, self.age(now) or 0.0)
        self._reported = new
        self._reported_at = now
        return change

    def _set_slots(self, slots: int, now: float) -> None:
        slots = max(1, slots)
        if slots == self._slots:
            return
        # A limit that the announced slots set is raised with them; a learned one isn't.
        if self._limit is None or self._limit >= self._slots:
            self._limit = slots
        self._limit = min(self._limit, slots)
        self._slots = slots
        self._trial = None
        self._next_lower_at = now + LOWER_PAUSE

    def _review(
        self, in_flight: float, running_ratios: Sequence[float], now: float
    ) -> None:
        self._samples.expire(now)
        if self._limit is None:
            return
        if self._trial is not None:
            self._decide(in_flight, now)
        limit = self._trial.limit if self._trial else self._limit
        if in_flight + 0.5 < limit:
            return
        overdue = self._overdue_ratio(running_ratios)
        if overdue is not None and limit > 1:
            goal = _knee(self._limit, overdue)
            if goal < limit:
                # Samples from before the slowdown would speak for the old limit.
                self._samples.clear()
                self._begin(goal, now, sudden=True)
            return
        if self._trial is not None:
            return
        lasting = self._lasting_ratio(now)
        if lasting is not None and limit > 1:
            self._begin(_knee(limit, lasting), now)
            return
        usual = self._samples.group(self._limit, now)
        if usual.count < MIN_SAMPLES:
            return
        ratio = math.exp(usual.log_ratio)
        self._suspected_ratio = max(1.0, min(self._suspected_ratio, ratio))
        if self._limit < self._slots and now >= self._next_raise_at:
            self._begin(min(self._limit + self._raise_step, self._slots), now)
            return
        excess = ratio > EXCESS_RATIO or usual.late > LATE_FRACTION
        excess = excess and self._suspects
        due_at = self._next_lower_at + (0.0 if excess else CALM_PAUSE)
        if self._limit > 1 and now >= due_at:
            goal = self._limit - max(1, self._limit // 6)
            self._begin(goal, now, LOWER_SECONDS)

    def _overdue_ratio(self, running_ratios: Sequence[float]) -> float | None:
        """Return how overdue the requests are that run, None if they aren't."""
        if not self._suspects or len(running_ratios) < 2:
            return None
        # The second highest: one request may be unusually large.
        ratio = sorted(running_ratios)[-2] / self._suspected_ratio
        return ratio if ratio >= SUSPICIOUS_RATIO else None

    def _lasting_ratio(self, now: float) -> float | None:
        """Return how many times the usual time requests have taken for a while."""
        if not self._suspects or self._limit is None:
            return None
        found = self._samples.lower_half_ratio(
            self._limit, now, 2 * MIN_SAMPLES, LASTING_SECONDS
        )
        if found is None:
            return None
        ratio = found / self._suspected_ratio
        return ratio if ratio >= LASTING_RATIO else None

    def _begin(
        self,
        goal: int,
        now: float,
        least_seconds: float = 0.0,
        sudden: bool = False,
    ) -> None:
        until = now + REACH_SECONDS
        lower = self._limit is not None and goal < self._limit
        self._trial = _Trial(goal, lower, now, until, least_seconds, sudden=sudden)

    def _decide(self, in_flight: float, now: float) -> None:
        """End the trial if the throughput of both limits can be compared."""
        trial, limit = self._trial, self._limit
        assert trial is not None and limit is not None
        if not trial.reached and is_near(in_flight, trial.limit, limit):
            seconds = max(
                TRIAL_SECONDS, TRIAL_CYCLES * self._samples.usual_seconds(trial.limit)
            )
            seconds = max(seconds, 2 * trial.least_seconds)
            trial = self._trial = trial._replace(until=now + seconds, reached=True)
        # Earlier samples of the limit may be from before a change.
        tried = self._samples.group(trial.limit, now, limit, trial.began_at)
        usual = self._samples.group(limit, now, trial.limit)
        verdict = _compare(trial, tried, usual, now)
        if trial.sudden and tried.count >= MIN_SAMPLES:
            ratio = math.exp(tried.log_ratio) / self._suspected_ratio
            if ratio <= EXCESS_RATIO:
                # An upstream that has become slow is slow at a lower limit too.
                verdict = True
            elif ratio > LASTING_RATIO and not verdict and trial.limit > 1:
                # Contended at this limit too, or slow: a lower one will tell.
                self._begin(_knee(trial.limit, ratio), now, sudden=True)
                return
            elif verdict is False:
                self._suspected_ratio *= max(1.0, ratio)
        if verdict is None and now < trial.until:
            return
        self._trial = None
        if trial.limit > limit:
            self._end_raise(trial, verdict, now)
        else:
            self._end_lower(trial, verdict, now)

    def _end_raise(self, trial: _Trial, gained: bool | None, now: float) -> None:
        if gained:
            self._limit = trial.limit
            self._raise_step *= 2
            self._raise_pause = MIN_PAUSE
            self._next_raise_at = now
        else:
            self._raise_step = 1
            self._raise_pause = min(3 * self._raise_pause, RAISE_PAUSE)
            self._next_raise_at = now + self._raise_pause

    def _end_lower(self, trial: _Trial, gained: bool | None, now: float) -> None:
        if gained:
            self._limit = trial.limit
            self._lower_pause = LOWER_PAUSE
            suspected = not trial.least_seconds
            self._next_lower_at = now + (MIN_PAUSE if suspected else LOWER_PAUSE)
            self._raise_step = 1
            self._raise_pause = MIN_PAUSE
            self._next_raise_at = now + self._raise_pause
        else:
            self._next_lower_at = now + self._lower_pause
            self._lower_pause = min(2 * self._lower_pause, MAX_LOWER_PAUSE)
        if gained is None or (trial.sudden and not gained):
            return
        # Requests that take as long at the better limit are usual from now on.
        ratio = math.exp(self._samples.group(self._limit or 1, now).log_ratio)
        self._suspected_ratio = max(1.0, ratio)


def _knee(limit: int, ratio: float) -> int:
    """Return where contention begins if time grows with the square beyond it."""
    return min(max(1, round(limit / math.sqrt(ratio))), limit - 1)


def _compare(
    trial: _Trial, tried: SampleGroup, usual: SampleGroup, now: float
) -> bool | None:
    """Return whether the limit of a trial is better, None while that isn't known."""
    verdict = None
    needed = MIN_SAMPLES if trial.lower else MIN_RAISE_SAMPLES
    if min(tried.count, usual.count) < needed:
        return None
    change = tried.log_in_flight - usual.log_in_flight
    gain = change - (tried.log_ratio - usual.log_ratio)
    excess = gain - _wanted_gain(tried, usual) * abs(change)
    if abs(excess) >= CONFIDENCE * standard_error(tried, usual):
        verdict = excess > 0
    if verdict is None and now >= trial.until and usual.late > LATE_FRACTION:
        # Nothing speaks against the lower limit, and it ends requests in time.
        verdict = trial.lower
    if verdict and now - tried.first_at < trial.least_seconds:
        return None
    return verdict


def _wanted_gain(tried: SampleGroup, usual: SampleGroup) -> float:
    """Return the gain for which a limit is changed, relative to its change.

    If most requests take longer than their objective allows at the higher limit, the
    lower one is preferred at the same throughput.
    """
    higher = max(tried, usual, key=lambda group: group.log_in_flight)
    late = higher.late > LATE_FRACTION
    if tried is higher:
        return math.inf if late else RAISE_GAIN
    return -LOWER_GAIN if late else LOWER_GAIN
