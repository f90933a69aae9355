"""Builders of services, upstreams and fakes for the tests of orders."""

import curio

from bitterntiller.components.config.models import Config, Selector, Service
from bitterntiller.components.orders.claims import OrderClaims
from bitterntiller.components.orders.coordinator import NodeViews, OrdersCoordinator
from bitterntiller.components.orders.models import OrderedUpstream, OrderOutcome
from bitterntiller.core.clock import ManualClock
from bitterntiller.core.interfaces import Ownership
from bitterntiller.protocol import decode, encode, messages
from tests.components.control.builders import apply, make_runtime


def make_service(**labels):
    labels = {"order_seconds": "60", **labels}
    return Service("llm", "engine", ("/v1",), (), Selector(), labels)


def make_upstream(name="bole-1", last_announced_at=0.0, **labels):
    return OrderedUpstream(name, "10.0.1.1:9001", 3, False, labels, last_announced_at)


class FakeViews:
    """Lease, configuration and directory of one process."""

    def __init__(self, service):
        self.service = service
        self.leased = True
        self.epoch = 7
        self.host = "kirkos-1"

    def valid(self):
        return self.leased

    @property
    def config(self):
        return Config(1, {"llm": self.service}, {}, {}, {})

    def owner(self, pool):
        return Ownership(self.host, "10.0.0.1:7000", self.epoch)


class FakeUpstream:
    """Records orders; returns the outcome that the test has set."""

    def __init__(self):
        self.orders = []
        self.answer = OrderOutcome("done", "200")

    async def async_send(self, order, may_send, timeout):
        if not may_send():
            return OrderOutcome("not-sent", "")
        self.orders.append(order)
        return self.answer


class FakeControl:
    """Claims in a real control state; replies are lost while answers is False."""

    def __init__(self, state):
        self.state = state
        self.index = 0
        self.answers = True

    async def async_call(self, claim, timeout):
        claim = decode(messages.Claim, encode(claim))
        self.index += 1
        reply = apply(self.state, self.index, claims=[claim]).claims[0]
        return reply if self.answers else None


class Issuer:
    """An owner of the pool llm with one upstream."""

    def __init__(self, service, control, clock=None, incarnation="a", **labels):
        self.clock = clock or ManualClock()
        self.views = FakeViews(service)
        self.upstream = FakeUpstream()
        self.labels = labels
        self.coordinator = OrdersCoordinator(
            make_runtime(self.clock),
            NodeViews(self.views, self.views, self.views),
            OrderClaims(control.async_call, "kirkos-1", incarnation),
            self.upstream.async_send,
        )

    async def async_pass(self, seconds):
        """Advance the clock, then record an announcement and issue the due orders."""
        self.clock.advance(seconds)
        self.coordinator.record_announcement(
            messages.Announce(
                name="bole-1",
                pool="llm",
                address="10.0.1.1:9001",
                incarnation=3,
                sequence=1,
                state="ready",
                labels=self.labels,
                slots=1,
                kv_tokens=1,
                cache_events=[],
            )
        )
        await self.coordinator.async_issue()
        for _ in range(6):
            await curio.sleep(0)

    @property
    def states(self):
        records = self.coordinator.orders_by_pool["llm"].records_by_id.values()
        return [record.state for record in records]
