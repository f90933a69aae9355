"""The upstreams of a run on the event loop, with their announcements."""

from collections import deque
from collections.abc import Callable

import numpy as np

from bench.engine import NEVER, Job, UpstreamModel
from bench.events import EventLoop
from bench.models import CaseSpec, OfferedRequest, PoolSpec
from bench.owner import Owner
from bitterntiller.components.dispatch.models import (
    CacheChange,
    UpstreamLoad,
    UpstreamState,
)

ANNOUNCE_SECONDS = 1.0
EVENT_DELAY_SECONDS = 1.0
SAMPLE_SECONDS = 0.25


class SimulatedUpstream:
    """Runs the model of one upstream on the event loop and announces its state."""

    def __init__(
        self,
        model: UpstreamModel,
        loop: EventLoop,
        owner: Owner,
        case: CaseSpec,
        rng: np.random.Generator,
    ) -> None:
        self.model = model
        self._loop = loop
        self._owner = owner
        self._case = case
        self._rng = rng
        self._scheduled_at = NEVER
        self._sequence = 0
        self._loads: deque[UpstreamLoad] = deque()
        self._unsent: deque[tuple[float, CacheChange]] = deque()

    def start(self) -> None:
        """Announce now, and then every second from a random time on."""
        self.announce()
        self._loop.after(
            float(self._rng.uniform(0, ANNOUNCE_SECONDS)), self._announce_periodically
        )
        self._sample()

    def submit(self, request_id: str, request: OfferedRequest) -> Job:
        """Submit a request to the upstream."""
        job = self.model.submit(request_id, request, self._loop.now())
        self._schedule()
        return job

    def cancel(self, request_id: str) -> None:
        """Cancel a request."""
        self.model.cancel(request_id, self._loop.now())
        self._schedule()

    def set_speed(self, speed: float) -> None:
        """Change the speed from now on."""
        self.model.set_speed(speed, self._loop.now())
        self._schedule()

    def _schedule(self) -> None:
        when = self.model.next_event()
        if when == self._scheduled_at or when == NEVER:
            self._scheduled_at = when
            return
        self._scheduled_at = when
        self._loop.at(when, self._wake, when)

    def _wake(self, scheduled_at: float) -> None:
        if scheduled_at != self._scheduled_at:
            return
        self._scheduled_at = NEVER
        self.model.advance(self._loop.now())
        self._schedule()

    def _sample(self) -> None:
        """Record the load, which is reported with a delay."""
        now = self._loop.now()
        self.model.advance(now)
        self._loads.append(
            UpstreamLoad(
                self.model.running, self.model.waiting, self.model.kv_used, now
            )
        )
        self._loop.after(SAMPLE_SECONDS, self._sample)
        self._schedule()

    def _announce_periodically(self) -> None:
        self.announce()
        self._loop.after(ANNOUNCE_SECONDS, self._announce_periodically)

    def announce(self) -> None:
        """Announce the current state to the owner."""
        profile = self.model.profile
        self._sequence += 1
        state = UpstreamState(
            name=profile.name,
            address=f"192.0.2.1:{profile.name}",
            incarnation=1,
            sequence=self._sequence,
            leaving=False,
            labels={"zone": profile.zone, "generation": profile.generation},
            slots=profile.slots,
            kv_tokens=profile.kv_tokens,
            load=self._reported_load(),
            cache_changes=self._reported_cache_changes(),
        )
        self._owner.send("announce", state)

    def _reported_load(self) -> UpstreamLoad | None:
        """Return the newest load that is at least the case's report lag old."""
        newest = self._loop.now() - self._case.report_lag
        while len(self._loads) > 1 and self._loads[1].measured_at <= newest:
            self._loads.popleft()
        if not self._loads or self._loads[0].measured_at > newest:
            return None
        return self._loads[0]

    def _reported_cache_changes(self) -> tuple[CacheChange, ...]:
        """Return the cache events that are due, without those that are lost."""
        now = self._loop.now()
        changes = self.model.cache.changes
        self._unsent.extend((now, change) for change in changes)
        changes.clear()
        sent = []
        while self._unsent and self._unsent[0][0] <= now - EVENT_DELAY_SECONDS:
            sent.append(self._unsent.popleft()[1])
        kept = self._rng.random(len(sent)) >= self._case.event_loss
        return tuple(change for change, keep in zip(sent, kept, strict=True) if keep)


def make_fleet(
    pool: PoolSpec,
    case: CaseSpec,
    loop: EventLoop,
    owner: Owner,
    rng: np.random.Generator,
    on_first_token: Callable[[Job, float], None],
    on_finished: Callable[[Job, float], None],
) -> dict[str, SimulatedUpstream]:
    """Return the upstreams of a pool by name."""
    computed_prefixes: set[int] = set()
    return {
        profile.name: SimulatedUpstream(
            UpstreamModel(profile, on_first_token, on_finished, computed_prefixes),
            loop,
            owner,
            case,
            rng,
        )
        for profile in pool.upstreams
    }
