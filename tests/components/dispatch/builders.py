"""Builders of requests, upstream states and completions."""

from typing import Any

from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.models import (
    Completion,
    Decision,
    Granted,
    UpstreamState,
    WaitingRequest,
)
from bitterntiller.components.dispatch.scheduler import PoolScheduler


def request(request_id: str = "r1", **changes: Any) -> WaitingRequest:
    """Return a small request of the top tier with a deadline in 30 seconds."""
    return WaitingRequest(
        request_id=request_id,
        workspace="foresters",
        tier="gold",
        tier_rank=0,
        prompt_tokens=200,
        output_tokens=50,
        arrived=1000.0,
        deadline=1030.0,
        entry_host="bole-1",
    )._replace(**changes)


def upstream(name: str = "engine-1", **changes: Any) -> UpstreamState:
    """Return the state of a ready engine with four slots."""
    return UpstreamState(
        name=name,
        address="127.0.0.1:9001",
        incarnation=1,
        sequence=1,
        leaving=False,
        labels={},
        slots=4,
        kv_tokens=100_000,
    )._replace(**changes)


def completion(request_id: str, name: str = "engine-1", **changes: Any) -> Completion:
    """Return the completion of a request that took one second."""
    return Completion(
        request_id=request_id,
        upstream=name,
        outcome="done",
        output_tokens=50,
        cached_tokens=0,
        first_token=0.2,
        total=1.0,
        in_time=True,
    )._replace(**changes)


def overrun(request_id: str, name: str = "engine-1", **changes: Any) -> Completion:
    """Return the completion of a request whose response had no end at its deadline."""
    return Completion(
        request_id=request_id,
        upstream=name,
        outcome="unknown",
        output_tokens=0,
        cached_tokens=None,
        first_token=None,
        total=2.0,
        in_time=False,
        fault="overrun",
    )._replace(**changes)


def registered_pool(*names: str, now: float, slots: int = 8) -> PoolScheduler:
    """Return the scheduler of a pool with some upstreams registered with control."""
    scheduler = PoolScheduler(REGISTERED_PARAMETERS)
    for name in names:
        scheduler.announce(upstream(name, slots=slots), now)
    return scheduler


def granted(decisions: list[Decision]) -> list[str]:
    """Return the upstreams of the grants among decisions."""
    return [item.upstream for item in decisions if isinstance(item, Granted)]
