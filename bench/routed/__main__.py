"""Command line for simulating routed pools: python -m bench.routed play | compare."""

import json
import math
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from typing import Annotated

import cappa

from bench.routed.load import CASES
from bench.routed.sheets import load_sheets
from bench.routed.simulation import simulate

DEFAULT_SEEDS = 10
DEFAULT_JOBS = 4
FIGURES = (
    "worth",
    "worst_windows",
    "worst_kind",
    "in_time",
    "late",
    "refused_late",
    "largest",
    "held",
)
COMPARED = ("worth", "worst_windows", "worst_kind", "in_time", "largest", "held")
T_CRITICAL_95 = 2.26
"""Two-sided 95 % critical value of Student's t for the differences of ten pairs."""


@dataclass
class Play:
    """Simulate sheets and cases with the same seeds and save the scores as JSON."""

    out: Annotated[Path, cappa.Arg(long=True, help="file for the scores")]
    sheet: Annotated[list[str] | None, cappa.Arg(long=True)] = None
    case: Annotated[list[str] | None, cappa.Arg(long=True)] = None
    first: Annotated[int, cappa.Arg(long=True, help="the first seed")] = 1
    seeds: Annotated[int, cappa.Arg(long=True)] = DEFAULT_SEEDS
    jobs: Annotated[int, cappa.Arg(long=True, help="processes")] = DEFAULT_JOBS
    parameter: Annotated[
        list[str] | None, cappa.Arg(long=True, help="NAME=VALUE, the value as JSON")
    ] = None

    def __call__(self) -> None:
        """Run all simulations and write the scores."""
        changes = dict(map(_parameter, self.parameter or ()))
        sheets = self.sheet or list(load_sheets())
        cases = self.case or [case.name for case in CASES]
        seeds = range(self.first, self.first + self.seeds)
        runs = list(product(sheets, cases, seeds))
        with ProcessPoolExecutor(self.jobs) as pool:
            futures = [pool.submit(simulate, *run, changes) for run in runs]
            scores = [future.result()._asdict() for future in futures]
        results = [
            {"sheet": sheet, "case": case, "seed": seed, **figures}
            for (sheet, case, seed), figures in zip(runs, scores, strict=True)
        ]
        self.out.write_text(json.dumps(results))
        sys.stdout.write(_table(results))


def _parameter(text: str) -> tuple[str, object]:
    name, _, value = text.partition("=")
    return name, json.loads(value)


def _group_by_cell(results: list[dict]) -> dict[tuple[str, str], dict[int, dict]]:
    cells: dict[tuple[str, str], dict[int, dict]] = {}
    for item in results:
        cells.setdefault((item["sheet"], item["case"]), {})[item["seed"]] = item
    return cells


def _table(results: list[dict]) -> str:
    lines = [
        "| sheet | case | " + " | ".join(FIGURES) + " |",
        "| --- " * (2 + len(FIGURES)) + "|",
    ]
    for (sheet, case), by_seed in _group_by_cell(results).items():
        means = [
            f"{statistics.mean(item[name] for item in by_seed.values()):.3f}"
            for name in FIGURES
        ]
        lines.append(f"| {sheet} | {case} | " + " | ".join(means) + " |")
    return "\n".join(lines) + "\n"


@dataclass
class Compare:
    """Print the differences between two files of scores, paired by seed."""

    before: Path
    after: Path

    def __call__(self) -> None:
        """Print one row per cell: mean differences with standard errors.

        A star marks a difference that is significant at the 95 % level.
        """
        before = _group_by_cell(json.loads(self.before.read_text()))
        after = _group_by_cell(json.loads(self.after.read_text()))
        sys.stdout.write("| sheet | case | " + " | ".join(COMPARED) + " |\n")
        for cell in before.keys() & after.keys():
            row = [_difference(before[cell], after[cell], name) for name in COMPARED]
            sys.stdout.write(f"| {cell[0]} | {cell[1]} | " + " | ".join(row) + " |\n")


def _difference(before: dict[int, dict], after: dict[int, dict], name: str) -> str:
    seeds = sorted(before.keys() & after.keys())
    changes = [after[seed][name] - before[seed][name] for seed in seeds]
    mean = statistics.mean(changes)
    error = statistics.stdev(changes) / math.sqrt(len(changes))
    star = " *" if abs(mean) > T_CRITICAL_95 * error else ""
    return f"{mean:+.4f} ± {error:.4f}{star}"


@dataclass
class Lab:
    """Simulate the scheduling decisions of pools of routed requests."""

    subcommand: cappa.Subcommands[Play | Compare]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Lab)


if __name__ == "__main__":
    main()
