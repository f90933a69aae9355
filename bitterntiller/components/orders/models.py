"""Orders and the upstreams that get them; times in seconds of this host's clock."""

from typing import NamedTuple


class DesiredOrder(NamedTuple):
    """What the labels of a service want of an upstream."""

    kind: str
    argument: str


class OrderedUpstream(NamedTuple):
    """An upstream as it announced itself last."""

    name: str
    address: str
    incarnation: int
    leaving: bool
    labels: dict[str, str]
    last_announced_at: float


class Order(NamedTuple):
    """One order; order_id is the same whichever owner of the pool gives it."""

    order_id: str
    upstream: str
    address: str
    kind: str
    argument: str
    fence: int
    idempotent: bool


class OrderRecord(NamedTuple):
    """What became of an order in this epoch; state is one of const.STATE_."""

    order: Order
    state: str
    sent_at: float
    attempts: int
    text: str = ""


class OrderOutcome(NamedTuple):
    """How the sending of an order ended; state is one of const.STATE_."""

    state: str
    text: str
