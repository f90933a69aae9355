"""Data of streams that go on in another attempt; times in seconds."""

from typing import NamedTuple

from bitterntiller.components.config.models import Route


class Beginning(NamedTuple):
    """The service and the software version that began a stream."""

    pool: str
    version: str


class BegunStream(NamedTuple):
    """What brought the first event of a stream.

    beginning is None if different ones were reported. at is when the newest attempt
    brought an event, on the clock of the host that keeps the record.
    """

    beginning: Beginning | None
    at: float


class Answer(NamedTuple):
    """The answer of a host that may remember a stream.

    beginning is set if the host knows it. conflict states that the host was told of two
    different ones, and settled that it has been up long enough to have been told of it.
    """

    beginning: Beginning | None = None
    age: float = 0.0
    conflict: bool = False
    settled: bool = True


class LastStream(NamedTuple):
    """The newest stream of a route that has begun here, at a time of this host."""

    route: Route
    beginning: Beginning
    at: float
