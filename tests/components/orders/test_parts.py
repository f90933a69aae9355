"""Orders requested by labels, the limit of loads, and sending to an upstream."""

import json

import curio
import pytest
from curio import socket

from bitterntiller.components.orders.desired_orders import desired_orders_of
from bitterntiller.components.orders.models import DesiredOrder, Order, OrderOutcome
from bitterntiller.components.orders.pool import PoolOrders
from bitterntiller.components.orders.sender import async_send_order

from .builders import make_service, make_upstream


@pytest.mark.parametrize(
    ("service_labels", "upstream_labels", "expected"),
    [
        ({"order_load": "v1, a1"}, {}, [("load", "v1"), ("load", "a1")]),
        ({"order_load": "v1,a1"}, {"loaded": "v1"}, [("load", "a1")]),
        ({"order_load/generation=g2": "v2"}, {"generation": "g1"}, []),
        ({"order_load/generation=g2": "v2"}, {"generation": "g2"}, [("load", "v2")]),
        ({"order_unload": "v1"}, {"loaded": "v1,v2"}, [("unload", "v1")]),
        ({"order_unload": "v1"}, {"loaded": "v2"}, []),
        ({"order_role": "decode"}, {"role": "decode"}, []),
        ({"order_role": "decode"}, {"role": "prefill"}, [("role", "decode")]),
    ],
)
def test_desired_orders(service_labels, upstream_labels, expected):
    service = make_service(**service_labels)
    upstream = make_upstream(**upstream_labels)
    assert desired_orders_of(service, upstream) == [
        DesiredOrder(*item) for item in expected
    ]


def test_concurrent_loads_are_limited():
    """
    Six engines have to load a new version, and the weight store serves two at a time. A
    load whose response was lost may still be reading from it, so its slot is reused
    only after the maximum order duration.
    """
    service = make_service(order_load="v1", order_loads_at_once="2")
    pool = PoolOrders(7, 0.0)
    upstreams = {
        f"u{n}": make_upstream(f"u{n}", last_announced_at=200.0, fencing="checked")
        for n in range(6)
    }
    assert pool.due(service, upstreams, 59.0) == []
    first = pool.due(service, upstreams, 200.0)
    assert len(first) == 2
    assert pool.due(service, upstreams, 200.0) == []
    pool.record_outcome(first[0], OrderOutcome("unknown", "lost"))
    assert pool.due(service, upstreams, 201.0) == []
    pool.record_outcome(first[1], OrderOutcome("done", "200"))
    assert [o.upstream for o in pool.due(service, upstreams, 201.0)] == ["u2"]
    upstreams = {
        name: u._replace(last_announced_at=261.0) for name, u in upstreams.items()
    }
    assert [o.upstream for o in pool.due(service, upstreams, 261.0)] == ["u3"]


def test_no_orders_to_leaving_or_silent_upstreams():
    pool = PoolOrders(7, 0.0)
    service = make_service(order_role="decode")
    upstream = make_upstream(last_announced_at=90.0)
    assert pool.due(service, {"u": upstream._replace(leaving=True)}, 91.0) == []
    assert pool.due(service, {"u": upstream}, 101.0) == []
    assert len(pool.due(service, {"u": upstream}, 100.0)) == 1


async def exchange(answer, may_send=True):
    """Send an order to a server with a raw response; return state and request."""
    seen = []

    async def serve(sock, _address):
        data = await sock.recv(65536)
        while data and b"}" not in data:
            data += await sock.recv(65536)
        seen.append(data)
        await sock.sendall(answer)

    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    address = f"127.0.0.1:{listener.getsockname()[1]}"

    async def accept():
        sock, peer = await listener.accept()
        async with sock:
            await serve(sock, peer)

    server = await curio.spawn(accept)
    order = Order("id-1", "u", address, "load", "v1", 7, False)
    result = await async_send_order(order, lambda: may_send, 2.0)
    await server.cancel()
    await listener.close()
    return result.state, b"".join(seen)


def http(status, document):
    body = json.dumps(document).encode()
    return b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%s" % (status, len(body), body)


@pytest.mark.parametrize(
    ("answer", "state"),
    [
        (http(200, {"status": "done", "order_id": "id-1"}), "done"),
        (http(200, {"status": "done", "order_id": "other"}), "unknown"),
        (http(200, []), "unknown"),
        (http(409, {"error": "old fence"}), "stale"),
        (http(422, {"error": "no such model"}), "refused"),
        (http(503, {}), "unknown"),
        (b"HTTP/1.1 200 X\r\ncontent-length: 50\r\n\r\n{", "unknown"),
        (b"", "unknown"),
    ],
)
def test_responses(answer, state):
    got, seen = curio.run(exchange, answer)
    assert got == state
    body = json.loads(seen[seen.index(b"{") :])
    assert body == {"order_id": "id-1", "kind": "load", "argument": "v1", "fence": 7}


def test_nothing_is_sent_when_the_lease_ended_while_connecting():
    assert curio.run(exchange, b"", False) == ("not-sent", b"")
