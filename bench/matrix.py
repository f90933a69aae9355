"""Runs a matrix of simulations on several processes."""

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from bench.cases import CASES_BY_NAME, LOADS, UNLOADED_LOAD
from bench.deployments import POOLS_BY_NAME
from bench.measures import Measures
from bench.models import RunSpec
from bench.run import run
from bench.schedulers import LEAST_REPORTED, POLICY, SCHEDULERS

DURATION_SECONDS = 120.0
QUICK_DURATION_SECONDS = 80.0
QUICK_SEEDS = 2
QUICK_CASES = ("calm", "bursty")
QUICK_LOADS = (0.5, 1.5, 3.0)
FIRST_SEED = 100

EQUIVALENT_CASE_FOR_BASELINES = {
    "late-reports": "calm",
    "lost-events": "calm",
    "comebacks": "bursty",
}
"""Cases in which a baseline has the same results as in another case.

Baselines ignore cache events and never refuse, and all but one ignore load reports;
their runs in these cases would repeat those of the other case."""


class Plan(NamedTuple):
    """The runs to do."""

    pools: tuple[str, ...]
    cases: tuple[str, ...]
    loads: tuple[float, ...]
    schedulers: tuple[str, ...]
    seeds: int
    duration: float
    parameters: tuple[tuple[str, object], ...] = ()


def full_plan(seeds: int) -> Plan:
    """Return the plan of the full matrix."""
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
    """Yield the runs of a plan, those with the highest load first."""
    cells = [(case, load) for load in plan.loads for case in plan.cases]
    cells.append(("calm", UNLOADED_LOAD))
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


def equivalent_spec(spec: RunSpec) -> RunSpec:
    """Return the spec whose run gives the same measures as this one."""
    if spec.scheduler == POLICY:
        return spec
    spec = spec._replace(parameters=())
    if spec.scheduler == LEAST_REPORTED and spec.case == "late-reports":
        return spec
    return spec._replace(case=EQUIVALENT_CASE_FOR_BASELINES.get(spec.case, spec.case))


def run_all(plan: Plan, jobs: int) -> list[Measures]:
    """Do all runs of a plan on some processes, and return them in order of specs()."""
    wanted = list(specs(plan))
    needed = list(dict.fromkeys(map(equivalent_spec, wanted)))
    with ProcessPoolExecutor(jobs) as executor:
        done = dict(zip(needed, executor.map(run, needed, chunksize=2), strict=True))
    return [
        Measures(**{**done[equivalent_spec(spec)], **spec._asdict()}) for spec in wanted
    ]
