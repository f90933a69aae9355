"""Sequential canary analysis: compares the candidate with the serving version.

The comparison is matched: both versions are counted over the same seconds and routes,
so that disturbances affect both. Three rates are tested, each per route and over all
routes: failed responses, slow first outputs and slow complete responses. Slow means
slower than most responses of the serving version. Each test evaluates all windows that
end now, so that a version that degrades later is detected as soon as one that is bad
from the start.
"""

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

from bitterntiller.components.rollouts.models import Cell, Counts

FALSE_POSITIVE_RATE = 1e-3
"""Accepted rate at which one test reverts a sound version."""

MIN_FAILURE_RATE = 0.01
"""Lower bound of the failure rate that is expected of any version."""

MIN_SLOW_RATE = 0.08
"""Lower bound of the rate of slow responses that is expected of any version."""

MIN_UPSTREAMS_TO_TRIM = 3
FAILURE_TRIM_FRACTION = 0.25
SLOW_TRIM_FRACTION = 0.5
"""Number of candidate upstreams from which the worst ones are excluded from a test, and
the fractions excluded from the tests of failures and of times.

A fault of the version shows on all upstreams, a fault of a machine on one. Machines of
different speeds serve the same service, so more are excluded from tests of times.
"""

MAX_EXPECTED_RATE = 0.9
"""Upper bound of the expected rate."""

BAD_FACTOR = 3.0
BAD_MARGIN = 0.1
"""The likelihood ratio assumes that a bad version has BAD_FACTOR times the expected
rate, and at least BAD_MARGIN more."""

PRIOR_TRIALS = 4.0
"""Weight of the rate expected of any version, in responses of the serving version."""

ALL_ROUTES = ""


class Proportion(NamedTuple):
    """A number of hits out of a number of trials."""

    hits: int
    trials: int


class Finding(NamedTuple):
    """Evidence against the candidate version, found by one test.

    weight is the weight of evidence: the logarithm of the likelihood ratio or Bayes
    factor. test and route say where it was found. observed is the proportion on the
    candidate version, expected the rate derived from the serving version.
    """

    weight: float
    test: str
    route: str
    observed: Proportion
    expected: float

    def describe(self) -> str:
        """Return a summary for operators."""
        where = f"on route {self.route}" if self.route else "over all routes"
        hits, trials = self.observed
        return (
            f"{self.test} {where}: {hits} of {trials}, "
            f"{self.expected:.3f} expected (weight {self.weight:.1f})"
        )


WeighEvidence = Callable[[Proportion, float], float]
"""Returns the weight of evidence of a proportion, given the expected rate."""


def weigh_by_likelihood_ratio(observed: Proportion, expected: float) -> float:
    """Return the log likelihood ratio of a bad rate to the expected one (SPRT)."""
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
    """Return the log Bayes factor of any higher rate to the expected one.

    The alternative is a uniform prior over the rates above the expected one, evaluated
    at a few points (mixture SPRT), so that no effect size has to be assumed.
    """
    if not observed.trials or observed.hits / observed.trials <= expected:
        return 0.0
    misses = observed.trials - observed.hits
    log_null = observed.hits * math.log(expected) + misses * math.log(1 - expected)
    points = [expected + (1 - expected) * fraction for fraction in _MIXTURE_POINTS]
    likelihoods = [
        observed.hits * math.log(point) + misses * math.log(1 - point) - log_null
        for point in points
    ]
    top = max(likelihoods)
    mean = sum(math.exp(item - top) for item in likelihoods) / len(likelihoods)
    return top + math.log(mean)


_MIXTURE_POINTS = (0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 0.9)
"""Points of the mixture, as fractions of the interval from the expected rate to 1."""


class RateTest(NamedTuple):
    """The test of one rate.

    min_rate is the lower bound of the expected rate. trim_fraction is the fraction of
    the upstreams with the highest rates that is excluded.
    """

    name: str
    proportion_of: Callable[[Counts], Proportion]
    min_rate: float
    trim_fraction: float


