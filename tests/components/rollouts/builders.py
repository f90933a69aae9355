"""Builders of orders, reports and evidence of rollouts."""

from typing import Any

from bitterntiller.components.rollouts.models import Cell, Counts
from bitterntiller.protocol import messages

POOL = "canopy-llm"


def order(to: str = "v2", pool: str = POOL, seconds: float = 12.0) -> Any:
    return messages.StartRollout(pool=pool, to=to, duration_ms=int(seconds * 1000))


def report(number: int, owner: str = "a/1", **fields: Any) -> Any:
    values = {
        "pool": POOL,
        "number": number,
        "owner": owner,
        "reached": 0,
        "exposed": 0,
        "old_running": 0,
        "wanted": 64,
        "evidence": [],
    }
    return messages.RolloutReport(**(values | fields))


def step(number: int, phase: str, pool: str = POOL) -> Any:
    return messages.RolloutStep(pool=pool, number=number, phase=phase, why="test")


def registered(name: str, version: str, state: str = "ready", pool: str = POOL) -> Any:
    return messages.Announce(
        name=name,
        pool=pool,
        address=f"10.0.0.{len(name)}:{sum(name.encode())}",
        incarnation=1,
        sequence=1,
        state=state,
        labels={"version": version},
        slots=4,
        kv_tokens=0,
        cache_events=[],
    )


def evidence(
    new: Counts,
    old: Counts,
    upstreams: int = 4,
    seconds: int = 4,
    route: str = "r",
) -> dict[Cell, Counts]:
    """Return evidence with the same counts for each second and candidate upstream."""
    found = {}
    for second in range(seconds):
        found[Cell(second, route, "")] = old
        for number in range(upstreams):
            found[Cell(second, route, f"n{number}")] = new
    return found
