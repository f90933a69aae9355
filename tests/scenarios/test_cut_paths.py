"""Tests of sockets whose paths can be cut."""

import socket
import time
from pathlib import Path

import curio

from bitterntiller.core.timeouts import ignore_after
from tests.scenarios.cut_paths import CHECK_SECONDS, Cut, CutSocket

LIMIT = 0.3
PAUSE = 0.1
"""Seconds of a timeout around a read, and for which the process stands still."""


class _SlowCut(Cut):
    """Leaves all paths open, and looks at them for longer than LIMIT at last."""

    def __init__(self) -> None:
        super().__init__(Path("unused"))
        self.slow = False

    def mode(self, address: object) -> str:
        if self.slow:
            time.sleep(LIMIT)
        return ""


def test_read_ends_at_the_timeout_around_it(monkeypatch):
    """A read that its own check had outrun ended with an uncaught timeout."""
    cut = _SlowCut()
    monkeypatch.setattr(CutSocket, "cut", cut, raising=False)
    near, far = socket.socketpair()

    async def async_stand_still() -> None:
        time.sleep(max(PAUSE, 2 * CHECK_SECONDS))
        far.sendall(b"x")
        cut.slow = True

    async def async_main() -> bool:
        sock = CutSocket(near)
        sock._peer = ("127.0.0.1", 1)
        async with ignore_after(LIMIT) as limit:
            await curio.spawn(async_stand_still, daemon=True)
            assert await sock.recv(1) == b"x"
            cut.slow = False
            await sock.recv(1)
        await sock.close()
        return limit.expired

    with far:
        assert curio.run(async_main)
