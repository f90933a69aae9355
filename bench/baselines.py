"""Common load balancing algorithms, as baselines to compare with.

Each forwards a request at once, as a load balancer does: requests queue in the
upstream, first come, first served, without tiers.
"""

import numpy as np

from bitterntiller.components.dispatch.models import (
    Completion,
    Decision,
    Granted,
    UpstreamState,
    WaitingRequest,
    WorkspaceLimits,
)


class Baseline:
    """Grants every request at once; subclasses pick the upstream."""

    def __init__(self, rng: np.random.Generator) -> None:
        self._rng = rng
        self._states_by_name: dict[str, UpstreamState] = {}
        self._upstream_by_id: dict[str, str] = {}
        self._outstanding_by_name: dict[str, int] = {}
        self._waiting: list[WaitingRequest] = []

    def pick(self) -> str:
        """Return the name of the upstream for the next request."""
        raise NotImplementedError

    def register(self, request: WaitingRequest, now: float) -> list[Decision]:
        """Grant at once, or as soon as the first upstream has announced itself."""
        if not self._states_by_name:
            self._waiting.append(request)
            return []
        name = self.pick()
        self._count(request.request_id, name)
        state = self._states_by_name[name]
        return [
            Granted(
                request.request_id,
                request.entry_host,
                name,
                state.address,
                state.incarnation,
            )
        ]

    def cancel(self, request_id: str, now: float) -> list[Decision]:
        """Stop counting a request as outstanding."""
        name = self._upstream_by_id.pop(request_id, None)
        if name is not None:
            self._outstanding_by_name[name] -= 1
        return []

    def started(self, request_id: str, now: float) -> list[Decision]:
        """Do nothing."""
        return []

    def returned(
        self,
        request_id: str,
        reason: str,
        waiting: bool,
        now: float,
        version: str | None = None,
        upstream_names: frozenset[str] | None = None,
        fault: str = "",
    ) -> list[Decision]:
        """Stop counting a request as outstanding."""
        return self.cancel(request_id, now)

    def progress(
        self,
        request_id: str,
        output_tokens: int,
        now: float,
        first: float | None = None,
    ) -> list[Decision]:
        """Do nothing."""
        return []

    def finished(self, completion: Completion, now: float) -> list[Decision]:
        """Stop counting a request as outstanding."""
        return self.cancel(completion.request_id, now)

    def adopt_running(
        self, request: WaitingRequest, upstream: str, output_tokens: int, now: float
    ) -> list[Decision]:
        """Count a running request as outstanding."""
        self._count(request.request_id, upstream)
        return []

    def announce(self, state: UpstreamState, now: float) -> tuple[bool, list[Decision]]:
        """Keep the newest state."""
        self._states_by_name[state.name] = state
        self._outstanding_by_name.setdefault(state.name, 0)
        waiting, self._waiting = self._waiting, []
        decisions = []
        for request in waiting:
            decisions += self.register(request, now)
        return True, decisions

    def set_limits(
        self, limits_by_workspace: dict[str, WorkspaceLimits], now: float
    ) -> list[Decision]:
        """Ignore the limits."""
        return []

    def tick(self, now: float) -> list[Decision]:
        """Do nothing."""
        return []

    def next_wake(self, now: float) -> float:
        """Return infinity: there are no ticks."""
        return float("inf")

    def describe(self, now: float) -> dict[str, object]:
        """Return the number of outstanding requests by upstream."""
        return dict(self._outstanding_by_name)

    def _count(self, request_id: str, name: str) -> None:
        self._upstream_by_id[request_id] = name
        before = self._outstanding_by_name.get(name, 0)
        self._outstanding_by_name[name] = before + 1

    def _pick_least(self, value_by_name: dict[str, float]) -> str:
        """Return the name with the minimum value; break ties at random."""
        least = min(value_by_name.values())
        names = [name for name, value in value_by_name.items() if value == least]
        return names[int(self._rng.integers(len(names)))]


class Random(Baseline):
    """Picks an upstream at random."""

    def pick(self) -> str:
        """Return the name of the upstream for the next request."""
        names = list(self._states_by_name)
        return names[int(self._rng.integers(len(names)))]


class RoundRobin(Baseline):
    """Picks one upstream after the other."""

    _next = 0

    def pick(self) -> str:
        """Return the name of the upstream for the next request."""
        names = list(self._states_by_name)
        self._next += 1
        return names[self._next % len(names)]


class LeastReportedLoad(Baseline):
    """Picks the upstream with the lowest load per slot in its newest load report."""

    def pick(self) -> str:
        """Return the name of the upstream for the next request."""
        return self._pick_least(
            {
                name: (state.load.running + state.load.waiting) / state.slots
                if state.load is not None
                else 0.0
                for name, state in self._states_by_name.items()
            }
        )


class LeastOutstanding(Baseline):
    """Picks the upstream with the fewest requests of this scheduler per slot."""

    def pick(self) -> str:
        """Return the name of the upstream for the next request."""
        return self._pick_least(
            {
                name: self._outstanding_by_name[name] / state.slots
                for name, state in self._states_by_name.items()
            }
        )


BASELINES_BY_NAME = {
    "random": Random,
    "round-robin": RoundRobin,
    "least-reported": LeastReportedLoad,
    "least-outstanding": LeastOutstanding,
}
