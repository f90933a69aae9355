"""A model of an upstream: continuous batching without priorities."""

import heapq
from collections import OrderedDict
from collections.abc import Callable

from bench.arrivals import prefix_tokens
from bench.cache import PrefixCache
from bench.models import OfferedRequest, UpstreamProfile

CHUNK_TOKENS = 512
"""Prompt tokens of one prefill chunk; each decode step computes one chunk."""

NEVER = float("inf")
EPSILON = 1e-9


class Job:
    """One request at an upstream.

    computed is the number of prompt tokens whose prefill was done, or the units of work
    started by a plain service. recomputed is how many of these tokens some engine of
    the pool had computed before.
    """

    __slots__ = (
        "cached",
        "computed",
        "ended",
        "plain",
        "prefill_left",
        "recomputed",
        "request",
        "request_id",
        "start_step",
        "state",
        "target",
    )

    def __init__(self, request_id: str, request: OfferedRequest, plain: bool) -> None:
        self.request_id = request_id
        self.request = request
        self.plain = plain
        self.state = "waiting"
        self.cached = 0
        self.recomputed = 0
        self.computed = 0.0
        self.prefill_left = 0.0
        self.start_step = 0.0
        self.target = 0.0


class UpstreamModel:
    """Admits jobs first come, first served, into a batch of limited size.

    Prefill is done for one job at a time, in chunks that lengthen the decode steps.
    Every decoding job gets one token per step, so a single step counter gives the
    progress of all of them. Counter and prefill advance linearly between events.
    """

    def __init__(
        self,
        profile: UpstreamProfile,
        on_first_token: Callable[[Job, float], None],
        on_finished: Callable[[Job, float], None],
        computed_prefixes: set[int],
    ) -> None:
        self.profile = profile
        self.cache = PrefixCache(profile.cache_tokens)
        self.speed = 1.0
        self.kv_used = 0
        self.jobs_by_id: dict[str, Job] = {}
        self._on_first_token = on_first_token
        self._on_finished = on_finished
        self._computed_prefixes = computed_prefixes
        self._waiting: OrderedDict[str, Job] = OrderedDict()
        self._prefilling: OrderedDict[str, Job] = OrderedDict()
        self._decoding: dict[str, Job] = {}
        self._end_steps: list[tuple[float, str]] = []
        self._steps = 0.0
        self._time = 0.0

    @property
    def running(self) -> int:
        """Return the number of jobs in the batch."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def waiting(self) -> int:
        """Return the number of jobs that wait for a slot in the batch."""
        return len(self._waiting)

    def decoding(self) -> list[Job]:
        """Return the jobs that are past their first token."""
        return list(self._decoding.values())

    def output_tokens(self, job: Job) -> int:
        """Return the number of output tokens that a job has so far."""
        if job.state == "decoding":
            return min(job.request.output, 1 + int(self._steps - job.start_step))
        return job.request.output if job.state == "done" else 0

    def set_speed(self, speed: float, now: float) -> None:
        """Continue at a fraction of full speed."""
        self.advance(now)
        self.speed = speed

    def submit(self, request_id: str, request: OfferedRequest, now: float) -> Job:
        """Queue a job, and start it if it fits into the batch."""
        self.advance(now)
        job = Job(request_id, request, self.profile.plain)
        self.jobs_by_id[request_id] = job
        self._waiting[request_id] = job
        self._admit(now)
        return job

    def cancel(self, request_id: str, now: float) -> None:
        """End a job early; a plain service can't cancel a running job."""
        self.advance(now)
        job = self.jobs_by_id.get(request_id)
        if job is None:
            return
        if self._waiting.pop(request_id, None) is not None:
            self._remove(job, "cancelled")
            return
        if self.profile.plain:
            return
        if self._prefilling.pop(request_id, None) is not None:
            job.computed = job.request.prompt - job.cached - job.prefill_left
        self._decoding.pop(request_id, None)
        self.kv_used -= self._kv_tokens(job)
        self._remove(job, "cancelled")
        self._admit(now)

    def next_event(self) -> float:
        """Return the time at which the next prefill or decoding ends."""
        prefill_rate, step_rate = self._rates()
        when = NEVER
        if self._prefilling:
            job = next(iter(self._prefilling.values()))
            when = self._time + job.prefill_left / prefill_rate
        self._drop_stale_end_steps()
        if self._end_steps:
            left = max(0.0, self._end_steps[0][0] - self._steps)
            when = min(when, self._time + left / step_rate)
        return when

    def advance(self, now: float) -> None:
        """Advance the model to a point in time and call the callbacks of its events."""
        while True:
            when = self.next_event()
            if when > now:
                break
            self._advance_without_events(max(when, self._time))
            self._process_due_events()
        self._advance_without_events(now)

    def _advance_without_events(self, now: float) -> None:
        """Advance to a time before which no prefill or decoding ends."""
        seconds = now - self._time
        if seconds <= 0:
            return
        prefill_rate, step_rate = self._rates()
        if self._prefilling:
            job = next(iter(self._prefilling.values()))
            job.prefill_left = max(0.0, job.prefill_left - seconds * prefill_rate)
        if self._decoding:
            self._steps += seconds * step_rate
        self._time = now

    def _process_due_events(self) -> None:
        """End the prefill and the decodings that are due now."""
        now = self._time
        if self._prefilling:
            job = next(iter(self._prefilling.values()))
            if job.prefill_left <= EPSILON * job.request.prompt:
                self._end_prefill(job, now)
        while self._end_steps and self._end_steps[0][0] <= self._steps + EPSILON:
            _, request_id = heapq.heappop(self._end_steps)
            job = self._decoding.pop(request_id, None)
            if job is not None:
                self._end(job, now)
        self._admit(now)

    def _end_prefill(self, job: Job, now: float) -> None:
        del self._prefilling[job.request_id]
        if self.profile.plain:
            job.computed = float(job.request.output)
        else:
            job.computed = float(job.request.prompt - job.cached)
            self.cache.store(job.request.prefix_hashes)
            self._computed_prefixes.update(job.request.prefix_hashes)
        job.state = "decoding"
        job.start_step = self._steps
        self._decoding[job.request_id] = job
        # The prefill of an engine itself produces the first token.
        steps = job.request.output if self.profile.plain else job.request.output - 1
        heapq.heappush(self._end_steps, (self._steps + steps, job.request_id))
        if not self.profile.plain:
            self._on_first_token(job, now)

    def _end(self, job: Job, now: float) -> None:
        self.kv_used -= self._kv_tokens(job)
        self._remove(job, "done")
        self._on_finished(job, now)

    def _remove(self, job: Job, state: str) -> None:
        job.state = state
        del self.jobs_by_id[job.request_id]

    def _admit(self, now: float) -> None:
        """Fill the batch in order of arrival while slots and memory are free."""
        while self._waiting and self.running < self.profile.slots:
            job = next(iter(self._waiting.values()))
            if self.running and not self._fits(job):
                return
            del self._waiting[job.request_id]
            self.kv_used += self._kv_tokens(job)
            self._start_job(job, now)

    def _start_job(self, job: Job, now: float) -> None:
        job.state = "prefilling"
        if self.profile.plain:
            self._prefilling[job.request_id] = job
            self._end_prefill(job, now)
            return
        hashes = job.request.prefix_hashes
        job.cached = min(self.cache.cached_tokens(hashes), job.request.prompt - 1)
        job.recomputed = max(0, self._computed_tokens(hashes) - job.cached)
        job.prefill_left = float(job.request.prompt - job.cached)
        self._prefilling[job.request_id] = job

    def _computed_tokens(self, prefix_hashes: tuple[int, ...]) -> int:
        """Return the tokens of the longest prefix that any engine computed before."""
        longest = 0
        for level, prefix_hash in enumerate(prefix_hashes):
            if prefix_hash not in self._computed_prefixes:
                break
            longest = prefix_tokens(level)
        return longest

    def _fits(self, job: Job) -> bool:
        if self.profile.plain:
            return True
        return self.kv_used + self._kv_tokens(job) <= self.profile.kv_tokens

    @staticmethod
    def _kv_tokens(job: Job) -> int:
        return job.request.prompt + job.request.output

    def _rates(self) -> tuple[float, float]:
        """Return the current prompt tokens per second and decode steps per second."""
        profile = self.profile
        step = profile.step(len(self._decoding))
        if not self._prefilling or profile.plain:
            return 0.0, self.speed / step
        if not self._decoding:
            return profile.prefill_speed * self.speed, 0.0
        step += CHUNK_TOKENS / profile.prefill_speed
        return CHUNK_TOKENS * self.speed / step, self.speed / step

    def _drop_stale_end_steps(self) -> None:
        while self._end_steps and self._end_steps[0][1] not in self._decoding:
            heapq.heappop(self._end_steps)