RATE_TESTS = (
    RateTest(
        "failures",
        lambda counts: Proportion(counts.failed, counts.answered),
        MIN_FAILURE_RATE,
        FAILURE_TRIM_FRACTION,
    ),
    RateTest(
        "slow first outputs",
        lambda counts: Proportion(counts.slow_firsts, counts.firsts),
        MIN_SLOW_RATE,
        SLOW_TRIM_FRACTION,
    ),
    RateTest(
        "slow answers",
        lambda counts: Proportion(counts.slow_totals, counts.totals),
        MIN_SLOW_RATE,
        SLOW_TRIM_FRACTION,
    ),
)


def find_strongest(
    counts_by_cell: Mapping[Cell, Counts], weigh: WeighEvidence = weigh_by_mixture
) -> Finding | None:
    """Return the strongest evidence against the candidate version, None without any."""
    strongest: Finding | None = None
    for route in _compared_routes(counts_by_cell):
        of_route = {
            cell: counts
            for cell, counts in counts_by_cell.items()
            if route in (ALL_ROUTES, cell.route)
        }
        for test in RATE_TESTS:
            found = _strongest_of_windows(of_route, test, route, weigh)
            if found is not None and (
                strongest is None or found.weight > strongest.weight
            ):
                strongest = found
    return strongest


def revert_threshold() -> float:
    """Return the weight of evidence at which a version is reverted."""
    return math.log(1 / FALSE_POSITIVE_RATE)


def count_responses(counts_by_cell: Mapping[Cell, Counts]) -> Proportion:
    """Return the proportion of failed responses of the candidate version."""
    candidate = [counts for cell, counts in counts_by_cell.items() if cell.upstream]
    return Proportion(
        sum(counts.failed for counts in candidate),
        sum(counts.answered for counts in candidate),
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
    """Return the strongest evidence over all windows that end now."""
    candidate_by_second: dict[int, dict[str, Proportion]] = {}
    serving_by_second: dict[int, Proportion] = {}
    for cell, counts in counts_by_cell.items():
        proportion = test.proportion_of(counts)
        if not cell.upstream:
            known = serving_by_second.get(cell.second, Proportion(0, 0))
            serving_by_second[cell.second] = _sum(known, proportion)
            continue
        by_upstream = candidate_by_second.setdefault(cell.second, {})
        known = by_upstream.get(cell.upstream, Proportion(0, 0))
        by_upstream[cell.upstream] = _sum(known, proportion)
    strongest: Finding | None = None
    serving = Proportion(0, 0)
    by_upstream: dict[str, Proportion] = {}
    for second in sorted(
        candidate_by_second.keys() | serving_by_second.keys(), reverse=True
    ):
        serving = _sum(serving, serving_by_second.get(second, Proportion(0, 0)))
        for upstream, proportion in candidate_by_second.get(second, {}).items():
            by_upstream[upstream] = _sum(
                by_upstream.get(upstream, Proportion(0, 0)), proportion
            )
        candidate = _trimmed_sum(by_upstream, test.trim_fraction)
        if not candidate.trials:
            continue
        expected = _expected_rate(serving, test.min_rate)
        weight = weigh(candidate, expected)
        if strongest is None or weight > strongest.weight:
            strongest = Finding(weight, test.name, route, candidate, expected)
    return strongest


def _expected_rate(serving: Proportion, min_rate: float) -> float:
    """Return the rate that a sound version may have, given the serving version's.

    It is the smoothed rate plus its standard error.
    """
    rate = (serving.hits + PRIOR_TRIALS * min_rate) / (serving.trials + PRIOR_TRIALS)
    error = math.sqrt(rate * (1 - rate) / (serving.trials + PRIOR_TRIALS))
    return min(MAX_EXPECTED_RATE, max(min_rate, rate + error))


def _trimmed_sum(
    by_upstream: Mapping[str, Proportion], trim_fraction: float
) -> Proportion:
    """Return the sum over the upstreams without those with the highest rates.

    With fewer than MIN_UPSTREAMS_TO_TRIM upstreams, none are left out.
    """
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
