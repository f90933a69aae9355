"""Rollout state of an owned pool: version rules, trial and allowance.

Between rollouts nothing is counted.
"""

from bitterntiller.components.dispatch.const import (
    OUTCOME_CALLER_GONE,
    OUTCOME_DONE,
    OUTCOME_REJECTED,
    REASON_FAILED,
    REASON_LOST_ANSWER,
    REASON_UPSTREAM_SILENT,
)
from bitterntiller.components.dispatch.models import (
    Completion,
    Decision,
    Granted,
    Scheduler,
    WaitingRequest,
)
from bitterntiller.components.rollouts.models import ANY_VERSION, VersionRules
from bitterntiller.components.rollouts.trial import Allowance, Trial
from bitterntiller.protocol import messages

FAILURES = frozenset({REASON_FAILED, REASON_LOST_ANSWER, REASON_UPSTREAM_SILENT})
"""Reasons of returned grants that count as a failure of an upstream that may have run
the request. A silent one counts even if it goes on later."""

NEW_SECONDS = 0.5
"""Maximum age of a registered request that counts as new. An older one has waited at
another owner."""


class PoolTrial:
    """Feeds the trial of a rollout with the events of the owned pool.

    trial is None while no rollout of the pool's service is under evaluation.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._rules = ANY_VERSION
        self._allowance: Allowance | None = None
        self._warm_at_by_upstream: dict[str, float] = {}
        self.trial: Trial | None = None

    @property
    def allowance_left(self) -> int:
        """Return how many more requests the candidate version may get."""
        return 0 if self._allowance is None else self._allowance.left

    def set_rules(self, rules: VersionRules, now: float) -> list[Decision]:
        """Apply version rules; a new candidate version starts a trial."""
        if rules == self._rules:
            return []
        self._rules = rules
        if not rules.candidate:
            self.trial = self._allowance = None
        elif self.trial is None or self.trial.number != rules.number:
            self.trial = Trial(rules.number)
            self._allowance = Allowance(self.trial)
        return self._scheduler.set_versions(rules, self._allowance, now)

    def allow(self, number: int, more: int, until: float, now: float) -> list[Decision]:
        """Renew the allowance of the trial of a rollout."""
        if self._allowance is None or self._rules.number != number:
            return []
        self._allowance.renew(more, until)
        return self._scheduler.set_versions(self._rules, self._allowance, now)

    def end(self, number: int, complete: bool, now: float) -> list[Decision]:
        """Apply the verdict on the candidate version.

        A completed version serves all requests at once. The old upstreams stop, and
        requests would be sent to them until the next heartbeat brings new version
        rules.
        """
        rules = self._rules
        if self._allowance is None or rules.number != number:
            return []
        self._allowance.close()
        if not complete:
            return []
        return self.set_rules(VersionRules(rules.candidate, number=number), now)

    def record_announcement(self, announcement: messages.Announce, now: float) -> None:
        """Record how long an upstream is still warming up, thus slower than later."""
        if announcement.warm_in_ms:
            warm_at = now + announcement.warm_in_ms / 1000
            self._warm_at_by_upstream.setdefault(announcement.name, warm_at)

    def remove_upstream(self, upstream: str) -> None:
        """Remove an upstream."""
        self._warm_at_by_upstream.pop(upstream, None)

    def record_registration(self, request: WaitingRequest, now: float) -> None:
        """Count a new request; one that has waited at another owner is not new."""
        if self.trial is not None and now - request.arrived <= NEW_SECONDS:
            self.trial.record_arrival(request.route)

    def record_grant(
        self, decision: Granted, route: str, version: str, now: float
    ) -> None:
        """Record a grant for the comparison of the two versions."""
        if self.trial is None:
            return
        name = decision.upstream
        is_candidate = version == self._rules.candidate
        warm = now >= self._warm_at_by_upstream.get(name, now)
        self.trial.record_sent(
            decision.request_id, route, name if is_candidate else "", warm, now
        )

    def record_progress(self, item: messages.ProgressItem) -> None:
        """Record the time to the first output of a running request, if reported."""
        if self.trial is not None and item.first_ms is not None:
            self.trial.record_first_output(item.request_id, item.first_ms / 1000)

    def record_completion(self, end: Completion) -> None:
        """Record the end of a granted request."""
        if self.trial is None:
            return
        if end.outcome in (OUTCOME_CALLER_GONE, OUTCOME_REJECTED):
            self.trial.discard(end.request_id)
            return
        failed = end.outcome != OUTCOME_DONE
        self.trial.record_end(end.request_id, failed, end.first_token, end.total)

    def record_return(self, request_id: str, reason: str) -> None:
        """Record the return of a grant; failures count against the version."""
        if self.trial is None:
            return
        if reason in FAILURES:
            self.trial.record_end(request_id, True, None, 0.0)
        self.trial.discard(request_id)

    def forget(self, request_id: str) -> None:
        """Remove a request."""
        if self.trial is not None:
            self.trial.discard(request_id)
