"""Outlier ejection: upstreams that fail more of their requests than the others do.

Health finds an upstream that fails every request. One that answers half of them and
leaves the others without output is never unhealthy, and each of the others holds a slot
until its caller leaves.
"""

import heapq
import itertools
from collections import Counter, deque
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

WINDOW_SAMPLES = 20
"""Number of latest requests that a failure rate is measured over. With more, detection
takes longer; with fewer, a sound upstream is ejected for a few failures by chance."""

WINDOW_SECONDS = 10.0
"""Age from which an outcome doesn't count any more."""

MIN_FAILURES = 4
MIN_FAILURE_RATE = 0.2
RATIO_TO_POOL = 3.0
"""An outlier has at least MIN_FAILURES, and its failure rate exceeds MIN_FAILURE_RATE
and RATIO_TO_POOL times that of the rest of the pool."""

PRIOR_SAMPLES = 4
PRIOR_POOL_FAILURES = 2
"""Requests added to those of an upstream, none of them failed, and to those of the rest
of the pool. Without them, an upstream whose first requests failed by chance would be an
outlier where all fail alike."""

MIN_POOL_SAMPLES = 10
"""With fewer requests at the rest of the pool, its failure rate isn't known."""

DIVERSION_SECONDS = 1.0
DIVERSION_PERIOD = 3.0
"""An upstream that fails, and gets so much of the load that the rate of the others
isn't known, gets nothing for DIVERSION_SECONDS at most in each DIVERSION_PERIOD. The
others then show whether they fail alike. The fastest one gets all of a light load."""

ALIKE_RATIO = 1.5
"""Failure rates, relative to that of the rest of the pool, up to which an ejected
upstream is readmitted since all fail alike."""

DOUBTFUL_FRACTION = 0.5
"""Part of the time until it is overdue, after which a request at the others counts as
failed when an upstream is about to be ejected. Where all leave requests without output,
those of the upstream that was filled first are overdue first."""

MIN_OTHER_HOSTS_SAMPLES = 3
MAX_OTHER_HOSTS_RATE = 0.1
"""If at least so many requests of other hosts ended and at most this part of them
failed, the failures of one host are those of its path."""

FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 8.0
PROBES_TO_READMIT = 3
MAX_PROBES_TO_READMIT = 9
"""Successful probes in a row that end an ejection, for each ejection in a row and at
most. An upstream that fails half of its requests often passes three."""

FORGET_EJECTIONS_SECONDS = 30.0
"""Time without a detection after which the next ejection is as short as the first."""

SILENCE_FACTOR = 3.0
"""Multiple of the expected time to first output from which a request is overdue."""

SILENCE_SECONDS = 1.0
SILENCE_FRACTION = 0.5
MIN_SILENCE_SECONDS = 0.25
"""A request is overdue after SILENCE_SECONDS at the earliest, or after SILENCE_FRACTION
of the time after which its caller leaves, but not before MIN_SILENCE_SECONDS. Callers
of plain services leave after about a second, before SILENCE_SECONDS are over."""

PREMATURE_GAIN = 0.1
MAX_PREMATURE = 0.5
"""Part of the overdue requests that bring output after all, above which requests count
only when they end: responses without a stream bring all of their output at the end."""


def silence_seconds(expected: float, until_caller_leaves: float) -> float:
    """Return the seconds without output after which a request is overdue."""
    fraction = SILENCE_FRACTION * until_caller_leaves
    least = min(SILENCE_SECONDS, max(MIN_SILENCE_SECONDS, fraction))
    return max(least, SILENCE_FACTOR * expected)


