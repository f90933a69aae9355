"""A pool that this host owns under one epoch."""

from collections.abc import Mapping
from typing import NamedTuple

from bitterntiller.components.config.models import Config
from bitterntiller.components.dispatch.const import REASON_EXPIRED
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
    notice_update,
    placement_request,
    rate_limit_update,
    upstream_state,
    waiting_request,
)
from bitterntiller.components.rollouts.const import LABEL_VERSION
from bitterntiller.components.rollouts.models import VersionRules
from bitterntiller.core.outcomes import Reason
from bitterntiller.protocol import messages

UNKNOWN_TIER_RANK = 1_000_000
UNLISTED_GRACE_SECONDS = 5.0

VERSION_GONE_RETRY_SECONDS = 2.0
"""When to ask again for a stream whose version has no upstream: a crashed one may be
replaced by another of the same version."""


class TrackedRequest(NamedTuple):
    """A request that the owner tracks, with the entry process that sent it.

    granted is true from the grant until the grant is returned. last_reported_at is when
    the entry host last registered the request or reported it as running, on the owner's
    clock.
    """

    request: WaitingRequest
    entry_incarnation: str
    granted: bool
    last_reported_at: float


class OwnedPool:
    """Passes messages to the pool's scheduler; tracks requests and upstream labels.

    Nothing is granted for the first seconds of an epoch, in which the entry hosts
    report what still runs under the previous owner. Without this pause the new owner
    would take the upstreams for idle and grant them a second full load.
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
        """Apply version rules."""
        return self._record_decisions(self.rollout.set_rules(rules, now), now)

    def renew_allowance(
        self, number: int, more: int, until: float, now: float
    ) -> list[Decision]:
        """Renew the allowance of a rollout's trial."""
        return self._record_decisions(self.rollout.allow(number, more, until, now), now)

    def end_trial(self, number: int, complete: bool, now: float) -> list[Decision]:
        """Apply the verdict of a rollout."""
        return self._record_decisions(self.rollout.end(number, complete, now), now)

    def configure(self, config: Config, now: float) -> list[Decision]:
        """Apply a configuration."""
        self._config = config
        decisions = self.scheduler.set_limits(workspace_limits(config), now)
        return self._record_decisions(decisions, now) + self._reapply_selectors(now)

    def register(
        self, message: messages.Register, incarnation: str, now: float
    ) -> list[Decision]:
        """Register a request, or hold it until the epoch has settled.

        A repeated registration is passed to the scheduler too, since the grant may have
        been lost with a broken connection. Otherwise the request would wait until its
        deadline beside idle upstreams: only the scheduler tracks expired grants.
        """
        request_id = message.request_id
        if now < self._settled_at and request_id not in self.tracked_by_id:
            self._held_by_id[request_id] = (message, incarnation)
            return []
        request = self._track(message, incarnation, now)
        decisions = self.scheduler.register(request, now)
        decisions = self._record_decisions(decisions, now)
        return decisions + self._refuse_if_version_gone(request_id, now)

    def _track(
        self, message: messages.Register, incarnation: str, now: float
    ) -> WaitingRequest:
        request = self._request(message, now)
        known = self.tracked_by_id.get(request.request_id)
        if known is None:
            self.rollout.record_registration(request, now)
        granted = known is not None and known.granted
        tracked = TrackedRequest(request, incarnation, granted, now)
        self.tracked_by_id[request.request_id] = tracked
        return request

    def _register_held(self, now: float) -> list[Decision]:
        """Register all requests that were held while the epoch settled, together.

        One by one, requests of a low tier would be granted or kept before the owner has
        registered waiting requests of a higher tier.
        """
        pending = list(self._held_by_id.values())
        self._held_by_id.clear()
        requests = [
            self._track(message, incarnation, now) for message, incarnation in pending
        ]
        return self._record_decisions(self.scheduler.register_all(requests, now), now)

    def reregister(
        self, message: messages.Reregister, incarnation: str, now: float
    ) -> list[Decision]:
        """Take over all requests of an entry host and drop those not in the message.

        An entry host that used another owner for a moment reported the ends of its
        requests there. If these requests were kept here, they would occupy slots of
        idle upstreams until the next list of live requests, some seconds later.
        """
        known = {item.request.request_id for item in message.running}
        known.update(item.request_id for item in message.waiting)
        ids = frozenset(known)
        decisions: list[Decision] = []
        # Running requests are counted first; otherwise slots that are freed below would
        # be granted although these requests occupy them.
        for item in message.running:
            decisions += self.adopt_running(item, incarnation, now)
        decisions += self.retain_only(message.entry_host, ids, now, 0.0)
        for item in message.waiting:
            decisions += self.register(item, incarnation, now)
        return decisions

    def adopt_running(
        self, item: messages.RunningItem, incarnation: str, now: float
    ) -> list[Decision]:
        """Count a request that runs under a grant of an earlier owner."""
        request = self._request(item.request, now)
        tracked = TrackedRequest(request, incarnation, True, now)
        self.tracked_by_id[request.request_id] = tracked
        self._held_by_id.pop(request.request_id, None)
        decisions = self.scheduler.adopt_running(
            request, item.upstream, item.output_tokens, now
        )
        return self._record_decisions(decisions, now)

    def cancel(self, request_id: str, now: float) -> list[Decision]:
        """Drop a request."""
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
        """Drop the requests of an entry host that are not in its list of live requests.

        The end of a request is reported once. If that message is lost with a broken
        connection, its slot would count as used until the end of the epoch. Requests
        reported within the last grace_seconds are kept, since their message may have
        arrived on another connection than the list.
        """
        decisions: list[Decision] = []
        for request_id, tracked in list(self.tracked_by_id.items()):
            if tracked.request.entry_host != entry_host or request_id in request_ids:
                continue
            if now - tracked.last_reported_at >= grace_seconds:
                decisions += self.cancel(request_id, now)
        return decisions

    def started(self, request_id: str, now: float) -> list[Decision]:
        """Record that a request is being sent."""
        return self._record_decisions(self.scheduler.started(request_id, now), now)

    def progress(
        self, items: list[messages.ProgressItem], now: float
    ) -> list[Decision]:
        """Record the output of running requests."""
        decisions: list[Decision] = []
        for item in items:
            first = None if item.first_ms is None else item.first_ms / 1000
            self.rollout.record_progress(item)
            decisions += self.scheduler.progress(
                item.request_id, item.output_tokens, now, first, item.work_percent
            )
        return self._record_decisions(decisions, now)

    def finished(self, message: messages.Finished, now: float) -> list[Decision]:
        """Record the end of a request."""
        self.tracked_by_id.pop(message.request_id, None)
        end = completion(message, now)
        self.rollout.record_completion(end)
        return self._record_decisions(self.scheduler.finished(end, now), now)

    def returned(self, message: messages.Returned, now: float) -> list[Decision]:
        """Process the return of a grant."""
        if self.scheduler.runs_without(
            message.request_id, message.upstream, message.reason
        ):
            return []
        tracked = self.tracked_by_id.pop(message.request_id, None)
        self.rollout.record_return(message.request_id, message.reason)
        if message.still_waiting and tracked is not None:
            waiting = tracked._replace(granted=False)
            self.tracked_by_id[message.request_id] = waiting
        version, names = self._bind_to_version(message)
        decisions = self.scheduler.returned(
            message.request_id,
            message.reason,
            message.still_waiting,
            now,
            version,
            names,
            message.fault or "",
        )
        decisions = self._record_decisions(decisions, now)
        return decisions + self._refuse_if_version_gone(message.request_id, now)

    def _bind_to_version(
        self, message: messages.Returned
    ) -> tuple[str | None, frozenset[str] | None]:
        """Return the version that a waiting request's stream began at, and its names.

        Both are None unless the stream has begun since the request was registered.
        """
        tracked = self.tracked_by_id.get(message.request_id)
        config = self._config
        if tracked is None or message.version is None or config is None:
            return None, None
        request = tracked.request
        if request.version == message.version:
            return None, None
        version = message.version
        names = self._allowed_names(request.workspace, request.tier, version, config)
        self.tracked_by_id[message.request_id] = tracked._replace(
            request=request._replace(version=version, upstream_names=names)
        )
        return version, names

    def _refuse_if_version_gone(self, request_id: str, now: float) -> list[Decision]:
        """Refuse a waiting request whose stream no upstream can go on with.

        Its caller would otherwise wait for an upstream that may never come.
        """
        tracked = self.tracked_by_id.get(request_id)
        if tracked is None or tracked.granted:
            return []
        if not self._is_gone(tracked.request.version):
            return []
        decisions = self._record_decisions(self.scheduler.cancel(request_id, now), now)
        refused = Refused(
            request_id,
            tracked.request.entry_host,
            Reason.VERSION_GONE,
            VERSION_GONE_RETRY_SECONDS,
        )
        return decisions + self._record_decisions([refused], now)

    def _is_gone(self, version: str | None) -> bool:
        """Return whether all registered upstreams have another version or leave."""
        registered = self._registered_by_name.values()
        if version is None or not registered:
            return False
        return not any(
            item.state != STATE_LEAVING
            and item.labels.get(LABEL_VERSION, "") == version
            for item in registered
        )

    def drop_undelivered(self, request_id: str, now: float) -> list[Decision]:
        """Drop a request whose grant could not be delivered, unless it runs already."""
        if self.scheduler.runs_without(request_id, "", REASON_EXPIRED):
            return []
        self.tracked_by_id.pop(request_id, None)
        decisions = self.scheduler.returned(request_id, REASON_EXPIRED, False, now)
        return self._record_decisions(decisions, now)

    def announce(
        self, message: messages.Announce, now: float
    ) -> tuple[bool, list[Decision]]:
        """Apply an announcement; return False if it is older than the known state."""
        self.rollout.record_announcement(message, now)
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
        """Apply a version of the list of all upstreams registered with control.

        An upstream that is no longer listed counts as leaving and gets no requests.
        """
        decisions: list[Decision] = []
        for item in registered.values():
            if item.pool == self.name:
                decisions += self._announce_registered(item, item.state, version, now)
        removed = self._registered_by_name.keys() - registered.keys()
        for name in removed:
            item = self._registered_by_name.pop(name)
            self.rollout.remove_upstream(name)
            decisions += self._announce_registered(item, STATE_LEAVING, version, now)
        self._registered_by_name.update(
            {name: item for name, item in registered.items() if item.pool == self.name}
        )
        for request_id in list(self.tracked_by_id):
            decisions += self._refuse_if_version_gone(request_id, now)
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
        """Run the timers that are due."""
        decisions: list[Decision] = []
        if now >= self._settled_at and self._held_by_id:
            decisions = self._register_held(now)
        return self._record_decisions(decisions + self.scheduler.tick(now), now)

    def update_rate_limit(
        self, message: messages.UpstreamLimit, now: float
    ) -> list[Decision]:
        """Apply the rate limit that a response of an upstream stated."""
        return self._record_decisions(
            self.scheduler.update_rate_limit(rate_limit_update(message, now), now),
            now,
        )

    def apply_notice(
        self, message: messages.UpstreamNotice, now: float
    ) -> list[Decision]:
        """Apply what an upstream stated in its responses to an entry host."""
        decisions = self.scheduler.apply_notice(notice_update(message, now), now)
        return self._record_decisions(decisions, now)

    def review(self, fingerprints: frozenset[int], now: float) -> list[Decision]:
        """Decide again on requests whose fingerprints have new crash evidence."""
        return self._record_decisions(self.scheduler.review(fingerprints, now), now)

    def explain_placement(
        self, message: messages.QueryPlacement, now: float
    ) -> dict[str, object] | None:
        """Return where a request would be placed; None without a configuration."""
        config = self._config
        if config is None:
            return None
        names = Eligibility().names(
            self.name,
            message.workspace,
            message.tier,
            config,
            self._labels_by_upstream,
        )
        request = placement_request(message, _rank(message.tier, config), names, now)
        found = self.scheduler.explain_placement(request, now)
        settling = max(0.0, self._settled_at - now)
        return found | {"settles_in": round(settling, 3)}

    def take_events(self) -> list[UpstreamEvent]:
        """Return the upstream events since the last call."""
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
        rank = UNKNOWN_TIER_RANK
        names = None
        if config is not None:
            rank = _rank(message.tier, config)
            names = self._allowed_names(
                message.workspace, message.tier, message.version, config
            )
        return waiting_request(message, rank, names, now)

    def _allowed_names(
        self, workspace: str, tier: str, version: str | None, config: Config
    ) -> frozenset[str] | None:
        """Return the upstreams that may run a request, None if all may."""
        labels_by_upstream = self._labels_by_upstream
        names = self._eligibility.names(
            self.name, workspace, tier, config, labels_by_upstream
        )
        if version is None:
            return names
        of_version = self._eligibility.names_of_version(version, labels_by_upstream)
        return of_version if names is None else names & of_version

    def version_of(self, upstream: str) -> str:
        """Return the software version of an upstream, empty if it states none."""
        return self._labels_by_upstream.get(upstream, {}).get(LABEL_VERSION, "")

    def _reapply_selectors(self, now: float) -> list[Decision]:
        """Apply the current labels and selectors to all waiting requests."""
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
        """Register a waiting request again if its tier or its upstreams have changed.

        Cancelling one request may lead to the grant of another one. Decisions are
        recorded at once, so that a request granted in the meantime is skipped;
        otherwise it would be queued and granted a second time while it runs.
        """
        tracked = self.tracked_by_id.get(request_id)
        if tracked is None or tracked.granted:
            return []
        request = tracked.request
        names = self._allowed_names(
            request.workspace, request.tier, request.version, config
        )
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
        version = self.version_of(decision.upstream)
        self.rollout.record_grant(decision, tracked.request.route, version, now)


def _rank(tier: str, config: Config) -> int:
    found = config.tiers_by_name.get(tier)
    return found.rank if found else UNKNOWN_TIER_RANK
