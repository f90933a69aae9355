"""All runs of an experiment, spread over processes of the tool."""

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from bench.cases import CASES_BY_NAME, LOADS, UNLOADED
from bench.deployments import POOLS_BY_NAME
from bench.measures import Measures
from bench.models import RunSpec
from bench.run import run
from bench.schedulers import SCHEDULERS

DURATION_SECONDS = 160.0
QUICK_DURATION_SECONDS = 80.0
QUICK_SEEDS = 2
QUICK_CASES = ("calm", "bursty")
QUICK_LOADS = (0.5, 1.5, 3.0)
FIRST_SEED = 100


class Plan(NamedTuple):
    """Which runs to do."""

    pools: tuple[str, ...]
    cases: tuple[str, ...]
    loads: tuple[float, ...]
    schedulers: tuple[str, ...]
    seeds: int
    duration: float
    parameters: tuple[tuple[str, object], ...] = ()


def full_plan(seeds: int) -> Plan:
    """Return the plan of the whole matrix."""
    return Plan(
        tuple(POOLS_BY_NAME),
        tuple(CASES_BY_NAME),
        LOADS,
        SCHEDULERS,
        seeds,
        DURATION_SECONDS,
    )


def quick_plan() -> Plan:
    """Return a plan that takes seconds."""
    return full_plan(QUICK_SEEDS)._replace(
        cases=QUICK_CASES, loads=QUICK_LOADS, duration=QUICK_DURATION_SECONDS
    )


def specs(plan: Plan) -> Iterator[RunSpec]:
    """Yield the runs of a plan, the costly ones first."""
    cells = [(case, load) for load in plan.loads for case in plan.cases]
    cells.append(("calm", UNLOADED))
    cells = list(dict.fromkeys(cells))
    for case, load in sorted(cells, key=lambda cell: -cell[1]):
        for pool in plan.pools:
            for number in range(plan.seeds):
                for scheduler in plan.schedulers:
                    seed = FIRST_SEED + number
                    yield RunSpec(
                        pool,
                        case,
                        load,
                        seed,
                        scheduler,
                        plan.duration,
                        plan.parameters,
                    )


def run_all(plan: Plan, jobs: int) -> list[Measures]:
    """Do all runs of a plan in some processes; the order is that of specs()."""
    if jobs == 1:
        return [run(spec) for spec in specs(plan)]
    with ProcessPoolExecutor(jobs) as executor:
        return list(executor.map(run, specs(plan), chunksize=2))
