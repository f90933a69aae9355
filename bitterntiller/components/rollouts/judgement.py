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

FALSE_ALARM = 1e-3
"""Rate at which one test finds a sound version bad."""

LEAST_SHARE = 0.01
"""Least share of failures that is expected of any version."""

LEAST_SLOW_SHARE = 0.08
"""Least share of slow answers that is expected of any version."""

LEAST_UPSTREAMS = 3
FAILING_LEFT_OUT = 0.25
SLOW_LEFT_OUT = 0.5
"""Upstreams of the new version from which the worst ones are left out of a comparison,
and the parts that are left out of failures and of times.

A fault of the version shows on all of them, that of a machine on one; machines of
unlike speed serve the same service.
"""

MOST_EXPECTED = 0.9
"""Highest share that is expected of any version, and compared with another one."""

BAD_FACTOR = 3.0
BAD_MARGIN = 0.1
"""How many times the expected share a bad version has, and how much more at least."""

TRUST = 4.0
"""Answers of the serving version that weigh as much as what is expected of any."""

ALL_ROUTES = ""


class Share(NamedTuple):
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
    share: Share
    expected: float

    def describe(self) -> str:
        """Return the finding in words, for operators."""
        where = f"on route {self.route}" if self.route else "over all routes"
        hits, trials = self.share
        return (
            f"{self.test} {where}: {hits} of {trials}, "
            f"{self.expected:.3f} expected (weight {self.weight:.1f})"
        )


Weigh = Callable[[Share, float], float]
"""Returns the logarithm of the odds against chance, given the expected share."""


def weigh_by_ratio(share: Share, expected: float) -> float:
    """Weigh by the likelihood ratio of several times the expected share (SPRT)."""
    bad = min(
        MOST_EXPECTED + BAD_MARGIN / 2,
        max(BAD_FACTOR * expected, expected + BAD_MARGIN),
    )
    good_part = math.log((1 - bad) / (1 - expected))
    bad_part = math.log(bad / expected)
    return share.hits * bad_part + (share.trials - share.hits) * good_part


def weigh_by_mixture(share: Share, expected: float) -> float:
    """Weigh by the Bayes factor of any higher share against the expected one.

    The alternative is a uniform prior over the shares above the expected one, taken at
    a few points, so that no single size of a fault has to be assumed.
    """
    if not share.trials or share.hits / share.trials <= expected:
        return 0.0
    misses = share.trials - share.hits
    log_null = share.hits * math.log(expected) + misses * math.log(1 - expected)
    points = [expected + (1 - expected) * part for part in _MIXTURE]
    likelihoods = [
        share.hits * math.log(point) + misses * math.log(1 - point) - log_null
        for point in points
    ]
    top = max(likelihoods)
    mean = sum(math.exp(item - top) for item in likelihoods) / len(likelihoods)
    return top + math.log(mean)


_MIXTURE = (0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 0.9)
"""Parts of the way from the expected share to one, at which a mixture is evaluated."""


class Test(NamedTuple):
    """One share that is compared; least is the least that is expected of any version.

    left_out is the part of the upstreams with the highest shares that doesn't count.
    """

    name: str
    share_of: Callable[[Counts], Share]
    least: float
    left_out: float


TESTS = (
    Test(
        "failures",
        lambda seen: Share(seen.failed, seen.answered),
        LEAST_SHARE,
        FAILING_LEFT_OUT,
    ),
    Test(
        "slow first outputs",
        lambda seen: Share(seen.slow_firsts, seen.firsts),
        LEAST_SLOW_SHARE,
        SLOW_LEFT_OUT,
    ),
    Test(
        "slow answers",
        lambda seen: Share(seen.slow_totals, seen.totals),
        LEAST_SLOW_SHARE,
        SLOW_LEFT_OUT,
    ),
)


def find_worst(
    counts_by_cell: Mapping[Cell, Counts], weigh: Weigh = weigh_by_mixture
) -> Finding | None:
    """Return the strongest evidence against the new version, None without any."""
    worst: Finding | None = None
    for route in _routes(counts_by_cell):
        of_route = {
            cell: counts
            for cell, counts in counts_by_cell.items()
            if route in (ALL_ROUTES, cell.route)
        }
        for test in TESTS:
            found = _test(of_route, test, route, weigh)
            if found is not None and (worst is None or found.weight > worst.weight):
                worst = found
    return worst


def threshold() -> float:
    """Return the weight from which a version counts as bad."""
    return math.log(1 / FALSE_ALARM)


def answers(counts_by_cell: Mapping[Cell, Counts]) -> Share:
    """Return the failed ones of all answers of the new version."""
    new = [counts for cell, counts in counts_by_cell.items() if cell.upstream]
    return Share(
        sum(counts.failed for counts in new), sum(counts.answered for counts in new)
    )


def _routes(counts_by_cell: Mapping[Cell, Counts]) -> list[str]:
    routes = {cell.route for cell in counts_by_cell if cell.upstream}
    if len(routes) < 2:
        return [ALL_ROUTES] * len(routes)
    return [ALL_ROUTES, *sorted(routes)]


def _test(
    counts_by_cell: Mapping[Cell, Counts],
    test: Test,
    route: str,
    weigh: Weigh,
) -> Finding | None:
    """Return the strongest evidence of any window that ends now."""
    new_by_second: dict[int, dict[str, Share]] = {}
    old_by_second: dict[int, Share] = {}
    for cell, counts in counts_by_cell.items():
        share = test.share_of(counts)
        if not cell.upstream:
            known = old_by_second.get(cell.second, Share(0, 0))
            old_by_second[cell.second] = _sum(known, share)
            continue
        by_upstream = new_by_second.setdefault(cell.second, {})
        known = by_upstream.get(cell.upstream, Share(0, 0))
        by_upstream[cell.upstream] = _sum(known, share)
    worst: Finding | None = None
    old = Share(0, 0)
    by_upstream: dict[str, Share] = {}
    for second in sorted(new_by_second.keys() | old_by_second.keys(), reverse=True):
        old = _sum(old, old_by_second.get(second, Share(0, 0)))
        for upstream, share in new_by_second.get(second, {}).items():
            by_upstream[upstream] = _sum(by_upstream.get(upstream, Share(0, 0)), share)
        new = _without_worst(by_upstream, test.left_out)
        if not new.trials:
            continue
        expected = _expected(old, test.least)
        weight = weigh(new, expected)
        if worst is None or weight > worst.weight:
            worst = Finding(weight, test.name, route, new, expected)
    return worst


def _expected(old: Share, least: float) -> float:
    """Return the share that a sound version may have, given the serving one's."""
    share = (old.hits + TRUST * least) / (old.trials + TRUST)
    error = math.sqrt(share * (1 - share) / (old.trials + TRUST))
    return min(MOST_EXPECTED, max(least, share + error))


def _without_worst(by_upstream: Mapping[str, Share], left_out: float) -> Share:
    """Return the sum over the upstreams but those with the highest shares of hits."""
    shares = [share for share in by_upstream.values() if share.trials]
    if len(shares) >= LEAST_UPSTREAMS:
        shares.sort(key=lambda share: (share.hits / share.trials, share.hits))
        shares = shares[: len(shares) - max(1, int(left_out * len(shares)))]
    return Share(
        sum(share.hits for share in shares), sum(share.trials for share in shares)
    )


def _sum(one: Share, other: Share) -> Share:
    return Share(one.hits + other.hits, one.trials + other.trials)
