"""Tables of the results in Markdown, with the targets and whether they are met."""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

import numpy as np

from bench.cases import UNLOADED_LOAD
from bench.measures import Measures
from bench.schedulers import POLICY

TARGET_TOP_TIER = 0.95
TARGET_GOODPUT = 1.3
TARGET_WASTED = 0.25
TARGET_LIGHT = 0.98
LIGHT_LOAD = 0.5
TARGET_LOADS = (1.5, 3.0)
GOODPUT_LOAD = 1.5
CALM = "calm"


class Cell(NamedTuple):
    """One cell of the matrix of pools, cases and loads."""

    pool: str
    case: str
    load: float


class Spread(NamedTuple):
    """Median, minimum and maximum over the seeds."""

    median: float
    minimum: float
    maximum: float

    def text(self, digits: int = 2) -> str:
        """Return the median and the range as text."""
        return (
            f"{self.median:.{digits}f} ({self.minimum:.{digits}f} to "
            f"{self.maximum:.{digits}f})"
        )


class Comparison(NamedTuple):
    """The policy in one cell compared with the best baseline for each measure.

    Ratios are of medians; the spreads are over the seeds. A wasted_ratio of None means
    that neither wasted anything.
    """

    cell: Cell
    goodput: Spread
    best_goodput: Spread
    best_name: str
    goodput_ratio: float
    token_ratio: float
    top: Spread
    top_ratio: float
    best_top_ratio: float
    wasted: Spread
    best_wasted: Spread
    wasted_ratio: float | None
    recomputed: float
    best_recomputed: float


def spread(values: Iterable[float]) -> Spread:
    """Return median, minimum and maximum."""
    numbers = list(values)
    return Spread(float(np.median(numbers)), min(numbers), max(numbers))


def top_fraction(measures: Measures) -> float:
    """Return the fraction of the highest tier's requests that were useful."""
    top = next(iter(measures["tiers"].values()))
    return top["useful"] / max(1, top["offered"])


def compare(results: list[Measures]) -> list[Comparison]:
    """Return one comparison for each cell, ordered by pool, case and load."""
    runs: dict[Cell, dict[str, list[Measures]]] = defaultdict(lambda: defaultdict(list))
    for measures in results:
        cell = Cell(measures["pool"], measures["case"], measures["load"])
        runs[cell][measures["scheduler"]].append(measures)
    unloaded = {
        (cell.pool, name): spread(map(top_fraction, group)).median
        for cell, by_name in runs.items()
        if cell.load == UNLOADED_LOAD
        for name, group in by_name.items()
    }
    cells = sorted(runs, key=lambda cell: (cell.pool, cell.case, cell.load))
    return [_compare(cell, runs[cell], unloaded) for cell in cells]


def _compare(
    cell: Cell,
    runs_by_name: dict[str, list[Measures]],
    unloaded: dict[tuple[str, str], float],
) -> Comparison:
    def spreads(field: str) -> dict[str, Spread]:
        return {
            name: spread(measures[field] for measures in group)
            for name, group in runs_by_name.items()
        }

    goodput, tokens = spreads("goodput"), spreads("goodput_tokens")
    wasted, recomputed = spreads("wasted"), spreads("recomputed")
    baselines = [name for name in runs_by_name if name != POLICY]
    best = max(baselines, key=lambda name: goodput[name].median)
    best_tokens = max(tokens[name].median for name in baselines)
    best_wasted = min((wasted[name] for name in baselines), key=lambda s: s.median)
    tops = {
        name: spread(map(top_fraction, group)) for name, group in runs_by_name.items()
    }
    top_ratios = {
        name: tops[name].median / unloaded.get((cell.pool, name), 1.0)
        for name in runs_by_name
    }
    return Comparison(
        cell=cell,
        goodput=goodput[POLICY],
        best_goodput=goodput[best],
        best_name=best,
        goodput_ratio=goodput[POLICY].median / goodput[best].median,
        token_ratio=tokens[POLICY].median / best_tokens,
        top=tops[POLICY],
        top_ratio=top_ratios[POLICY],
        best_top_ratio=max(top_ratios[name] for name in baselines),
        wasted=wasted[POLICY],
        best_wasted=best_wasted,
        wasted_ratio=_ratio(wasted[POLICY].median, best_wasted.median),
        recomputed=recomputed[POLICY].median,
        best_recomputed=min(recomputed[name].median for name in baselines),
    )


def _ratio(value: float, base: float) -> float | None:
    if base == 0:
        return None if value == 0 else float("inf")
    return value / base


def met_targets(comparison: Comparison) -> dict[str, bool]:
    """Return for each target that applies to this cell whether it is met."""
    load = comparison.cell.load
    met = {}
    if load in TARGET_LOADS:
        met["top tier"] = comparison.top_ratio >= TARGET_TOP_TIER
        ratio = comparison.wasted_ratio
        met["wasted"] = ratio is None or ratio <= TARGET_WASTED
    if load == GOODPUT_LOAD:
        met["goodput"] = comparison.goodput_ratio >= TARGET_GOODPUT
    if load == LIGHT_LOAD:
        met["light load"] = comparison.goodput_ratio >= TARGET_LIGHT
    return met


