"""Counts the requests in flight of a pool by their fingerprints."""

from collections import Counter

from bitterntiller.components.dispatch.jobs import Job


class FingerprintsInFlight:
    """Counts by fingerprint the requests that a further crash could be due to.

    A request counts until it ends, and the parts of its prompt until its output begins.
    """

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()

    def count(self, fingerprint: int) -> int:
        """Return the number of requests in flight with a fingerprint."""
        return self._counts[fingerprint]

    def add(self, job: Job) -> None:
        """Count a request that is sent to an upstream."""
        self._change(_own(job), 1)
        job.awaits_output = job.tokens_seen == 0
        if job.awaits_output:
            self._change(job.request.parts, 1)

    def begin_output(self, job: Job) -> None:
        """Stop counting the parts of a request whose output has begun."""
        if job.awaits_output:
            job.awaits_output = False
            self._change(job.request.parts, -1)

    def remove(self, job: Job) -> None:
        """Stop counting a request."""
        self._change(_own(job), -1)
        self.begin_output(job)

    def _change(self, fingerprints: tuple[int, ...], by: int) -> None:
        for fingerprint in fingerprints:
            self._counts[fingerprint] += by
            if not self._counts[fingerprint]:
                del self._counts[fingerprint]


def _own(job: Job) -> tuple[int, ...]:
    """Return the fingerprint of the whole request, empty if it is unknown."""
    fingerprint = job.request.fingerprint
    return (fingerprint,) if fingerprint else ()