def max_ejected(upstreams: int) -> int:
    """Return how many upstreams of a pool may be ejected at a time."""
    return max(1, upstreams // 3) if upstreams > 1 else 0


class OutlierChange(NamedTuple):
    """The ejection or readmission of an upstream, and its latest requests."""

    ejected: bool
    failure_rate: float
    samples: int


class _Sample:
    """Outcome of a request of an entry host; kept is False once it left the window."""

    __slots__ = ("at", "failed", "host", "kept")

    def __init__(self, host: str, failed: bool, at: float) -> None:
        self.host = host
        self.failed = failed
        self.at = at
        self.kept = True


class _Pending:
    """A request at an upstream; sample is set once it has an outcome."""

    __slots__ = ("doubtful_at", "due_at", "host", "overdue", "sample")

    def __init__(self, host: str) -> None:
        self.host = host
        self.doubtful_at = float("inf")
        self.due_at = float("inf")
        self.overdue = False
        self.sample: _Sample | None = None


class OutlierState:
    """Outcomes of an upstream's latest requests, and its ejection.

    A request has one outcome, which is updated: it succeeds with its first output or a
    whole response, and fails when it is overdue or its response is lost. An ejected
    upstream gets no request until ejected_until, and then one at a time as a probe.
    Requests that weren't recorded by record_grant are ignored.
    """

    def __init__(self) -> None:
        self.ejected = False
        self.ejected_until = 0.0
        self.ejections = 0
        self._diverted_until = float("-inf")
        self._change: OutlierChange | None = None
        self._readmitted_at = float("-inf")
        self._probe: str | None = None
        self._probe_successes = 0
        self._failed_probe: str | None = None
        self._samples: deque[_Sample] = deque()
        self._failures = 0
        self._pending_by_id: dict[str, _Pending] = {}

    def allows_request(self, now: float) -> bool:
        """Return whether the upstream may get one more request."""
        if not self.ejected:
            return now >= self._diverted_until
        return now >= self.ejected_until and self._probe is None

    def wait_seconds(self, now: float) -> float:
        """Return the seconds until the upstream may get a request again."""
        until = self.ejected_until if self.ejected else self._diverted_until
        return max(0.0, until - now)

    def counts(self, now: float) -> tuple[int, int]:
        """Return the numbers of failures and of all outcomes in the window."""
        samples = self._samples
        while samples and samples[0].at < now - WINDOW_SECONDS:
            self._drop_oldest()
        return self._failures, len(samples)

    def failure_rate(self, now: float) -> float:
        """Return the part of the latest requests that failed."""
        failures, samples = self.counts(now)
        return failures / samples if samples else 0.0

    def age(self, now: float) -> float | None:
        """Return the seconds since the newest outcome, None without any."""
        return now - self._samples[-1].at if self._samples else None

    def record_grant(self, request_id: str, host: str) -> None:
        """Record a request that is granted to the upstream."""
        self._pending_by_id[request_id] = _Pending(host)
        if not self.ejected:
            return
        self._probe = request_id
        if self._failed_probe is not None:
            self._failed_probe = None
            self._probe_successes = 0

    def record_start(self, request_id: str, now: float, silence: float) -> bool:
        """Record that a request is sent, and after how many seconds it is overdue.

        Return False if it isn't known.
        """
        pending = self._pending_by_id.get(request_id)
        if pending is None:
            return False
        pending.doubtful_at = now + DOUBTFUL_FRACTION * silence
        pending.due_at = now + silence
        return True

    def doubtful(self, now: float) -> int:
        """Return how many requests may become overdue soon."""
        return sum(
            one.doubtful_at <= now and one.sample is None
            for one in self._pending_by_id.values()
        )

    def mark_overdue(self, request_id: str, now: float) -> bool:
        """Mark a request that is overdue; return whether it is, without an outcome."""
        pending = self._pending_by_id.get(request_id)
        if pending is None or pending.sample is not None or now < pending.due_at:
            return False
        pending.overdue = True
        return True

    def record_success(self, request_id: str, now: float) -> bool:
        """Record output or a whole response; return whether it had been overdue."""
        pending = self._pending_by_id.get(request_id)
        if pending is None:
            return False
        was_overdue, pending.overdue = pending.overdue, False
        pending.due_at = float("inf")
        self._record(pending, False, now)
        if request_id == self._failed_probe:
            # It was overdue, which made the ejection longer, but brought output.
            self._failed_probe = None
            self.ejections -= 1
            self.ejected_until = now
            self._record_probe_success(now)
        elif request_id == self._probe:
            self._probe = None
            self._record_probe_success(now)
        return was_overdue

    def record_failure(self, request_id: str, now: float) -> None:
        """Record that a request is overdue, or that its response failed or was lost."""
        pending = self._pending_by_id.get(request_id)
        if pending is None:
            return
        self._record(pending, True, now)
        if request_id == self._probe:
            successes = self._probe_successes
            self.eject(now)
            # It may still bring output, which shows that it was only slow.
            self._failed_probe = request_id
            self._probe_successes = successes

    def forget(self, request_id: str) -> bool:
        """Forget a request that left the upstream; return whether it was overdue."""
        pending = self._pending_by_id.pop(request_id, None)
        if request_id == self._probe:
            self._probe = None
        if request_id == self._failed_probe:
            self._failed_probe = None
            self._probe_successes = 0
        return pending is not None and pending.overdue

    def eject(self, now: float) -> None:
        """Eject the upstream, each time for twice as long."""
        if now - self._readmitted_at > FORGET_EJECTIONS_SECONDS and not self.ejected:
            self.ejections = 0
        seconds = FIRST_EJECTION_SECONDS * 2.0**self.ejections
        self.ejected = True
        self.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        self.ejections += 1
        self._probe = self._failed_probe = None
        self._probe_successes = 0
        self._change = self._new_change(now)

    def divert(self, now: float) -> None:
        """Leave the next requests to the other upstreams, unless it just did."""
        if now >= self._diverted_until - DIVERSION_SECONDS + DIVERSION_PERIOD:
            self._diverted_until = now + DIVERSION_SECONDS

    def end_diversion(self, now: float) -> None:
        """Let the upstream get requests again."""
        self._diverted_until = min(self._diverted_until, now)

    def readmit(self, now: float) -> None:
        """Use the upstream as before, without the outcomes of its earlier requests."""
        self.ejected = False
        self._readmitted_at = now
        self._probe = self._failed_probe = None
        self._change = self._new_change(now)
        self._pending_by_id.clear()
        self._samples.clear()
        self._failures = 0

    def take_change(self) -> OutlierChange | None:
        """Return its latest ejection or readmission since the last call."""
        change, self._change = self._change, None
        return change

    def fails_at_one_host(self) -> bool:
        """Return whether one entry host has the failures, and others reach it."""
        failures_by_host = Counter(one.host for one in self._samples if one.failed)
        if not failures_by_host:
            return False
        ((worst, _),) = failures_by_host.most_common(1)
        others = [one.failed for one in self._samples if one.host != worst]
        if len(others) < MIN_OTHER_HOSTS_SAMPLES:
            return False
        return sum(others) <= MAX_OTHER_HOSTS_RATE * len(others)

    def _new_change(self, now: float) -> OutlierChange:
        failures, samples = self.counts(now)
        return OutlierChange(self.ejected, failures / max(1, samples), samples)

    def _record_probe_success(self, now: float) -> None:
        self._probe_successes += 1
        needed = min(PROBES_TO_READMIT * self.ejections, MAX_PROBES_TO_READMIT)
        if self._probe_successes >= needed:
            self.readmit(now)

    def _record(self, pending: _Pending, failed: bool, now: float) -> None:
        """Set the outcome of a request, which replaces its earlier one."""
        sample = pending.sample
        if sample is not None and sample.failed is failed:
            return
        if sample is not None and sample.kept:
            sample.failed = failed
            self._failures += 1 if failed else -1
            return
        pending.sample = sample = _Sample(pending.host, failed, now)
        self._samples.append(sample)
        self._failures += failed
        if len(self._samples) > WINDOW_SAMPLES:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        sample = self._samples.popleft()
        sample.kept = False
        self._failures -= sample.failed


class OutlierDetector:
    """Counts overdue requests of a pool, and ejects its outliers.

    A request without output counts once it is overdue, not only when it ends.
    pool_failure_rate is that of all upstreams that aren't ejected.
    """

    def __init__(self) -> None:
        self.pool_failure_rate = 0.0
        self._due: list[tuple[float, int, OutlierState, str]] = []
        self._sequence = itertools.count()
        self._premature = 0.0

    def record_start(
        self, state: OutlierState, request_id: str, now: float, silence: float
    ) -> None:
        """Record that a request is sent, and after how many seconds it is overdue."""
        if state.record_start(request_id, now, silence):
            entry = (now + silence, next(self._sequence), state, request_id)
            heapq.heappush(self._due, entry)

    def record_success(self, state: OutlierState, request_id: str, now: float) -> None:
        """Record the first output or the whole response of a request."""
        if state.record_success(request_id, now):
            self._learn_premature(1.0)

    def record_end(self, state: OutlierState, request_id: str, now: float) -> None:
        """Record that a request whose caller left has ended without output."""
        if state.mark_overdue(request_id, now):
            state.record_failure(request_id, now)

    def forget(self, state: OutlierState, request_id: str) -> None:
        """Forget a request that has left its upstream."""
        if state.forget(request_id):
            self._learn_premature(0.0)

    def count_overdue(self, now: float) -> None:
        """Count the requests that have become overdue, each at most once."""
        due = self._due
        while due and due[0][0] <= now:
            _, _, state, request_id = heapq.heappop(due)
            overdue = state.mark_overdue(request_id, now)
            if overdue and self._premature <= MAX_PREMATURE:
                state.record_failure(request_id, now)

    def review(
        self,
        states_by_name: Mapping[str, OutlierState],
        groups: Sequence[Collection[str]],
        now: float,
    ) -> dict[str, OutlierChange]:
        """Eject outliers; return all changes since the last call, by upstream.

        groups are the sets of upstreams that requests may use. None of them is left
        without an upstream that isn't ejected.
        """
        self.count_overdue(now)
        ejected: list[str] = []
        suspects: list[_Suspect] = []
        pool = _Counts(0, 0)
        for name, state in states_by_name.items():
            counts = _Counts(*state.counts(now))
            if state.ejected:
                ejected.append(name)
                continue
            pool = pool.plus(counts)
            rate = counts.failures / (counts.samples + PRIOR_SAMPLES)
            if counts.failures >= MIN_FAILURES and rate > MIN_FAILURE_RATE:
                suspects.append(_Suspect(rate, name, counts))
        self.pool_failure_rate = pool.failures / max(1, pool.samples)
        allowed = max_ejected(len(states_by_name))
        if ejected:
            self._readmit_needed(states_by_name, ejected, groups, allowed, now)
            self._readmit_alike(states_by_name, ejected, pool, now)
        left = allowed - sum(states_by_name[name].ejected for name in ejected)
        others = len(states_by_name) - len(ejected) - 1
        left_out = min(allowed, others - 2)
        if any(one.outlier for one in _outliers(suspects, pool, left_out)):
            suspects, pool = _with_doubtful(suspects, pool, states_by_name, now)
        for suspect in _outliers(suspects, pool, left_out):
            state = states_by_name[suspect.name]
            if suspect.compared:
                state.end_diversion(now)
            if left <= 0 or not suspect.outlier or state.fails_at_one_host():
                continue
            if _is_only_one(suspect.name, states_by_name, groups):
                continue
            left -= 1
            if suspect.compared:
                state.eject(now)
            else:
                state.divert(now)
        return {
            name: change
            for name, state in states_by_name.items()
            if (change := state.take_change()) is not None
        }

    def _readmit_needed(
        self,
        states_by_name: Mapping[str, OutlierState],
        ejected: list[str],
        groups: Sequence[Collection[str]],
        allowed: int,
        now: float,
    ) -> None:
        """Readmit the best of the ejected where too few others are left."""
        best_first = sorted(
            ejected, key=lambda name: states_by_name[name].failure_rate(now)
        )
        for name in best_first[: max(0, len(ejected) - allowed)]:
            states_by_name[name].readmit(now)
        for group in groups:
            if _any_used(group, states_by_name):
                continue
            for name in best_first:
                if name in group:
                    states_by_name[name].readmit(now)
                    break

    def _readmit_alike(
        self,
        states_by_name: Mapping[str, OutlierState],
        ejected: list[str],
        pool: "_Counts",
        now: float,
    ) -> None:
        """Readmit the ejected whose failure rate is about that of the others."""
        if pool.samples < MIN_POOL_SAMPLES:
            return
        if self.pool_failure_rate <= MIN_FAILURE_RATE:
            return
        for name in ejected:
            state = states_by_name[name]
            failures, samples = state.counts(now)
            alike = ALIKE_RATIO * self.pool_failure_rate
            if state.ejected and samples and failures <= alike * samples:
                state.readmit(now)

    def _learn_premature(self, premature: float) -> None:
        self._premature += PREMATURE_GAIN * (premature - self._premature)


class _Counts(NamedTuple):
    """Failures among a number of outcomes."""

    failures: int
    samples: int

    def plus(self, other: "_Counts", sign: int = 1) -> "_Counts":
        return _Counts(
            self.failures + sign * other.failures, self.samples + sign * other.samples
        )


class _Suspect(NamedTuple):
    """An upstream with many failures.

    compared says whether the rest of the pool has enough requests to compare with.
    """

    rate: float
    name: str
    counts: _Counts
    outlier: bool = False
    compared: bool = True


def _with_doubtful(
    suspects: list[_Suspect],
    pool: _Counts,
    states_by_name: Mapping[str, OutlierState],
    now: float,
) -> tuple[list[_Suspect], _Counts]:
    """Count doubtful requests as failures, except in the rates of the suspects."""
    counts_by_name = {
        name: _Counts(doubtful, doubtful)
        for name, state in states_by_name.items()
        if not state.ejected and (doubtful := state.doubtful(now))
    }
    for counts in counts_by_name.values():
        pool = pool.plus(counts)
    none = _Counts(0, 0)
    suspects = [
        one._replace(counts=one.counts.plus(counts_by_name.get(one.name, none)))
        for one in suspects
    ]
    return suspects, pool


def _outliers(suspects: list[_Suspect], pool: _Counts, left_out: int) -> list[_Suspect]:
    """Return suspects, the worst first, and whether each is an outlier.

    It is compared with the rest of the pool without the worst left_out of the other
    suspects. With them, a third of a pool that fails half of its requests would raise
    the rate so much that none of them is an outlier.
    """
    suspects = sorted(suspects, reverse=True)
    worst = suspects[: max(0, left_out) + 1]
    rest_of_all = pool
    for suspect in worst:
        rest_of_all = rest_of_all.plus(suspect.counts, -1)
    compared = []
    for number, suspect in enumerate(suspects):
        rest = rest_of_all
        if number >= len(worst):
            rest = rest.plus(worst[-1].counts).plus(suspect.counts, -1)
        compared.append(_compare(suspect, rest))
    return compared


def _compare(suspect: _Suspect, rest: _Counts) -> _Suspect:
    full = suspect.counts.samples >= WINDOW_SAMPLES
    if full and rest.samples < MIN_POOL_SAMPLES:
        rate = rest.failures / max(1, rest.samples)
        outlier = suspect.rate > RATIO_TO_POOL * rate
        return suspect._replace(outlier=outlier, compared=False)
    rate = (rest.failures + PRIOR_POOL_FAILURES) / (rest.samples + PRIOR_SAMPLES)
    return suspect._replace(outlier=suspect.rate > RATIO_TO_POOL * rate)


def _any_used(
    group: Collection[str], states_by_name: Mapping[str, OutlierState], but: str = ""
) -> bool:
    """Return whether a group has an upstream that isn't ejected, other than one."""
    for name in group:
        state = states_by_name.get(name)
        if name != but and state is not None and not state.ejected:
            return True
    return False


def _is_only_one(
    name: str,
    states_by_name: Mapping[str, OutlierState],
    groups: Sequence[Collection[str]],
) -> bool:
    """Return whether an upstream is the only one left in a group of upstreams."""
    return any(
        name in group and not _any_used(group, states_by_name, name) for group in groups
    )
