"""The owner's accounting of the outstanding work at one upstream."""

import math
from collections import OrderedDict, deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import UpstreamLoad
from bitterntiller.components.dispatch.speed import LONG, Speed

HISTORY_SECONDS = 10.0
HISTORY_LENGTH = 512
REPORT_SLACK_SECONDS = 0.2
FOREIGN_GAIN = 0.5
FOREIGN_DECAY_SECONDS = 2.0
"""Time constant of the decay of foreign requests between reports: the duration of a
typical request, and many times the interval between reports of an upstream in use."""

NEEDS_CACHE_SECONDS = 0.2
TRANSIT_SECONDS = 0.1


class Need(NamedTuple):
    """Output tokens that a running request still needs, and the seconds left."""

    tokens: float
    seconds: float


class Ledger:
    """Counts the requests at an upstream, their outstanding prefill and their memory.

    Memory is in tokens. Foreign requests, which this owner didn't send, are estimated
    from the load reports of the upstream.
    """

    def __init__(self) -> None:
        self.jobs_by_id: dict[str, Job] = {}
        self.prefilling_by_id: OrderedDict[str, Job] = OrderedDict()
        self.kv_tokens = 0
        self.long_jobs = 0
        self._foreign = 0.0
        self._foreign_at = 0.0
        self._load_seconds = 0.0
        self._counted = 0
        self._counted_at = 0.0
        self.head_started_at = 0.0
        self._needs_by_rank: dict[int, Need] = {}
        self._needs_at = float("-inf")
        self._history: deque[tuple[float, int]] = deque(maxlen=HISTORY_LENGTH)

    @property
    def in_flight(self) -> int:
        """Return the number of own requests at the upstream or on their way to it."""
        return len(self.jobs_by_id)

    def decoding(self) -> list[Job]:
        """Return the requests that have brought a first output."""
        prefilling = self.prefilling_by_id
        return [job for key, job in self.jobs_by_id.items() if key not in prefilling]

    def add(self, job: Job, prefilled: bool, now: float) -> None:
        """Count a request; prefilled is True if its first token was received."""
        request_id = job.request.request_id
        job.load_at_start = self.load_seconds(now)
        self.jobs_by_id[request_id] = job
        self.kv_tokens += job.kv_tokens
        self.long_jobs += job.kind == LONG
        self._record_in_flight(now)
        if prefilled:
            return
        if not self.prefilling_by_id:
            self.head_started_at = now
        self.prefilling_by_id[request_id] = job

    def remove(self, job: Job, now: float) -> None:
        """Stop counting a request."""
        request_id = job.request.request_id
        if self.jobs_by_id.pop(request_id, None) is None:
            return
        self.kv_tokens -= job.kv_tokens
        self.long_jobs -= job.kind == LONG
        self._record_in_flight(now)
        self._end_prefill(request_id, now)

    def finish_prefill(self, job: Job, now: float) -> float | None:
        """Record the end of a prefill.

        Return its duration if it was the oldest one, which ran alone since the upstream
        prefills one request at a time; None otherwise.
        """
        request_id = job.request.request_id
        if request_id not in self.prefilling_by_id:
            return None
        began = self.head_started_at
        at_head = next(iter(self.prefilling_by_id)) == request_id
        self._end_prefill(request_id, now)
        return now - began if at_head else None

    def prefill_backlog(self, speed: Speed, now: float) -> float:
        """Return the expected seconds until all outstanding prefill is done."""
        if not self.prefilling_by_id:
            return 0.0
        jobs = iter(self.prefilling_by_id.values())
        head = next(jobs)
        expected = speed.prefill_seconds(head.prefill, head.kind)
        left = expected - (now - self.head_started_at)
        # An overdue prefill isn't done. At least a tenth of its elapsed time is assumed
        # to remain, or the upstream would look idle while the prefill hangs.
        seconds = max(left, 0.1 * (now - self.head_started_at))
        for job in jobs:
            seconds += speed.prefill_seconds(job.prefill, job.kind)
        return seconds

    def tightest_needs(self, best: float, now: float) -> dict[int, Need]:
        """Return the tightest need of running work by tier rank.

        best is the upstream's best seconds per token. Work that couldn't end in time
        even at that speed is left out, since nothing is gained by protecting it.
        """
        if now - self._needs_at < NEEDS_CACHE_SECONDS:
            return self._needs_by_rank
        self._needs_at = now
        needs: dict[int, Need] = {}
        for job in self.jobs_by_id.values():
            stated = job.request.output_tokens
            tokens = max(
                job.expected_output - job.tokens_seen,
                0.25 * (stated - job.tokens_seen),
                1.0,
            )
            seconds = job.request.deadline - now - TRANSIT_SECONDS
            if seconds < best * tokens:
                continue
            known = needs.get(job.rank)
            if known is None or seconds * known.tokens < known.seconds * tokens:
                needs[job.rank] = Need(tokens, seconds)
        self._needs_by_rank = needs
        return needs

    @contextmanager
    def unchanged(self) -> Iterator[None]:
        """Restore the needs that are kept between calls, after a mere evaluation."""
        kept = (self._needs_by_rank, self._needs_at)
        try:
            yield
        finally:
            self._needs_by_rank, self._needs_at = kept

    def apply_load_report(self, load: UpstreamLoad, now: float) -> None:
        """Update the estimate of foreign requests from a load report.

        The report includes this owner's requests at the time of the measurement; only
        the excess is foreign. Some requests were in transit around that time, so the
        highest own count within REPORT_SLACK_SECONDS is subtracted.
        """
        own = self._highest_in_flight(load.measured_at)
        if own is None:
            return
        excess = max(0, load.running + load.waiting - own)
        known = self.foreign_requests(now)
        self._foreign = known + FOREIGN_GAIN * (excess - known)
        self._foreign_at = now

    def foreign_requests(self, now: float) -> float:
        """Return the estimated number of foreign requests.

        The estimate decays. Reports arrive with responses, and an upstream whose slots
        all seem taken by foreign requests gets none to respond to: without the decay it
        would stay idle forever.
        """
        return self._foreign * math.exp(
            (self._foreign_at - now) / FOREIGN_DECAY_SECONDS
        )

    def load_seconds(self, now: float) -> float:
        """Return the integral over time of the requests in flight, foreign ones too."""
        count = self._counted + self.foreign_requests(now)
        return self._load_seconds + count * (now - self._counted_at)

    def clear(self) -> None:
        """Reset all counts after a restart of the upstream, which lost its requests."""
        self.jobs_by_id.clear()
        self.prefilling_by_id.clear()
        self._history.clear()
        self.kv_tokens = 0
        self.long_jobs = 0
        self._foreign = 0.0
        self._counted = 0

    def _end_prefill(self, request_id: str, now: float) -> None:
        if request_id not in self.prefilling_by_id:
            return
        if next(iter(self.prefilling_by_id)) == request_id:
            self.head_started_at = now
        del self.prefilling_by_id[request_id]

    def _record_in_flight(self, now: float) -> None:
        self._load_seconds = self.load_seconds(now)
        self._counted = len(self.jobs_by_id)
        self._counted_at = now
        self._history.append((now, len(self.jobs_by_id)))
        while self._history[0][0] < now - HISTORY_SECONDS:
            self._history.popleft()

    def _highest_in_flight(self, at: float) -> int | None:
        """Return the highest own count around a time, or None if it isn't known."""
        if not self._history or self._history[0][0] > at:
            return None
        highest = 0
        for when, count in reversed(self._history):
            if when > at + REPORT_SLACK_SECONDS:
                continue
            highest = max(highest, count)
            if when < at - REPORT_SLACK_SECONDS:
                break
        return highest
