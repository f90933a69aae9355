"""Sampling of the requests to log if there are too many."""

import xxhash

from bitterntiller.components.logs import const

_HASHES = 1 << 64


class RequestSample:
    """A sample of the requests, halved until its log lines are within the limit.

    Each host sets its fraction by its own number of lines, and whether a request is in
    a fraction depends only on its id. A smaller sample is therefore contained in each
    larger one, and a request that the busiest host logs is logged by all hosts.
    """

    def __init__(self, now: float) -> None:
        self._halvings = 0
        self._offered = 0
        self._counting_since = now
        self.left_out = 0

    @property
    def fraction(self) -> float:
        """The fraction of the requests that is logged."""
        return 0.5**self._halvings

    def includes(self, request_id: str) -> bool:
        """Count a line about a request; return whether to write it."""
        self._offered += 1
        number = xxhash.xxh3_64_intdigest(request_id.encode("utf-8", "surrogatepass"))
        included = number < self.fraction * _HASHES
        self.left_out += not included
        return included

    def adapt(self, now: float) -> bool:
        """Set the fraction for the next lines; return whether it changed.

        The fraction is doubled only if the lines would then be at most half of the
        limit, so that it does not change every second.
        """
        if now - self._counting_since < const.SAMPLE_SECONDS:
            return False
        lines_per_second = self._offered / (now - self._counting_since)
        self._counting_since, self._offered = now, 0
        before = self._halvings
        limit = const.REQUEST_LINES_PER_SECOND
        while (
            lines_per_second * self.fraction > limit
            and self._halvings < const.MAX_HALVINGS
        ):
            self._halvings += 1
        while self._halvings and lines_per_second * self.fraction * 4 <= limit:
            self._halvings -= 1
        return self._halvings != before
