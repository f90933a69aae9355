"""Compares a new version with the one that serves, by what their upstreams answered.

A matched comparison: both versions are counted over the same seconds and routes, under
the same trouble. Three shares are tested, each by route and over all: of failed
answers, of slow first outputs, and of slow whole answers, where slow is what few
requests are on the serving version. A test
looks at all windows that end now, so that a version that
turns bad later is found as soon as one that is bad from the start.
"""

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

from bitterntiller.components.rollouts.models import Cell, Counts

FALSE_POSITIVE_RATE = 1e-3
"""Rate at which one test finds a sound version bad."""

MIN_FAILURE_RATE = 0.01
"""Least share of failures that is expected of any version."""

MIN_SLOW_RATE = 0.08
"""Least share of slow answers that is expected of any version."""

MIN_UPSTREAMS_TO_TRIM = 3
FAILURE_TRIM_FRACTION = 0.25
SLOW_TRIM_FRACTION = 0.5
"""Upstreams of the new version from which the worst ones are left out of a comparison,
and the parts that are left out of failures and of times.

A fault of the version shows on all of them, that of a machine on one; machines of
unlike speed serve the same service.
"""

MAX_EXPECTED_RATE = 0.9
"""Highest share that is expected of any version, and compared with another one."""

BAD_FACTOR = 3.0
BAD_MARGIN = 0.1
"""How many times the expected share a bad version has, and how much more at least."""

PRIOR_TRIALS = 4.0
"""Answers of the serving version that weigh as much as what is expected of any."""

ALL_ROUTES = ""


class Proportion(NamedTuple):
    """Some of many trials."""

    hits: int
    trials: int


class Finding(NamedTuple):
    """The strongest evidence against a new version.

    weight is the logarithm of the odds against chance; test and route name what shows
    it, share is the new version's and expected the serving one's.
    """

    weight: float
    test: str
    route: str
    observed: Proportion
    expected: float

    def describe(self) -> str:
        """Return the finding in words, for operators."""
        where = f"on route {self.route}" if self.route else "over all routes"
        hits, trials = self.observed
        return (
            f"{self.test} {where}: {hits} of {trials}, "
            f"{self.expected:.3f} expected (weight {self.weight:.1f})"
        )


WeighEvidence = Callable[[Proportion, float], float]
"""Returns the logarithm of the odds against chance, given the expected share."""


def weigh_by_likelihood_ratio(observed: Proportion, expected: float) -> float:
    """Weigh by the likelihood ratio of several times the expected share (SPRT)."""
    bad = min(
        MAX_EXPECTED_RATE + BAD_MARGIN / 2,
        max(BAD_FACTOR * expected, expected + BAD_MARGIN),
    )
    miss_log_ratio = math.log((1 - bad) / (1 - expected))
    hit_log_ratio = math.log(bad / expected)
    return (
        observed.hits * hit_log_ratio
        + (observed.trials - observed.hits) * miss_log_ratio
    )


def weigh_by_mixture(observed: Proportion, expected: float) -> float:
    """Weigh by the Bayes factor of any higher share against the expected one.

    The alternative is a uniform prior over the shares above the expected one, taken at
    a few points, so that no single size of a fault has to be assumed.
    """
    if not observed.trials or observed.hits / observed.trials <= expected:
        return 0.0
    misses = observed.trials - observed.hits
    log_null = observed.hits * math.log(expected) + misses * math.log(1 - expected)
    points = [expected + (1 - expected) * part for part in _MIXTURE_POINTS]
    likelihoods = [
        observed.hits * math.log(point) + misses * math.log(1 - point) - log_null
        for point in points
    ]
    top = max(likelihoods)
    mean = sum(math.exp(item - top) for item in likelihoods) / len(likelihoods)
    return top + math.log(mean)


_MIXTURE_POINTS = (0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 0.9)
"""Parts of the way from the expected share to one, at which a mixture is evaluated."""


class RateTest(NamedTuple):
    """One share that is compared; least is the least that is expected of any version.

    left_out is the part of the upstreams with the highest shares that doesn't count.
    """

    name: str
    proportion_of: Callable[[Counts], Proportion]
    min_rate: float
    trim_fraction: float


RATE_TESTS = (
    RateTest(
        "failures",
        lambda seen: Proportion(seen.failed, seen.answered),
        MIN_FAILURE_RATE,
        FAILURE_TRIM_FRACTION,
    ),
    RateTest(
        "slow first outputs",
        lambda seen: Proportion(seen.slow_firsts, seen.firsts),
        MIN_SLOW_RATE,
        SLOW_TRIM_FRACTION,
    ),
    RateTest(
        "slow answers",
        lambda seen: Proportion(seen.slow_totals, seen.totals),
        MIN_SLOW_RATE,
        SLOW_TRIM_FRACTION,
    ),
)


