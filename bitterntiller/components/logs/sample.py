"""Which requests are told where there are too many to tell all of them."""

import xxhash

from bitterntiller.components.logs import const

_HASHES = 1 << 64


class RequestSample:
    """A part of all requests, halved until the lines about them are few enough.

    Each host chooses its part by its own lines, and whether a request is in a part
    follows from its id alone. So the requests of a smaller part are in each larger one,
    and what the busiest host tells is told by all: their stories are whole.
    """

    def __init__(self, now: float) -> None:
        self._halvings = 0
        self._offered = 0
        self._counting_since = now
        self.left_out = 0

    @property
    def fraction(self) -> float:
        """Return the part of the requests that is told."""
        return 0.5**self._halvings

    def includes(self, request_id: str) -> bool:
        """Count one line about a request; tell whether it is to be written."""
        self._offered += 1
        number = xxhash.xxh3_64_intdigest(request_id.encode("utf-8", "surrogatepass"))
        taken = number < self.fraction * _HASHES
        self.left_out += not taken
        return taken

    def adapt(self, now: float) -> bool:
        """Choose the part for the next lines; tell whether it has changed.

        The part grows again only where there is room for twice as many lines, so that
        it doesn't change each second.
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
