"""From labels to orders; pure."""

import xxhash

from bitterntiller.components.config.const import (
    LABEL_ORDER_LOADS_AT_ONCE,
    LABEL_ORDER_SECONDS,
)
from bitterntiller.components.config.models import Service
from bitterntiller.components.orders import const
from bitterntiller.components.orders.models import DesiredOrder, Order, OrderedUpstream


def wants_orders(service: Service) -> bool:
    """Tell whether a service has labels that order something."""
    kinds = const.LABEL_BY_KIND.values()
    return any(label.partition("/")[0] in kinds for label in service.labels)


def desired_orders_of(
    service: Service, upstream: OrderedUpstream
) -> list[DesiredOrder]:
    """Return what a service wants of an upstream and does not yet have.

    The label order_load names, separated by commas, what is to be loaded on all
    upstreams that the service's selector chooses; order_load/generation=g2 only
    on those of them with that label. order_unload and order_role likewise.
    """
    if not service.selector.chooses(upstream.labels):
        return []
    return [
        wanted
        for kind in const.LABEL_BY_KIND
        for wanted in _desired_of_kind(kind, service, upstream)
        if not _is_satisfied(wanted, upstream)
    ]


def _desired_of_kind(
    kind: str, service: Service, upstream: OrderedUpstream
) -> list[DesiredOrder]:
    arguments: dict[str, None] = {}
    for label, value in sorted(service.labels.items()):
        name, _, condition = label.partition("/")
        if name != const.LABEL_BY_KIND[kind]:
            continue
        if condition and not _has(upstream, condition):
            continue
        arguments.update(dict.fromkeys(_split(value)))
    return [DesiredOrder(kind, argument) for argument in arguments]


def _has(upstream: OrderedUpstream, condition: str) -> bool:
    key, _, value = condition.partition("=")
    return upstream.labels.get(key) == value


def _split(value: str) -> list[str]:
    return [item.strip() for item in value.split(",") if item.strip()]


def _is_satisfied(wanted: DesiredOrder, upstream: OrderedUpstream) -> bool:
    """Tell whether the upstream's own labels say that nothing is to be done."""
    if wanted.kind == const.KIND_ROLE:
        return upstream.labels.get(const.UPSTREAM_LABEL_ROLE) == wanted.argument
    loaded = upstream.labels.get(const.UPSTREAM_LABEL_LOADED)
    if loaded is None:
        return False
    return (wanted.argument in _split(loaded)) == (wanted.kind == const.KIND_LOAD)


def make_order(
    service: Service, upstream: OrderedUpstream, wanted: DesiredOrder, fence: int
) -> Order:
    """Return the order for something wanted.

    The id depends on what is wanted alone, not on who orders it: an owner that
    takes over in the middle gives the same order again, not a second one.
    """
    generation = service.labels.get(const.LABEL_GENERATION, "")
    parts = (
        service.name,
        upstream.name,
        str(upstream.incarnation),
        wanted.kind,
        wanted.argument,
        generation,
    )
    return Order(
        order_id=xxhash.xxh3_128_hexdigest("\0".join(parts).encode()),
        upstream=upstream.name,
        address=upstream.address,
        kind=wanted.kind,
        argument=wanted.argument,
        fence=fence,
        idempotent=upstream.labels.get(const.UPSTREAM_LABEL_ORDERS)
        == const.ORDERS_IDEMPOTENT,
    )


def order_seconds(service: Service) -> float:
    """Return the longest time that an order to this service takes."""
    return float(service.labels.get(LABEL_ORDER_SECONDS, const.DEFAULT_SECONDS))


def loads_at_once(service: Service) -> int:
    """Return how many loads the weight store allows this service at a time."""
    value = service.labels.get(LABEL_ORDER_LOADS_AT_ONCE)
    return int(value) if value else const.DEFAULT_LOADS_AT_ONCE