def report(results: list[Measures]) -> str:
    """Return all tables as one Markdown text."""
    comparisons = compare(results)
    seeds = len({measures["seed"] for measures in results})
    lines = [f"{len(results)} runs, {seeds} seeds; median (minimum to maximum).", ""]
    lines += _targets_table(comparisons)
    for pool in dict.fromkeys(comparison.cell.pool for comparison in comparisons):
        rows = [c for c in comparisons if c.cell.pool == pool]
        lines += ["", f"### {pool}", "", *_pool_table(rows)]
    lines += ["", "### Refusals and times of the policy", "", *_tier_table(results)]
    lines += [
        "",
        "### Cases below the best baseline",
        "",
        *_below_baseline(comparisons),
    ]
    return "\n".join(lines) + "\n"


def _row(*cells: object) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def _header(*names: str) -> list[str]:
    return [_row(*names), _row(*("---" for _ in names))]


def _targets_table(comparisons: list[Comparison]) -> list[str]:
    met: dict[tuple[str, str, float], list[bool]] = defaultdict(list)
    for comparison in comparisons:
        cell = comparison.cell
        for target, is_met in met_targets(comparison).items():
            met[target, cell.pool, cell.load].append(is_met)
    lines = _header("target", "pool", "load", "cases met", "of")
    for (target, pool, load), flags in sorted(met.items()):
        lines.append(_row(target, pool, load, sum(flags), len(flags)))
    return lines


def _pool_table(comparisons: list[Comparison]) -> list[str]:
    lines = _header(
        "case",
        "load",
        "goodput/s",
        "best baseline",
        "ratio",
        "tokens ratio",
        "top tier of unloaded",
        "baselines' best",
        "wasted",
        "ratio",
        "recomputed",
        "baselines' minimum",
        "missed",
    )
    for item in comparisons:
        missed = [target for target, is_met in met_targets(item).items() if not is_met]
        ratio = "-" if item.wasted_ratio is None else f"{item.wasted_ratio:.2f}"
        lines.append(
            _row(
                item.cell.case,
                item.cell.load,
                item.goodput.text(),
                f"{item.best_name} {item.best_goodput.text()}",
                f"{item.goodput_ratio:.2f}",
                f"{item.token_ratio:.2f}",
                f"{item.top_ratio:.3f} ({item.top.minimum:.2f} to "
                f"{item.top.maximum:.2f})",
                f"{item.best_top_ratio:.2f}",
                item.wasted.text(0),
                ratio,
                f"{item.recomputed:.0f}",
                f"{item.best_recomputed:.0f}",
                ", ".join(missed) or "-",
            )
        )
    return lines


def _tier_table(results: list[Measures]) -> list[str]:
    """Return the policy's refusals, waits and first tokens by tier in calm runs."""
    lines = _header(
        "pool",
        "load",
        "tier",
        "useful of offered",
        "refused",
        "gave up waiting",
        "gave up running",
        "wait p50, p95 s",
        "first token p50, p95 s",
    )
    groups: dict[tuple[str, float, str], list] = defaultdict(list)
    for measures in results:
        if measures["scheduler"] != POLICY or measures["case"] != CALM:
            continue
        for name, tier in measures["tiers"].items():
            groups[measures["pool"], measures["load"], name].append(tier)
    for (pool, load, name), tiers in sorted(groups.items()):
        offered = sum(tier["offered"] for tier in tiers)
        reasons: dict[str, int] = defaultdict(int)
        for tier in tiers:
            for reason, count in tier["refused_by_reason"].items():
                reasons[reason] += count
        lines.append(
            _row(
                pool,
                load,
                name,
                f"{sum(tier['useful'] for tier in tiers) / offered:.3f}",
                ", ".join(
                    f"{reason} {count / offered:.3f}"
                    for reason, count in sorted(reasons.items())
                )
                or "-",
                f"{sum(tier['gave_up_waiting'] for tier in tiers) / offered:.3f}",
                f"{sum(tier['gave_up_running'] for tier in tiers) / offered:.3f}",
                _percentile_text([tier["wait_percentiles"] for tier in tiers]),
                _percentile_text([tier["first_token_percentiles"] for tier in tiers]),
            )
        )
    return lines


def _percentile_text(percentiles: list[list[float]]) -> str:
    known = [pair for pair in percentiles if pair]
    if not known:
        return "-"
    return ", ".join(f"{value:.2f}" for value in np.median(known, axis=0))


def _below_baseline(comparisons: list[Comparison]) -> list[str]:
    lines = [
        f"- {item.cell.pool}, {item.cell.case}, load {item.cell.load}: goodput "
        f"{item.goodput_ratio:.2f} of {item.best_name}"
        for item in comparisons
        if item.goodput_ratio < 1.0
    ]
    return lines or ["None."]
