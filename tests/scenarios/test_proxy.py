"""Tests of the TCP proxy that simulates partitions."""

import os
import socket

import pytest

from tests.scenarios import proxy
from tests.scenarios.processes import socket_names_between
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
        target.getsockname()[1], lambda *_: "b" if next(looks) >= unknown else ""
    )
    between.set_cut("b", True)
    with target, dial(between.port):
        with pytest.raises(TimeoutError):
            target.accept()
    between.close()


def test_connection_is_told_from_another_one_at_the_same_local_port():
    """A partitioned host got a lease: its peer was taken for another host.

    Two hosts may have the same local port, as long as they connect to other ports.
    """
    with (
        socket.create_server(("127.0.0.1", 0)) as one,
        socket.create_server(("127.0.0.1", 0)) as other,
        socket.socket() as to_one,
        socket.socket() as to_other,
    ):
        for sock in (to_one, to_other):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        to_one.bind(("127.0.0.1", 0))
        to_other.bind(to_one.getsockname())
        to_one.connect(one.getsockname())
        to_other.connect(other.getsockname())
        found = socket_names_between(to_one.getsockname()[1], one.getsockname()[1])
        assert found == {os.readlink(f"/proc/self/fd/{to_one.fileno()}")}
