"""Command line of the scheduler simulations: python -m bench.policy run | report."""

import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from bench.matrix import full_plan, quick_plan, run_all
from bench.report import report

DEFAULT_SEEDS = 10
DEFAULT_JOBS = 4


@dataclass
class Run:
    """Run the schedulers over the matrix of cases and save the results."""

    out: Annotated[Path, cappa.Arg(long=True, help="file for the results, as JSON")]
    quick: Annotated[bool, cappa.Arg(long=True, help="a few short runs")] = False
    seeds: Annotated[int, cappa.Arg(long=True, help="seeds per cell")] = DEFAULT_SEEDS
    jobs: Annotated[int, cappa.Arg(long=True, help="processes")] = DEFAULT_JOBS
    pool: Annotated[list[str] | None, cappa.Arg(long=True)] = None
    case: Annotated[list[str] | None, cappa.Arg(long=True)] = None
    load: Annotated[list[float] | None, cappa.Arg(long=True)] = None
    scheduler: Annotated[list[str] | None, cappa.Arg(long=True)] = None
    parameter: Annotated[
        list[str] | None, cappa.Arg(long=True, help="NAME=VALUE of the policy, as JSON")
    ] = None

    def __call__(self) -> None:
        """Run the plan and write the results."""
        plan = quick_plan() if self.quick else full_plan(self.seeds)
        plan = plan._replace(
            pools=tuple(self.pool or plan.pools),
            cases=tuple(self.case or plan.cases),
            loads=tuple(self.load or plan.loads),
            schedulers=tuple(self.scheduler or plan.schedulers),
            parameters=tuple(map(_parse_parameter, self.parameter or ())),
        )
        started_at = time.monotonic()
        results = run_all(plan, self.jobs)
        self.out.write_text(json.dumps(results))
        seconds = time.monotonic() - started_at
        sys.stdout.write(f"{len(results)} runs in {seconds:.0f} s: {self.out}\n")


def _parse_parameter(text: str) -> tuple[str, object]:
    name, _, value = text.partition("=")
    return name, json.loads(value)


@dataclass
class Report:
    """Print the tables of saved results."""

    results: Path

    def __call__(self) -> None:
        """Write the report to standard output."""
        sys.stdout.write(report(json.loads(self.results.read_text())))


@dataclass
class Policy:
    """Simulate the scheduling decisions of the owner of a pool."""

    subcommand: cappa.Subcommands[Run | Report]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Policy)


if __name__ == "__main__":
    main()
