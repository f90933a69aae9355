"""Bounds that refused requests exceeded, for the logs of an owner."""

from enum import StrEnum
from typing import NamedTuple


class RefusalBound(StrEnum):
    """The bound that a refused request exceeded.

    QUEUE_LENGTH: the number of requests that may wait in the pool. ARRIVAL: the wait
    expected on arrival. ARRIVAL_OBJECTIVE: the same, compared with the objective in a
    congested pool. DISPLACED: a request of a higher tier exceeded one of these three.
    OVERDUE: the wait expected once the objective was missed. QUEUED: the wait expected
    while it waits. LATEST_START: the time at which its caller gives up without an
    output. DEADLINE: the best service time of any upstream. ESTIMATE: the expected
    completion at each free upstream. NO_UPSTREAM: the time without any upstream.
    """

    QUEUE_LENGTH = "queue-length"
    ARRIVAL = "arrival"
    ARRIVAL_OBJECTIVE = "arrival-objective"
    DISPLACED = "displaced"
    OVERDUE = "overdue"
    QUEUED = "queued"
    LATEST_START = "latest-start"
    DEADLINE = "deadline"
    ESTIMATE = "estimate"
    NO_UPSTREAM = "no-upstream"


class ExceededBound(NamedTuple):
    """The bound that a request exceeded, with the wait expected and the one allowed.

    Both are in seconds, and None where the bound isn't one of an expected wait.
    """

    bound: RefusalBound
    expected_wait: float | None = None
    allowed_wait: float | None = None
