"""Fakes of operator ports: scripted responses, and a port served in a thread."""

import contextlib
import socket
import threading
from types import SimpleNamespace

import curio

from bitterntiller.cli.operator_client import OperatorResponse
from bitterntiller.components.http.buffered import BodyBudget, async_serve_buffered
from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.http.server import HttpServer, ServerLimits
from bitterntiller.components.settings.models import Address


class ScriptedClient:
    """Returns scripted responses in order; exceptions in the script are raised."""

    def __init__(self, *script, addresses=("a:1", "b:1")):
        self.addresses = list(addresses)
        self.script = list(script)
        self.calls = []

    async def async_call(self, address, method, path, headers=None, body=b""):
        self.calls.append((address, dict(headers or []), body))
        item = self.script.pop(0)
        if isinstance(item, Exception):
            raise item
        return OperatorResponse(*item)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@contextlib.contextmanager
def served_port(handler, metrics):
    """Serve a RequestHandler in a thread; yield its address as IP:port."""
    address = Address("127.0.0.1", free_port())
    stop = curio.UniversalEvent()

    async def async_exchange(exchange: Exchange):
        budget = BodyBudget(8 << 20)
        await async_serve_buffered(exchange, handler, 1 << 20, 5.0, budget)

    async def async_main():
        limits = ServerLimits(32768, 10, 5.0, 5.0, 5.0)
        server = HttpServer(address, limits, async_exchange, metrics)
        task = await curio.spawn(server.async_serve, SimpleNamespace())
        await stop.wait()
        await task.cancel()

    thread = threading.Thread(target=curio.run, args=(async_main,))
    thread.start()
    try:
        wait_until_open(address)
        yield str(address)
    finally:
        stop.set()
        thread.join()


def wait_until_open(address):
    for _ in range(500):
        with contextlib.suppress(OSError):
            socket.create_connection(address, 5).close()
            return
        threading.Event().wait(0.01)
    raise AssertionError("the port did not open")
