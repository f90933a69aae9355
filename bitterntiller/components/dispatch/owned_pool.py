"""One pool that this host owns, under one epoch."""

from collections.abc import Mapping
from typing import NamedTuple

from bitterntiller.components.config.models import Config
from bitterntiller.components.dispatch.eligibility import Eligibility, workspace_limits
from bitterntiller.components.dispatch.models import (
    Decision,
    Granted,
    Refused,
    Scheduler,
    WaitingRequest,
)
from bitterntiller.components.dispatch.pool_trial import PoolTrial
from bitterntiller.components.dispatch.upstream_events import UpstreamEvent
from bitterntiller.components.dispatch.wire import (
    STATE_LEAVING,
    completion,
    rate_limit_update,
    upstream_state,
    waiting_request,
)
from bitterntiller.components.rollouts.const import LABEL_VERSION
from bitterntiller.components.rollouts.models import VersionRules
from bitterntiller.protocol import messages

LOWEST_RANK = 1_000_000
REASON_UNDELIVERED = "expired"
UNLISTED_GRACE_SECONDS = 5.0


class TrackedRequest(NamedTuple):
    """A request as the owner tracks it: who sent it, and whether it may be sent.

    granted is true from the grant until its return. known_at is when the entry
    host last told of the request, in the owner's time.
    """

    request: WaitingRequest
    entry_incarnation: str
    granted: bool
    last_reported_at: float


