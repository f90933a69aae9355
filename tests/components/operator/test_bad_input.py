import errno
import socket

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitterntiller.cli.operator_client import OperatorClient
from bitterntiller.components.http.const import METRIC_HANDLER_ERROR
from bitterntiller.components.operator import const
from tests.cli.builders import served_port
from tests.components.operator.builders import KEY, operator_port

pytestmark = pytest.mark.xdist_group("operator-bad-input")

CLOSED_BY_SERVER = (errno.ECONNRESET, errno.EPIPE, errno.ENOTCONN)
HEAD = b"PUT /v1/config HTTP/1.1\r\nhost: a\r\nauthorization: Bearer operator-key\r\n"
PARTS = st.sampled_from(
    [HEAD, b"GET / HTTP/1.1\r\n", b"\r\n", b"\r\n\r\n", b"content-length: 5\r\n"]
    + [b"content-length: -1\r\n", b"transfer-encoding: chunked\r\n", b"ffffffffff\r\n"]
    + [b'if-match: "1"\r\n', b"x" * 40000, b"\x00\xff", b"{}", b"\xed\xa0\x80: 1\r\n"]
)


@pytest.fixture(scope="module")
def port():
    port = operator_port()
    with served_port(port.coordinator, port.metrics) as address:
        port.address = address
        yield port


def exchange(address, data):
    """Send bytes, shut down the sending side, and return all received bytes."""
    ip, _, port = address.rpartition(":")
    received = b""
    with socket.create_connection((ip, int(port)), 10) as sock:
        try:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            while part := sock.recv(65536):
                received += part
        except OSError as error:
            # The server may have rejected the input and closed before all was sent.
            if error.errno not in CLOSED_BY_SERVER:
                raise
    return received


@given(parts=st.lists(PARTS | st.binary(max_size=20), max_size=8))
def test_bad_input_is_refused_and_the_next_good_request_works(port, parts):
    """Something else than an operator's tool talks to the operator port.

    An operator would find the port dead or his change refused, because bytes
    that are not HTTP ended the process or left it in a state of its own.
    """
    received = exchange(port.address, b"".join(parts))
    for line in received.split(b"\r\n"):
        if line.startswith(b"HTTP/1.1 "):
            assert line[9:10] == b"4" or line[9:12] == b"503"
    assert port.metrics.counter(METRIC_HANDLER_ERROR) == 0
    client = OperatorClient([port.address], KEY)
    assert curio.run(client.async_get, const.PATH_STATE) == {"host": "a"}
