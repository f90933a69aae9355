"""Orders and the upstreams that receive them; times in seconds of the host's clock."""

from typing import NamedTuple


class DesiredOrder(NamedTuple):
    """A change to an upstream that the labels of a service request."""

    kind: str
    argument: str


class OrderedUpstream(NamedTuple):
    """An upstream as of its last announcement."""

    name: str
    address: str
    incarnation: int
    leaving: bool
    labels: dict[str, str]
    last_announced_at: float


class Order(NamedTuple):
    """One order; order_id does not depend on the owner that sends it."""

    order_id: str
    upstream: str
    address: str
    kind: str
    argument: str
    fence: int
    idempotent: bool


class OrderRecord(NamedTuple):
    """The progress of an order in this epoch; state is one of const.STATE_*."""

    order: Order
    state: str
    sent_at: float
    attempts: int
    text: str = ""


class OrderOutcome(NamedTuple):
    """The outcome of sending an order; state is one of const.STATE_*."""

    state: str
    text: str
