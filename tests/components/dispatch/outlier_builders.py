"""Outlier states with scripted outcomes."""

from collections.abc import Collection

from bitterntiller.components.dispatch.outliers import (
    OutlierChange,
    OutlierDetector,
    OutlierState,
)

NAMES = ("e0", "e1", "e2", "e3")
NOW = 1000.0


def states(*names: str, samples: int = 20) -> dict[str, OutlierState]:
    """Return the states of upstreams, all but the first one with successes."""
    by_name = {name: OutlierState() for name in names or NAMES}
    for state in list(by_name.values())[1:]:
        fail(state, NOW, 0, samples)
    return by_name


def record(
    state: OutlierState, request_id: str, now: float, failed: bool, host: str = "host"
) -> None:
    """Record a request that ended at once."""
    state.record_grant(request_id, host)
    if failed:
        state.record_failure(request_id, now)
    else:
        state.record_success(request_id, now)
    state.forget(request_id)


def fail(state: OutlierState, now: float, failures: int, successes: int = 0) -> None:
    """Record a number of failures and successes."""
    for number in range(failures + successes):
        record(state, f"q{number}", now, failed=number < failures)


def review(
    by_name: dict[str, OutlierState], now: float, groups: Collection = ()
) -> dict[str, OutlierChange]:
    """Return the changes of a review."""
    return OutlierDetector().review(by_name, list(groups), now)


def eject(by_name: dict[str, OutlierState], name: str, now: float) -> float:
    """Eject an upstream by its failures among successes of others; return when."""
    for other, state in by_name.items():
        fail(state, now, 10 if other == name else 0, 10)
    assert review(by_name, now)[name].ejected
    return now
