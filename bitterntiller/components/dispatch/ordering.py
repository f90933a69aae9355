"""Orders of the waiting requests of one workspace in one tier."""

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
    """Gives the place of a request; it must not change while it waits."""

    def key(self, job: Job) -> float:
        """Return the place; lower is sooner."""
        ...


class Fifo:
    """In order of arrival."""

    def key(self, job: Job) -> float:
        """Return the time of arrival."""
        return job.request.arrived


class EarliestDeadline:
    """Whose deadline comes first."""

    def key(self, job: Job) -> float:
        """Return the deadline."""
        return job.request.deadline


class LeastSlack:
    """Who must begin first so that it ends in time."""

    def key(self, job: Job) -> float:
        """Return the latest time to begin."""
        return job.request.deadline - job.work


class ShortestWithAgeing:
    """The least expected service first.

    Each second of waiting makes up for some service, which is the same as
    adding the service, times the ageing, to the time of arrival. So no request
    is overtaken by one that arrives later than its own service times the
    ageing: long work can't starve.
    """

    def __init__(self, ageing: float) -> None:
        self._ageing = ageing

    def key(self, job: Job) -> float:
        """Return the time of arrival and the aged service."""
        return job.request.arrived + self._ageing * job.work


def new_ordering(parameters: PolicyParameters) -> Ordering:
    """Return the ordering that the parameters name."""
    return {
        ORDER_FIFO: Fifo(),
        ORDER_EARLIEST_DEADLINE: EarliestDeadline(),
        ORDER_LEAST_SLACK: LeastSlack(),
        ORDER_SHORTEST: ShortestWithAgeing(parameters.ageing),
    }[parameters.order]
