"""Tests of the TCP proxy that simulates partitions."""

import socket

import pytest

from tests.scenarios import proxy
from tests.scenarios.proxy import Proxy


def dial(port: int) -> socket.socket:
    sock = socket.create_connection(("127.0.0.1", port), 1.0)
    sock.settimeout(0.5)
    sock.sendall(b"x")
    return sock


@pytest.mark.parametrize("unknown", [1, 1000])
def test_cut_holds_for_a_host_that_is_not_found_at_once(monkeypatch, unknown):
    """A partitioned host got a lease and served a read of the configuration.

    Under load, the lookup of the connecting host missed its socket once, and the
    connection was forwarded in spite of the cut.
    """
    monkeypatch.setattr(proxy, "PEER_LOOKUP_PAUSE_S", 0.001)
    looks = iter(range(10_000))
    target = socket.create_server(("127.0.0.1", 0))
    target.settimeout(0.3)
    between = Proxy(
        target.getsockname()[1], lambda _: "b" if next(looks) >= unknown else ""
    )
    between.set_cut("b", True)
    with target, dial(between.port):
        with pytest.raises(TimeoutError):
            target.accept()
    between.close()
