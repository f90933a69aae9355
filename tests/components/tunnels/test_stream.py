"""The bytes in a tunnel, cut anywhere."""

import curio
import pytest

from bitterntiller.components.tunnels.const import MAX_PART_BYTES
from bitterntiller.components.tunnels.stream import (
    END,
    TunnelSocket,
    pack_count,
    pack_part,
)


class Received:
    """A socket that delivers bytes in pieces and then its end."""

    def __init__(self, data: bytes, size: int) -> None:
        self._pieces = [data[at : at + size] for at in range(0, len(data), size)]

    async def recv(self, size: int) -> bytes:
        return self._pieces.pop(0) if self._pieces else b""


class Sent(Received):
    """The same, which takes what is sent."""

    async def sendall(self, data: bytes) -> None:
        pass


async def async_read(data: bytes, size: int, wanted: int = 100) -> bytes:
    sock = TunnelSocket(Received(data, size))
    found = b""
    while part := await sock.recv(wanted):
        found += part
    return found


@pytest.mark.parametrize("size", range(1, 20))
@pytest.mark.parametrize("wanted", [1, 3, 100])
def test_bytes_arrive_in_order_however_they_are_cut(size, wanted):
    data = pack_part(b"first") + pack_part(b"second part") + END
    assert curio.run(async_read, data, size, wanted) == b"firstsecond part"


@pytest.mark.parametrize("size", range(len(pack_part(b"first") + END)))
def test_tunnel_that_ends_without_its_end_is_broken(size):
    data = (pack_part(b"first") + END)[:size]
    with pytest.raises(ConnectionResetError):
        curio.run(async_read, data, 7)


def test_length_over_the_limit_breaks_the_tunnel():
    data = pack_part(bytes(MAX_PART_BYTES + 1)) + END
    with pytest.raises(ConnectionResetError):
        curio.run(async_read, data, MAX_PART_BYTES)


async def async_is_delivered(data: bytes, size: int) -> bool:
    """Return whether the counts in a tunnel say that its upstream has a request."""
    sock = TunnelSocket(Sent(data, size))
    await sock.sendall(b"request")
    while await sock.recv(100):
        pass
    try:
        while await sock.async_undelivered():
            pass
    except ConnectionResetError:
        return False
    return True


@pytest.mark.parametrize("size", range(1, 20))
@pytest.mark.parametrize(
    ("counts", "delivered"), [((0, 7), True), ((2,), False), ((), False)]
)
def test_request_is_delivered_only_once_a_count_says_so(counts, delivered, size):
    """A response may be cut if the tunnel breaks before its request got through."""
    data = pack_part(b"response") + END + b"".join(map(pack_count, counts))
    assert curio.run(async_is_delivered, data, size) == delivered
