"""State of a pool's scheduler for the state dump."""

from bitterntiller.components.dispatch.outliers import OutlierState
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.queue import PoolQueue
from bitterntiller.components.dispatch.stated_speed import StatedSpeed
from bitterntiller.components.dispatch.upstreams import Upstream
from bitterntiller.components.dispatch.wait_estimator import WaitEstimator


def describe(
    pool: Pool,
    queue: PoolQueue,
    wait_estimator: WaitEstimator,
    waiting: int,
    now: float,
) -> dict[str, object]:
    """Return the waiting work by tier, and the upstreams by name."""
    return {
        "uneven": pool.uneven,
        "failure_rate": round(pool.outliers.pool_failure_rate, 3),
        "waiting": waiting,
        "slots": pool.slots,
        "capacity": round(wait_estimator.capacity(), 3),
        "tiers_by_rank": {
            str(rank): {
                "waiting": tier.count,
                "work_seconds": round(tier.work, 3),
                "work_by_workspace": dict(tier.work_by_workspace),
                "retry_after": round(wait_estimator.retry_after(rank, now), 3),
            }
            for rank, tier in queue.tiers_by_rank.items()
        },
        "retries_by_rank": wait_estimator.return_times.describe(now),
        "upstreams_by_name": {
            name: _describe_upstream(upstream, now)
            | _describe_pace(upstream, now)
            | {
                "paused_seconds_by_host": _pauses(pool, name, now),
                "unreached_by_host": _unreached(pool, name, now),
            }
            for name, upstream in pool.upstreams_by_name.items()
        },
    }


def _describe_upstream(upstream: Upstream, now: float) -> dict[str, object]:
    ledger = upstream.ledger
    return {
        "address": upstream.state.address,
        "incarnation": upstream.state.incarnation,
        "sequence": upstream.state.sequence,
        "leaving": upstream.leaving,
        "heard_seconds_ago": round(now - upstream.last_announced_at, 3),
        "free": upstream.free,
        "sick": upstream.health.unhealthy,
        "outlier": _describe_outlier(upstream.outlier, now),
        "running": ledger.in_flight,
        "limit": upstream.limit.limit(upstream.state.slots),
        "concurrency": _concurrency(upstream, now),
        "rate_limit": upstream.rate_limiter.limit,
        "next_turn_seconds": round(upstream.rate_limiter.wait_seconds(now), 3),
        "foreign": round(ledger.foreign_requests(now), 2),
        "kv_tokens": ledger.kv_tokens,
        "prefill_seconds": round(ledger.prefill_backlog(upstream.speed, now), 3),
        "speed_scale": round(upstream.speed.scale, 3),
        "stated_work_time": _describe_stated(upstream.stated, now),
        "prefix_trust": round(upstream.prefixes.trust, 3),
    }


def _describe_stated(stated: StatedSpeed, now: float) -> dict[str, object]:
    """Return the newest statement, how many there were, and the factor in use."""
    age = stated.age(now)
    return {
        "percent": stated.percent,
        "age": None if age is None else round(age, 3),
        "samples": stated.samples,
        "factor": round(stated.factor(now), 3),
    }


def _describe_outlier(state: OutlierState, now: float) -> dict[str, object]:
    failures, samples = state.counts(now)
    age = state.age(now)
    return {
        "ejected": state.ejected,
        "wait_seconds": round(state.wait_seconds(now), 3),
        "ejections": state.ejections,
        "failures": failures,
        "samples": samples,
        "newest_seconds_ago": None if age is None else round(age, 3),
    }


def _describe_pace(upstream: Upstream, now: float) -> dict[str, object]:
    """Return the learned pace, empty if it isn't in effect."""
    return {"pace": upstream.pace.describe(now)} if upstream.paced else {}


def _concurrency(upstream: Upstream, now: float) -> dict[str, object]:
    """Return the learned limit, and the number of samples and their age."""
    learned = upstream.limit.learned
    age = learned.age(now)
    return {
        "learned": learned.learned(upstream.state.slots),
        "samples": learned.samples,
        "age_seconds": None if age is None else round(age, 3),
    }


def _unreached(pool: Pool, name: str, now: float) -> dict[str, float]:
    """Return the seconds since the path to an upstream failed last, by host."""
    return {
        host: round(now - at, 3) for host, at in pool.paths.unreached_by(name).items()
    }


def _pauses(pool: Pool, name: str, now: float) -> dict[str, float]:
    return {host: round(left, 3) for host, left in pool.pauses.hosts(name, now)}
