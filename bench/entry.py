"""A minimal model of the entry hosts and their callers."""

from bench.engine import Job
from bench.events import EventLoop
from bench.fleet import SimulatedUpstream
from bench.models import OfferedRequest
from bench.owner import Owner
from bitterntiller.components.dispatch.models import (
    Completion,
    Decision,
    Granted,
    Refused,
    WaitingRequest,
)

PROGRESS_SECONDS = 0.5
REPORT_FIRST_TOKEN = False
"""Whether the first token is reported at once instead of with the next progress."""

DONE = "done"
CALLER_GONE = "caller-gone"


class Attempt:
    """One request at an entry host; a retry is another attempt.

    outcome is waiting, running, useful, gave-up-waiting, gave-up-running or refused.
    """

    __slots__ = (
        "arrived",
        "deadline",
        "ended",
        "first_token",
        "granted",
        "job",
        "outcome",
        "reason",
        "request",
        "request_id",
        "retries",
        "upstream",
    )

    def __init__(
        self, request: OfferedRequest, retries: int, arrived: float, deadline: float
    ) -> None:
        self.request = request
        self.retries = retries
        self.request_id = f"{request.number}-{retries}"
        self.arrived = arrived
        self.deadline = deadline
        self.outcome = "waiting"
        self.reason = ""
        self.upstream = ""
        self.job: Job | None = None
        self.granted: float | None = None
        self.first_token: float | None = None
        self.ended: float | None = None

    def waiting_request(self) -> WaitingRequest:
        """Return the registration that is sent to the owner."""
        request = self.request
        return WaitingRequest(
            request_id=self.request_id,
            workspace=request.workspace,
            tier=request.tier,
            tier_rank=request.tier_rank,
            prompt_tokens=request.prompt_estimate,
            output_tokens=request.output_estimate,
            arrived=self.arrived,
            deadline=self.deadline,
            entry_host=f"host-{request.host}",
            prefix_hashes=request.prefix_hashes,
        )


class EntryHosts:
    """All entry hosts together; each message to the owner is delayed."""

    def __init__(
        self, loop: EventLoop, owner: Owner, delay: float, max_retries: int
    ) -> None:
        self._loop = loop
        self._owner = owner
        self._delay = delay
        self._max_retries = max_retries
        self.upstreams_by_name: dict[str, SimulatedUpstream] = {}
        self.attempts_by_id: dict[str, Attempt] = {}

    def accept(self, request: OfferedRequest, retries: int = 0) -> None:
        """Accept a request and register it with the owner."""
        deadline = request.at + request.deadline
        attempt = Attempt(request, retries, self._loop.now(), deadline)
        self.attempts_by_id[attempt.request_id] = attempt
        self._loop.at(deadline, self._handle_deadline, attempt)
        self._owner.send("register", attempt.waiting_request())

    def handle_decision(self, decision: Decision) -> None:
        """Apply a decision of the owner; return a grant that is no longer needed."""
        attempt = self.attempts_by_id[decision.request_id]
        if isinstance(decision, Refused):
            self._handle_refusal(attempt, decision)
            return
        if attempt.outcome != "waiting":
            self._owner.send("returned", attempt.request_id, "expired", False)
            return
        self._send(attempt, decision)

    def reregister(self) -> None:
        """Register all running requests with a new owner, then all waiting ones."""
        open_attempts = [a for a in self.attempts_by_id.values() if a.ended is None]
        for attempt in open_attempts:
            if attempt.outcome == "running":
                self._owner.send(
                    "adopt_running",
                    attempt.waiting_request(),
                    attempt.upstream,
                    self._output_tokens(attempt),
                )
        for attempt in open_attempts:
            if attempt.outcome == "waiting":
                self._owner.send("register", attempt.waiting_request())

    def record_first_token(self, job: Job, now: float) -> None:
        """Record that a response has started."""
        attempt = self.attempts_by_id[job.request_id]
        if attempt.ended is None:
            attempt.first_token = now
            if REPORT_FIRST_TOKEN:
                self._owner.send("progress", attempt.request_id, 1)

    def record_end(self, job: Job, now: float) -> None:
        """Record that a response is complete and report it to the owner."""
        attempt = self.attempts_by_id[job.request_id]
        if attempt.ended is not None:
            return
        attempt.outcome = "useful"
        attempt.ended = now
        if attempt.first_token is None:
            attempt.first_token = now
        self._report_end(attempt, DONE)

    def report_progress(self) -> None:
        """Periodically report the progress of the running requests to the owner."""
        for upstream in self.upstreams_by_name.values():
            for job in upstream.model.decoding():
                attempt = self.attempts_by_id[job.request_id]
                if attempt.ended is None and attempt.first_token is not None:
                    self._owner.send(
                        "progress",
                        job.request_id,
                        self._output_tokens(attempt),
                        first=attempt.first_token - attempt.granted,
                    )
        self._loop.after(PROGRESS_SECONDS, self.report_progress)

    def _send(self, attempt: Attempt, grant: Granted) -> None:
        attempt.outcome = "running"
        attempt.upstream = grant.upstream
        attempt.granted = self._loop.now()
        self._owner.send("started", attempt.request_id)
        self._loop.after(self._delay, self._submit, attempt)

    def _submit(self, attempt: Attempt) -> None:
        if attempt.ended is not None:
            return
        upstream = self.upstreams_by_name[attempt.upstream]
        attempt.job = upstream.submit(attempt.request_id, attempt.request)

    def _handle_deadline(self, attempt: Attempt) -> None:
        """End a request at its deadline, when the caller disconnects."""
        if attempt.ended is not None:
            return
        running = attempt.outcome == "running"
        attempt.outcome = f"gave-up-{attempt.outcome}"
        attempt.ended = self._loop.now()
        if running:
            self._report_end(attempt, CALLER_GONE)
        else:
            self._owner.send("cancel", attempt.request_id)
        if attempt.job is not None:
            upstream = self.upstreams_by_name[attempt.upstream]
            self._loop.after(self._delay, upstream.cancel, attempt.request_id)

    def _report_end(self, attempt: Attempt, outcome: str) -> None:
        """Report to the owner how a request that was sent has ended."""
        first = attempt.first_token
        plain = attempt.job is None or attempt.job.plain
        completion = Completion(
            request_id=attempt.request_id,
            upstream=attempt.upstream,
            outcome=outcome,
            output_tokens=0 if plain else self._output_tokens(attempt),
            cached_tokens=None if plain or outcome != DONE else attempt.job.cached,
            first_token=None if first is None else first - attempt.granted,
            total=attempt.ended - attempt.granted,
            in_time=outcome == DONE,
        )
        self._owner.send("finished", completion)

    def _handle_refusal(self, attempt: Attempt, refused: Refused) -> None:
        if attempt.outcome != "waiting":
            return
        now = self._loop.now()
        attempt.outcome = "refused"
        attempt.reason = str(refused.reason)
        attempt.ended = now
        if attempt.retries < self._max_retries:
            self._retry_later(attempt, refused.retry_after)

    def _retry_later(self, attempt: Attempt, retry_after: float) -> None:
        """Schedule the retry of a refused caller, if it is before the deadline."""
        retry_at = self._loop.now() + retry_after
        if retry_at < attempt.deadline:
            self._loop.at(retry_at, self.accept, attempt.request, attempt.retries + 1)

    def _output_tokens(self, attempt: Attempt) -> int:
        if attempt.job is None:
            return 0
        return self.upstreams_by_name[attempt.upstream].model.output_tokens(attempt.job)
