"""The schedulers to compare, by name."""

import numpy as np

from bench.baselines import BASELINES_BY_NAME
from bench.models import PoolSpec
from bitterntiller.components.dispatch.const import KIND_ENGINE, KIND_PLAIN
from bitterntiller.components.dispatch.models import PolicyParameters, Scheduler
from bitterntiller.components.dispatch.scheduler import PoolScheduler

POLICY = "policy"
LEAST_REPORTED = "least-reported"
SCHEDULERS = (POLICY, *BASELINES_BY_NAME)


def make_scheduler(
    name: str,
    pool: PoolSpec,
    rng: np.random.Generator,
    parameters: tuple[tuple[str, object], ...] = (),
) -> Scheduler:
    """Return a new scheduler with no state."""
    if name == POLICY:
        plain = pool.upstreams[0].plain
        kind = KIND_PLAIN if plain else KIND_ENGINE
        return PoolScheduler(PolicyParameters(kind=kind, **dict(parameters)))
    return BASELINES_BY_NAME[name](rng)
