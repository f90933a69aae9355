"""The orders that labels request, without I/O."""

import xxhash

from bitterntiller.components.config.const import (
    LABEL_ORDER_LOADS_AT_ONCE,
    LABEL_ORDER_SECONDS,
)
from bitterntiller.components.config.models import Service
from bitterntiller.components.orders import const
from bitterntiller.components.orders.models import DesiredOrder, Order, OrderedUpstream


def wants_orders(service: Service) -> bool:
    """Return whether a service has labels that request orders."""
    kinds = const.LABEL_BY_KIND.values()
    return any(label.partition("/")[0] in kinds for label in service.labels)


def desired_orders_of(
    service: Service, upstream: OrderedUpstream
) -> list[DesiredOrder]:
    """Return the changes that a service requests of an upstream, if not yet made.

    The label order_load lists, separated by commas, what to load on all upstreams that
    the service's selector matches; order_load/generation=g2 applies only to those of
    them with that label. order_unload and order_role work likewise.
    """
    if not service.selector.matches(upstream.labels):
        return []
    return [
        desired
        for kind in const.LABEL_BY_KIND
        for desired in _desired_of_kind(kind, service, upstream)
        if not _is_satisfied(desired, upstream)
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


def _is_satisfied(desired: DesiredOrder, upstream: OrderedUpstream) -> bool:
    """Return whether the upstream's own labels show the order as already done."""
    if desired.kind == const.KIND_ROLE:
        return upstream.labels.get(const.UPSTREAM_LABEL_ROLE) == desired.argument
    loaded = upstream.labels.get(const.UPSTREAM_LABEL_LOADED)
    if loaded is None:
        return False
    return (desired.argument in _split(loaded)) == (desired.kind == const.KIND_LOAD)


def make_order(
    service: Service, upstream: OrderedUpstream, desired: DesiredOrder, fence: int
) -> Order:
    """Return the order for a desired change.

    The id depends only on what is desired, not on the owner that sends it: an owner
    that takes over while an order is in progress sends the same order, not a new one.
    """
    generation = service.labels.get(const.LABEL_GENERATION, "")
    parts = (
        service.name,
        upstream.name,
        str(upstream.incarnation),
        desired.kind,
        desired.argument,
        generation,
    )
    return Order(
        order_id=xxhash.xxh3_128_hexdigest("\0".join(parts).encode()),
        upstream=upstream.name,
        address=upstream.address,
        kind=desired.kind,
        argument=desired.argument,
        fence=fence,
        idempotent=upstream.labels.get(const.UPSTREAM_LABEL_ORDERS)
        == const.ORDERS_IDEMPOTENT,
    )


def order_seconds(service: Service) -> float:
    """Return the maximum seconds that an order to an upstream of this service takes."""
    return float(service.labels.get(LABEL_ORDER_SECONDS, const.DEFAULT_SECONDS))


def loads_at_once(service: Service) -> int:
    """Return how many concurrent loads the weight store allows this service."""
    value = service.labels.get(LABEL_ORDER_LOADS_AT_ONCE)
    return int(value) if value else const.DEFAULT_LOADS_AT_ONCE