def find_strongest(
    counts_by_cell: Mapping[Cell, Counts], weigh: WeighEvidence = weigh_by_mixture
) -> Finding | None:
    """Return the strongest evidence against the new version, None without any."""
    worst: Finding | None = None
    for route in _compared_routes(counts_by_cell):
        of_route = {
            cell: counts
            for cell, counts in counts_by_cell.items()
            if route in (ALL_ROUTES, cell.route)
        }
        for test in RATE_TESTS:
            found = _strongest_of_windows(of_route, test, route, weigh)
            if found is not None and (worst is None or found.weight > worst.weight):
                worst = found
    return worst


def revert_threshold() -> float:
    """Return the weight from which a version counts as bad."""
    return math.log(1 / FALSE_POSITIVE_RATE)


def count_responses(counts_by_cell: Mapping[Cell, Counts]) -> Proportion:
    """Return the failed ones of all answers of the new version."""
    new = [counts for cell, counts in counts_by_cell.items() if cell.upstream]
    return Proportion(
        sum(counts.failed for counts in new), sum(counts.answered for counts in new)
    )


def _compared_routes(counts_by_cell: Mapping[Cell, Counts]) -> list[str]:
    routes = {cell.route for cell in counts_by_cell if cell.upstream}
    if len(routes) < 2:
        return [ALL_ROUTES] * len(routes)
    return [ALL_ROUTES, *sorted(routes)]


def _strongest_of_windows(
    counts_by_cell: Mapping[Cell, Counts],
    test: RateTest,
    route: str,
    weigh: WeighEvidence,
) -> Finding | None:
    """Return the strongest evidence of any window that ends now."""
    new_by_second: dict[int, dict[str, Proportion]] = {}
    old_by_second: dict[int, Proportion] = {}
    for cell, counts in counts_by_cell.items():
        proportion = test.proportion_of(counts)
        if not cell.upstream:
            known = old_by_second.get(cell.second, Proportion(0, 0))
            old_by_second[cell.second] = _sum(known, proportion)
            continue
        by_upstream = new_by_second.setdefault(cell.second, {})
        known = by_upstream.get(cell.upstream, Proportion(0, 0))
        by_upstream[cell.upstream] = _sum(known, proportion)
    worst: Finding | None = None
    old = Proportion(0, 0)
    by_upstream: dict[str, Proportion] = {}
    for second in sorted(new_by_second.keys() | old_by_second.keys(), reverse=True):
        old = _sum(old, old_by_second.get(second, Proportion(0, 0)))
        for upstream, proportion in new_by_second.get(second, {}).items():
            by_upstream[upstream] = _sum(
                by_upstream.get(upstream, Proportion(0, 0)), proportion
            )
        new = _trimmed_sum(by_upstream, test.trim_fraction)
        if not new.trials:
            continue
        expected = _expected_rate(old, test.min_rate)
        weight = weigh(new, expected)
        if worst is None or weight > worst.weight:
            worst = Finding(weight, test.name, route, new, expected)
    return worst


def _expected_rate(old: Proportion, min_rate: float) -> float:
    """Return the share that a sound version may have, given the serving one's."""
    rate = (old.hits + PRIOR_TRIALS * min_rate) / (old.trials + PRIOR_TRIALS)
    error = math.sqrt(rate * (1 - rate) / (old.trials + PRIOR_TRIALS))
    return min(MAX_EXPECTED_RATE, max(min_rate, rate + error))


def _trimmed_sum(
    by_upstream: Mapping[str, Proportion], trim_fraction: float
) -> Proportion:
    """Sum over the upstreams, without those with the highest proportions."""
    proportions = [
        proportion for proportion in by_upstream.values() if proportion.trials
    ]
    if len(proportions) >= MIN_UPSTREAMS_TO_TRIM:
        proportions.sort(
            key=lambda proportion: (
                proportion.hits / proportion.trials,
                proportion.hits,
            )
        )
        proportions = proportions[
            : len(proportions) - max(1, int(trim_fraction * len(proportions)))
        ]
    return Proportion(
        sum(proportion.hits for proportion in proportions),
        sum(proportion.trials for proportion in proportions),
    )


def _sum(one: Proportion, other: Proportion) -> Proportion:
    return Proportion(one.hits + other.hits, one.trials + other.trials)
