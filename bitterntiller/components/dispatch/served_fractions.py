"""How much of the recent requests of each tier was granted."""

from bitterntiller.components.dispatch.rate_meters import RateMeter

WINDOW_SECONDS = 2.0
"""Time constant of the counts. With 5 s, refusals of a burst that was over still
withheld the share of a tier, and its requests were refused while others were served."""

PRIOR_REQUESTS = 1.0
"""Number of granted requests that a tier without recent ones is taken to have had."""


class ServedFractions:
    """Counts the requests of each tier that arrived and that were granted."""

    def __init__(self) -> None:
        self._arrivals_by_rank: dict[int, RateMeter] = {}
        self._grants_by_rank: dict[int, RateMeter] = {}

    def record_arrival(self, rank: int, now: float) -> None:
        """Count a request that arrived, whether it is queued or refused."""
        _count(self._arrivals_by_rank, rank, now)

    def record_grant(self, rank: int, now: float) -> None:
        """Count a request that was granted."""
        _count(self._grants_by_rank, rank, now)

    def fraction(self, rank: int, now: float) -> float:
        """Return the fraction of a tier's recent requests that was granted, up to 1."""
        arrived = _recent(self._arrivals_by_rank, rank, now) + PRIOR_REQUESTS
        granted = _recent(self._grants_by_rank, rank, now) + PRIOR_REQUESTS
        return min(1.0, granted / arrived)


def _count(meters: dict[int, RateMeter], rank: int, now: float) -> None:
    meter = meters.get(rank)
    if meter is None:
        meter = meters[rank] = RateMeter(WINDOW_SECONDS, now)
    meter.add(1.0, now)


def _recent(meters: dict[int, RateMeter], rank: int, now: float) -> float:
    meter = meters.get(rank)
    return 0.0 if meter is None else WINDOW_SECONDS * meter.rate(now)
