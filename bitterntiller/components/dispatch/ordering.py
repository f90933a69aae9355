"""Orderings of the waiting requests of one workspace in one tier."""

from typing import Protocol

from bitterntiller.components.dispatch.const import (
    ORDER_EARLIEST_DEADLINE,
    ORDER_FIFO,
    ORDER_LEAST_SLACK,
    ORDER_SHORTEST,
)
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import PolicyParameters


class Ordering(Protocol):
    """Sort key of requests; it must not change while a request waits."""

    def key(self, job: Job) -> float:
        """Return the sort key; the lowest comes first."""
        ...


class Fifo:
    """First come, first served."""

    def key(self, job: Job) -> float:
        """Return the time of arrival."""
        return job.request.arrived


class EarliestDeadline:
    """Earliest deadline first."""

    def key(self, job: Job) -> float:
        """Return the deadline."""
        return job.request.deadline


class LeastSlack:
    """Least slack first: the request that must start first to end in time."""

    def key(self, job: Job) -> float:
        """Return the latest start time."""
        return job.request.deadline - job.work


class ShortestWithAgeing:
    """Shortest job first, with ageing.

    The key is the time of arrival plus ageing times the expected service time. A
    request is therefore never overtaken by one that arrives more than ageing times its
    own service time later, and long work can't starve.
    """

    def __init__(self, ageing: float) -> None:
        self._ageing = ageing

    def key(self, job: Job) -> float:
        """Return the time of arrival plus the weighted service time."""
        return job.request.arrived + self._ageing * job.work


def new_ordering(parameters: PolicyParameters) -> Ordering:
    """Return the ordering that the parameters select."""
    return {
        ORDER_FIFO: Fifo(),
        ORDER_EARLIEST_DEADLINE: EarliestDeadline(),
        ORDER_LEAST_SLACK: LeastSlack(),
        ORDER_SHORTEST: ShortestWithAgeing(parameters.ageing),
    }[parameters.order]