class OwnedPool:
    """Feeds one scheduler and keeps what it needs besides: labels, settling.

    For the first seconds of an epoch nothing is granted: the entry hosts are
    telling what still runs under the owner before. Without the pause the new
    owner would see idle upstreams and grant them a second full load.
    """

    def __init__(
        self, name: str, epoch: int, scheduler: Scheduler, settled_at: float
    ) -> None:
        self.name = name
        self.epoch = epoch
        self.scheduler = scheduler
        self.tracked_by_id: dict[str, TrackedRequest] = {}
        self._settled_at = settled_at
        self._held_by_id: dict[str, tuple[messages.Register, str]] = {}
        self._eligibility = Eligibility()
        self._labels_by_upstream: dict[str, dict[str, str]] = {}
        self._registered_by_name: dict[str, messages.Announce] = {}
        self._config: Config | None = None
        self.rollout = PoolTrial(scheduler)

    def set_versions(self, rules: VersionRules, now: float) -> list[Decision]:
        """Put version rules in force."""
        return self._record_decisions(self.rollout.set_rules(rules, now), now)

    def renew_allowance(
        self, number: int, more: int, until: float, now: float
    ) -> list[Decision]:
        """Renew the allowance of a rollout's trial."""
        return self._record_decisions(self.rollout.allow(number, more, until, now), now)

    def end_trial(self, number: int, complete: bool, now: float) -> list[Decision]:
        """Act by a rollout's verdict."""
        return self._record_decisions(self.rollout.end(number, complete, now), now)

    def configure(self, config: Config, now: float) -> list[Decision]:
        """Put a configuration in force."""
        self._config = config
        decisions = self.scheduler.set_limits(workspace_limits(config), now)
        return self._record_decisions(decisions, now) + self._reapply_selectors(now)

    def register(
        self, message: messages.Register, incarnation: str, now: float
    ) -> list[Decision]:
        """Take a request, or hold it while the epoch settles.

        A repetition goes on to the scheduler: the grant may have been lost with a
        broken connection. The request would then wait until its deadline beside
        idle upstreams, since only the scheduler knows that the grant lapsed.
        """
        request_id = message.request_id
        if now < self._settled_at and request_id not in self.tracked_by_id:
            self._held_by_id[request_id] = (message, incarnation)
            return []
        request = self._track(message, incarnation, now)
        return self._record_decisions(self.scheduler.register(request, now), now)

    def _track(
        self, message: messages.Register, incarnation: str, now: float
    ) -> WaitingRequest:
        request = self._request(message, now)
        known = self.tracked_by_id.get(request.request_id)
        if known is None:
            self.rollout.note_registered(request, now)
        granted = known is not None and known.granted
        tracked = TrackedRequest(request, incarnation, granted, now)
        self.tracked_by_id[request.request_id] = tracked
        return request

    def _register_held(self, now: float) -> list[Decision]:
        """Take what was held while the epoch settled, all of it together.

        One by one, work of a low tier would be granted or kept before the owner
        has heard of the higher one that waits as well.
        """
        held = list(self._held_by_id.values())
        self._held_by_id.clear()
        requests = [
            self._track(message, incarnation, now) for message, incarnation in held
        ]
        return self._record_decisions(self.scheduler.register_all(requests, now), now)

    def reregister(
        self, message: messages.Reregister, incarnation: str, now: float
    ) -> list[Decision]:
        """Take all that an entry host has with this pool, and forget what it has not.

        An entry host that passed this owner over for a moment told the ends of its
        requests to another one. Kept here, those would fill the slots of upstreams that
        are idle, until the next list of live requests some seconds later.
        """
        known = {item.request.request_id for item in message.running}
        known.update(item.request_id for item in message.waiting)
        ids = frozenset(known)
        decisions: list[Decision] = []
        # What runs is counted first, or the slots that are freed would be granted
        # though requests run in them.
        for item in message.running:
            decisions += self.adopt_running(item, incarnation, now)
        decisions += self.retain_only(message.entry_host, ids, now, 0.0)
        for item in message.waiting:
            decisions += self.register(item, incarnation, now)
        return decisions

    def adopt_running(
        self, item: messages.RunningItem, incarnation: str, now: float
    ) -> list[Decision]:
        """Count a request that runs under an earlier owner's grant."""
        request = self._request(item.request, now)
        tracked = TrackedRequest(request, incarnation, True, now)
        self.tracked_by_id[request.request_id] = tracked
        self._held_by_id.pop(request.request_id, None)
        decisions = self.scheduler.adopt_running(
            request, item.upstream, item.output_tokens, now
        )
        return self._record_decisions(decisions, now)

    def cancel(self, request_id: str, now: float) -> list[Decision]:
        """Forget a request."""
        self._held_by_id.pop(request_id, None)
        self.tracked_by_id.pop(request_id, None)
        self.rollout.forget(request_id)
        return self._record_decisions(self.scheduler.cancel(request_id, now), now)

    def retain_only(
        self,
        entry_host: str,
        request_ids: frozenset[str],
        now: float,
        grace_seconds: float = UNLISTED_GRACE_SECONDS,
    ) -> list[Decision]:
        """Forget what an entry host has no more, given all that it has.

        The end of a request is told once. When that message is lost with a broken
        connection, the slot would count as used for as long as the epoch lasts.
        What was told of in the last known_seconds is kept: its message may have come by
        another connection than this one.
        """
        decisions: list[Decision] = []
        for request_id, tracked in list(self.tracked_by_id.items()):
            if tracked.request.entry_host != entry_host or request_id in request_ids:
                continue
            if now - tracked.last_reported_at >= grace_seconds:
                decisions += self.cancel(request_id, now)
        return decisions

    def started(self, request_id: str, now: float) -> list[Decision]:
        """Note that a request is being sent."""
        return self._record_decisions(self.scheduler.started(request_id, now), now)

    def progress(
        self, items: list[messages.ProgressItem], now: float
    ) -> list[Decision]:
        """Note the output of running requests."""
        decisions: list[Decision] = []
        for item in items:
            first = None if item.first_ms is None else item.first_ms / 1000
            self.rollout.note_progress(item)
            decisions += self.scheduler.progress(
                item.request_id, item.output_tokens, now, first
            )
        return self._record_decisions(decisions, now)

    def finished(self, message: messages.Finished, now: float) -> list[Decision]:
        """Note the end of a request."""
        self.tracked_by_id.pop(message.request_id, None)
        end = completion(message, now)
        self.rollout.note_finished(end)
        return self._record_decisions(self.scheduler.finished(end, now), now)

    def returned(self, message: messages.Returned, now: float) -> list[Decision]:
        """Take an unused grant back."""
        tracked = self.tracked_by_id.pop(message.request_id, None)
        self.rollout.note_returned(message.request_id, message.reason)
        if message.still_waiting and tracked is not None:
            waiting = tracked._replace(granted=False)
            self.tracked_by_id[message.request_id] = waiting
        decisions = self.scheduler.returned(
            message.request_id, message.reason, message.still_waiting, now
        )
        return self._record_decisions(decisions, now)

    def drop_undelivered(self, request_id: str, now: float) -> list[Decision]:
        """Take back a grant that could not be sent, and forget its request."""
        self.tracked_by_id.pop(request_id, None)
        decisions = self.scheduler.returned(request_id, REASON_UNDELIVERED, False, now)
        return self._record_decisions(decisions, now)

    def announce(
        self, message: messages.Announce, now: float
    ) -> tuple[bool, list[Decision]]:
        """Take an announcement; False for one older than what is known."""
        self.rollout.note_announced(message, now)
        accepted, decisions = self.scheduler.announce(upstream_state(message, now), now)
        if accepted and self._labels_by_upstream.get(message.name) != message.labels:
            self._labels_by_upstream[message.name] = message.labels
            return accepted, self._record_decisions(
                decisions, now
            ) + self._reapply_selectors(now)
        return accepted, self._record_decisions(decisions, now)

    def sync_registered(
        self, registered: Mapping[str, messages.Announce], version: int, now: float
    ) -> list[Decision]:
        """Take the list of all registered upstreams in its version.

        One that is no longer listed has gone and is given no more work.
        """
        decisions: list[Decision] = []
        for item in registered.values():
            if item.pool == self.name:
                decisions += self._announce_registered(item, item.state, version, now)
        gone = self._registered_by_name.keys() - registered.keys()
        for name in gone:
            item = self._registered_by_name.pop(name)
            self.rollout.note_gone(name)
            decisions += self._announce_registered(item, STATE_LEAVING, version, now)
        self._registered_by_name.update(
            {name: item for name, item in registered.items() if item.pool == self.name}
        )
        return decisions

    def _announce_registered(
        self, item: messages.Announce, state: str, version: int, now: float
    ) -> list[Decision]:
        service = self._config.services_by_name.get(self.name) if self._config else None
        announcement = messages.Announce(
            name=item.name,
            pool=item.pool,
            address=item.address,
            incarnation=item.incarnation,
            sequence=version,
            state=state,
            labels=item.labels,
            slots=item.slots,
            kv_tokens=item.kv_tokens or (service.kv_tokens if service else 0),
            cache_events=[],
            warm_in_ms=item.warm_in_ms,
        )
        return self.announce(announcement, now)[1]

    def tick(self, now: float) -> list[Decision]:
        """Do what time alone brings."""
        decisions: list[Decision] = []
        if now >= self._settled_at and self._held_by_id:
            decisions = self._register_held(now)
        return self._record_decisions(decisions + self.scheduler.tick(now), now)

    def update_rate_limit(
        self, message: messages.UpstreamLimit, now: float
    ) -> list[Decision]:
        """Take note of the limit that an answer of an upstream named."""
        return self._record_decisions(
            self.scheduler.update_rate_limit(rate_limit_update(message, now), now),
            now,
        )

    def review(self, fingerprints: frozenset[int], now: float) -> list[Decision]:
        """Decide anew on copies of requests of whose crashes there is news."""
        return self._record_decisions(self.scheduler.review(fingerprints, now), now)

    def take_events(self) -> list[UpstreamEvent]:
        """Return what the owner has come to believe of upstreams."""
        return self.scheduler.take_events()

    def next_wake(self, now: float) -> float:
        """Return when tick() is due."""
        due = self.scheduler.next_wake(now)
        if self._held_by_id:
            due = min(due, self._settled_at)
        return due

    def labels_by_upstream(self) -> dict[str, dict[str, str]]:
        """Return the labels of all announced upstreams, by name."""
        return dict(self._labels_by_upstream)

    def _request(self, message: messages.Register, now: float) -> WaitingRequest:
        config = self._config
        rank = LOWEST_RANK
        names = None
        if config is not None:
            rank = _rank(message.tier, config)
            names = self._allowed_names(message.workspace, message.tier, config)
        return waiting_request(message, rank, names, now)

    def _allowed_names(
        self, workspace: str, tier: str, config: Config
    ) -> frozenset[str] | None:
        return self._eligibility.names(
            self.name, workspace, tier, config, self._labels_by_upstream
        )

    def _reapply_selectors(self, now: float) -> list[Decision]:
        """Have waiting requests use the upstreams that the labels choose now."""
        self._eligibility.clear()
        if self._config is None:
            return []
        decisions: list[Decision] = []
        for request_id in list(self.tracked_by_id):
            decisions += self._reapply_selectors_to(request_id, self._config, now)
        return decisions

    def _reapply_selectors_to(
        self, request_id: str, config: Config, now: float
    ) -> list[Decision]:
        """Register a waiting request anew when its tier or upstreams are others.

        Withdrawing one request may grant another of the same round. Each decision
        is noted at once, so that a request granted meanwhile is left alone: it
        would be queued and granted a second time while it runs.
        """
        tracked = self.tracked_by_id.get(request_id)
        if tracked is None or tracked.granted:
            return []
        request = tracked.request
        names = self._allowed_names(request.workspace, request.tier, config)
        rank = _rank(request.tier, config)
        if (names, rank) == (request.upstream_names, request.tier_rank):
            return []
        request = request._replace(upstream_names=names, tier_rank=rank)
        self.tracked_by_id[request_id] = tracked._replace(request=request)
        decisions = self._record_decisions(self.scheduler.cancel(request_id, now), now)
        return decisions + self._record_decisions(
            self.scheduler.register(request, now), now
        )

    def _record_decisions(
        self, decisions: list[Decision], now: float
    ) -> list[Decision]:
        for decision in decisions:
            if isinstance(decision, Refused):
                self.tracked_by_id.pop(decision.request_id, None)
                continue
            self._record_grant(decision, now)
        return decisions

    def _record_grant(self, decision: Granted, now: float) -> None:
        tracked = self.tracked_by_id.get(decision.request_id)
        if tracked is None:
            return
        self.tracked_by_id[decision.request_id] = tracked._replace(granted=True)
        labels = self._labels_by_upstream.get(decision.upstream, {})
        version = labels.get(LABEL_VERSION, "")
        self.rollout.note_granted(decision, tracked.request.route, version, now)


def _rank(tier: str, config: Config) -> int:
    found = config.tiers_by_name.get(tier)
    return found.rank if found else LOWEST_RANK
