"""Typical prefill time of the requests of each tier."""

MEAN_GAIN = 0.02
"""Weight of one request in the moving averages."""


class TypicalPrefill:
    """Learns the mean prefill seconds of each tier, weighted by the prefill itself.

    Few requests have long prompts, but they make up most of the prefill time. An
    unweighted mean would be that of the many short prompts.
    """

    def __init__(self) -> None:
        self._moments_by_rank: dict[int, tuple[float, float]] = {}

    def learn(self, rank: int, seconds: float) -> None:
        """Learn from the expected prefill of a new request."""
        square = seconds * seconds
        mean, mean_square = self._moments_by_rank.get(rank, (seconds, square))
        mean += MEAN_GAIN * (seconds - mean)
        mean_square += MEAN_GAIN * (square - mean_square)
        self._moments_by_rank[rank] = (mean, mean_square)

    def seconds(self, rank: int) -> float:
        """Return the typical prefill seconds of a tier, 0 before its first request."""
        mean, mean_square = self._moments_by_rank.get(rank, (0.0, 0.0))
        return mean_square / mean if mean else 0.0
