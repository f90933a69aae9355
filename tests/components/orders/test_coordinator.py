"""Orders under the epochs of pool owners, on fakes of upstream and control."""

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


def test_an_upstream_that_checks_fences_gets_its_order_at_once():
    async def main():
        issuer = make_issuer(fencing="checked")
        await issuer.async_pass(0)
        await issuer.async_pass(1)
        assert [(o.kind, o.argument, o.fence) for o in issuer.upstream.orders] == [
            ("role", "decode", 7)
        ]
        assert issuer.states == ["done"]

    run(main)


def test_the_old_owner_is_waited_out():
    """
    An owner dies while an upstream that ignores fences carries out its order.
    The next owner waits for the longest order time, so that the upstream never
    has two orders of two owners at once.
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
def test_a_frozen_owner_sends_nothing_when_it_wakes(cause):
    """
    An owner is frozen between its decision and the first byte. Another owner
    has been settled when it wakes; its order must not leave.
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
def test_a_lost_answer(labels, sent):
    """
    An order's answer is lost. An upstream that knows order ids gets the same
    one again; another one would do it twice, and gets no more.
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


def test_the_next_owner_does_not_repeat_an_order():
    """
    An owner sends an order to an upstream that does not know order ids, and
    dies. The next owner wants the same; the claim tells it that the order went
    out. Only a new generation, set by an operator, gives it again.
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


def test_control_away_while_an_order_is_due():
    """
    Control commits the claim of an order, but its answer is lost. The order was
    not sent: when control is back, the same claim is found to be the owner's
    own, and the order goes out once.
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


def test_a_newer_fence_stops_the_owner():
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


def test_an_error_does_not_keep_the_upstream_for_ever():
    """
    An engine's answer meets a fault of this process. Its order ends as unknown,
    and the engine gets the next one.
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
