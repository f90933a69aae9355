"""Orders across changes of the pool owner, on fakes of upstream and control."""

import curio
import pytest

from bitterntiller.components.control.state import ControlState
from bitterntiller.components.orders.models import OrderOutcome

from .builders import FakeControl, Issuer, make_service

LOST = OrderOutcome("unknown", "the connection broke")
SERVICE = make_service(order_role="decode")


def make_issuer(control=None, service=SERVICE, **fields):
    return Issuer(service, control or FakeControl(ControlState()), **fields)


def run(main):
    curio.run(main)


def test_upstream_that_checks_fences_gets_orders_at_once():
    async def main():
        issuer = make_issuer(fencing="checked")
        await issuer.async_pass(0)
        await issuer.async_pass(1)
        assert [(o.kind, o.argument, o.fence) for o in issuer.upstream.orders] == [
            ("role", "decode", 7)
        ]
        assert issuer.states == ["done"]

    run(main)


def test_orders_wait_for_the_previous_owner():
    """
    An owner dies while an upstream that ignores fences executes its order. The next
    owner waits for the maximum order duration, so that the upstream never executes
    orders of two owners at the same time.
    """

    async def main():
        issuer = make_issuer(fencing="ignored")
        await issuer.async_pass(0)
        await issuer.async_pass(59)
        assert issuer.upstream.orders == []
        await issuer.async_pass(2)
        assert len(issuer.upstream.orders) == 1
        issuer.views.epoch = 9
        issuer.labels["role"] = "prefill"
        await issuer.async_pass(1)
        await issuer.async_pass(59)
        assert len(issuer.upstream.orders) == 1

    run(main)


@pytest.mark.parametrize("cause", ["lease", "host", "epoch"])
def test_frozen_owner_sends_nothing_when_it_resumes(cause):
    """
    An owner is frozen between its decision and the first byte of the order. When it
    resumes, another owner has been assigned, and the order must not be sent.
    """

    async def main():
        control = FakeControl(ControlState())
        issuer = make_issuer(control, fencing="checked")

        async def freeze(claim, timeout):
            change = {"lease": ("leased", False), "host": ("host", "x")}
            setattr(issuer.views, *change.get(cause, ("epoch", 8)))
            return await control.async_call(claim, timeout)

        issuer.coordinator._claims._call_leader = freeze
        await issuer.async_pass(0)
        assert issuer.upstream.orders == []
        record = next(iter(control.state.claims.records_by_key.values()))
        assert record.state == "voided"

    run(main)


@pytest.mark.parametrize(
    ("labels", "sent"), [({"orders": "idempotent"}, 2), ({}, 1)], ids=["knows", "not"]
)
def test_lost_response(labels, sent):
    """
    The response to an order is lost. An upstream that tracks order ids gets the same
    order again; any other one would execute it twice, so it is not repeated.
    """

    async def main():
        issuer = make_issuer(fencing="checked", **labels)
        issuer.upstream.answer = LOST
        await issuer.async_pass(0)
        issuer.upstream.answer = OrderOutcome("done", "200")
        await issuer.async_pass(6)
        await issuer.async_pass(6)
        assert len(issuer.upstream.orders) == sent
        assert len({order.order_id for order in issuer.upstream.orders}) == 1
        assert issuer.states == ["done" if sent == 2 else "unknown"]

    run(main)


def test_next_owner_does_not_repeat_an_order():
    """
    An owner sends an order to an upstream that does not track order ids, and dies. The
    claim shows the next owner that the order was sent. It is repeated only for a new
    generation, which an operator sets.
    """

    async def main():
        control = FakeControl(ControlState())
        first = make_issuer(control, fencing="checked")
        first.upstream.answer = LOST
        await first.async_pass(0)
        second = make_issuer(control, incarnation="b", fencing="checked")
        second.views.epoch = 9
        await second.async_pass(0)
        await second.async_pass(6)
        assert second.upstream.orders == []
        assert second.states == ["unknown"]
        second.views.service = make_service(order_role="decode", order_generation="2")
        await second.async_pass(6)
        assert len(second.upstream.orders) == 1

    run(main)


def test_control_unreachable_while_an_order_is_due():
    """
    Control commits the claim of an order, but its reply is lost, so the order is not
    sent. Once control replies again, it recognizes the claim as the owner's own, and
    the order is sent once.
    """

    async def main():
        control = FakeControl(ControlState())
        issuer = make_issuer(control, fencing="checked")
        control.answers = False
        await issuer.async_pass(0)
        assert issuer.states == ["not-sent"]
        control.answers = True
        await issuer.async_pass(6)
        await issuer.async_pass(6)
        assert len(issuer.upstream.orders) == 1
        assert issuer.states == ["done"]

    run(main)


def test_newer_fence_stops_the_owner():
    async def main():
        issuer = make_issuer(fencing="checked")
        issuer.upstream.answer = OrderOutcome("stale", "409")
        await issuer.async_pass(0)
        issuer.views.service = make_service(order_role="prefill")
        await issuer.async_pass(6)
        assert len(issuer.upstream.orders) == 1
        issuer.views.epoch = 9
        issuer.upstream.answer = OrderOutcome("done", "200")
        await issuer.async_pass(1)
        assert issuer.upstream.orders[-1].fence == 9

    run(main)


def test_error_does_not_block_the_upstream():
    """
    This process fails while handling an engine's response. The outcome of the order is
    unknown, and the engine still gets the next order.
    """

    async def main():
        issuer = make_issuer(fencing="checked")
        issuer.upstream.answer = None
        await issuer.async_pass(0)
        assert issuer.states == ["unknown"]
        issuer.upstream.answer = OrderOutcome("done", "200")
        issuer.views.service = make_service(order_role="prefill")
        await issuer.async_pass(1)
        assert issuer.states == ["unknown", "done"]

    run(main)
