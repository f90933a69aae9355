"""Malformed input at every port of a live process, made by hypothesis."""

import contextlib
import http.client
import json
import socket
import struct
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from tests.scenarios.caller import Call
from tests.scenarios.deployment import Deployment, Host
from tests.scenarios.runner import Runner

PORT_KINDS = ("caller", "operator", "internal")
ANSWER_TIMEOUT_S = 3.0
FUZZ = settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
TOKEN = b"Authorization: Bearer token-foresters\r\n"


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """Return one host with all roles, short timeouts, and its two upstreams."""
    folder: Path = tmp_path_factory.mktemp("bad-input")
    steps = folder / "start.scenario"
    steps.write_text(
        "host a roles=entry,dispatch,control\n"
        "start a\n"
        "engine e1\n"
        "plain p1\n"
        "apply a\n"
        "within 10s expect a ready\n"
        "within 10s expect e1 accepted\n"
        "within 10s expect p1 accepted\n"
    )
    with Deployment(folder, head=0.5, body=0.5) as started:
        Runner(started).run(steps)
        yield started


def send_bytes(port: int, data: bytes, close: bool = True) -> bytes:
    """Send bytes and return all that comes back until the host closes."""
    answer = b""
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.settimeout(ANSWER_TIMEOUT_S)
        with contextlib.suppress(OSError):
            sock.sendall(data)
            if close:
                sock.shutdown(socket.SHUT_WR)
            while piece := sock.recv(65536):
                answer += piece
    return answer


def statuses(answer: bytes) -> list[int]:
    """Return the statuses of the answers in what came back."""
    lines = [line for line in answer.split(b"\r\n") if line.startswith(b"HTTP/1.1 ")]
    return [int(line.split()[1]) for line in lines]


def check_still_serving(deployment: Deployment) -> None:
    """Check that the process lives and the next good requests work."""
    host: Host = deployment.hosts_by_name["a"]
    assert deployment.process("a").exit_code() is None
    headers = {"Authorization": "Bearer token-foresters"}
    good = Call(host.ports["caller"], "POST", "/bonds", headers, b"{}")
    good.send_and_receive()
    assert good.whole, (good.status, good.answer)
    assert (
        deployment.send_request(host.ports["operator"], "GET", "/v1/config")[0] == 200
    )


BYTES = st.binary(max_size=400)
LINES = st.lists(
    st.sampled_from(
        [
            b"POST /bonds HTTP/1.1",
            b"GET /v1/state HTTP/1.1",
            b"PUT /v1/config HTTP/1.1",
            b"POST /v1/upstreams/announce HTTP/1.1",
            b"POST /v1/chat/completions HTTP/1.1",
            b"GET / HTTP/9.9",
            b"Host: a",
            b"Host: b",
            b"Content-Length: 12",
            b"Content-Length: -1",
            b"Content-Length: 99999999999999999999999999",
            b"Transfer-Encoding: chunked",
            b"Transfer-Encoding: gzip, chunked",
            b"Authorization: Bearer token-foresters",
            b"Authorization: Bearer operator-key",
            b"Authorization: Bearer upstream-key",
            b"Authorization: Bearer \xff\xfe",
            b"X-Deadline-Ms: soon",
            b"X-Tier: \x80",
            b"Idempotency-Key: " + b"k" * 300,
            b'If-Match: "9999999999999999999999"',
            b"If-Match: x",
            b" folded",
            b"no colon",
            b"",
            b"zz\r\nnot a chunk",
            b'{"services": {"\xff": 1}}',
            b"[" * 3000,
            b'{"stream": true, "messages": [1, null, {"content": 3}]}',
        ]
    ),
    max_size=12,
).map(b"\r\n".join)


@pytest.mark.parametrize("kind", ["caller", "operator"])
def test_malformed_http(deployment: Deployment, kind: str) -> None:
    """Heads and bodies that are no HTTP, or half of it, or contradict themselves.

    Whatever comes is answered by a 4xx or a refusal, or not at all when the
    peer closed within it; the process goes on serving.
    """
    port = deployment.hosts_by_name["a"].ports[kind]

    @FUZZ
    @given(st.one_of(BYTES, LINES, LINES.map(lambda lines: lines + b"\r\n\r\n")))
    def check(data: bytes) -> None:
        found = statuses(send_bytes(port, data))
        assert all(status < 500 or status == 503 for status in found), found

    check()
    check_still_serving(deployment)


def test_random_bytes_and_truncated_frames_inside(deployment: Deployment) -> None:
    """Another program, or a damaged host, connects to the internal port.

    Frames that are cut, too long or no messages must end that connection only.
    """
    port = deployment.hosts_by_name["a"].ports["internal"]
    framed = st.tuples(st.integers(0, 2**32 - 1), BYTES).map(
        lambda frame: struct.pack(">I", frame[0]) + frame[1]
    )
    whole = BYTES.map(lambda body: struct.pack(">I", len(body)) + body)

    @FUZZ
    @given(st.one_of(BYTES, framed, whole))
    def check(data: bytes) -> None:
        send_bytes(port, data)

    check()
    check_still_serving(deployment)


@pytest.mark.parametrize(
    ("kind", "target"),
    [
        ("caller", b"POST /bonds"),
        ("operator", b"GET /v1/state"),
        ("operator", b"GET /v1/config"),
        ("caller", b"POST /v1/upstreams/announce"),
    ],
)
@pytest.mark.parametrize("key", [b"", b"Bearer wrong", b"Bearer \xe9", b"Basic a:b"])
def test_wrong_key(
    deployment: Deployment, kind: str, target: bytes, key: bytes
) -> None:
    """A wrong key, also one that is no ASCII, is 401 at each port."""
    port = deployment.hosts_by_name["a"].ports[kind]
    line = b"Authorization: " + key + b"\r\n" if key else b""
    head = target + b" HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + line
    answer = send_bytes(port, head + b"Content-Length: 2\r\n\r\n{}", close=False)
    assert statuses(answer) == [401], answer


def test_oversized_head_and_body(deployment: Deployment) -> None:
    """Heads and bodies over the limits are 431 and 413, before they are read."""
    port = deployment.hosts_by_name["a"].ports["caller"]
    head = b"POST /bonds HTTP/1.1\r\nHost: a\r\n" + TOKEN
    long_head = head + b"X: " + b"x" * 100_000 + b"\r\n\r\n"
    assert statuses(send_bytes(port, long_head, close=False)) == [431]
    long_body = head + b"Content-Length: 1000000000\r\n\r\n"
    assert statuses(send_bytes(port, long_body, close=False)) == [413]
    chunk = b"100000\r\n" + b"x" * 0x100000 + b"\r\n"
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n" + 9 * chunk
    assert statuses(send_bytes(port, chunked, close=False))[:1] in ([413], [])
    check_still_serving(deployment)


def test_slow_head_and_body(deployment: Deployment) -> None:
    """A caller that never ends its head or body is told 408 and let go."""
    port = deployment.hosts_by_name["a"].ports["caller"]
    head = b"POST /bonds HTTP/1.1\r\nHost: a\r\n" + TOKEN
    assert statuses(send_bytes(port, head, close=False)) == [408]
    slow_body = head + b"Content-Length: 10\r\n\r\n{"
    assert statuses(send_bytes(port, slow_body, close=False)) == [408]
    check_still_serving(deployment)


@FUZZ
@given(st.binary(max_size=100))
def test_broken_bodies_of_engines(deployment: Deployment, data: bytes) -> None:
    """Bodies that are no JSON or no UTF-8 go to the engine, which refuses them."""
    port = deployment.hosts_by_name["a"].ports["caller"]
    headers = {"Authorization": "Bearer token-foresters", "Connection": "close"}
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    with contextlib.closing(connection):
        connection.request("POST", "/v1/chat/completions", data, headers)
        assert 400 <= connection.getresponse().status < 500


@FUZZ
@given(
    st.one_of(
        st.recursive(
            st.one_of(st.none(), st.integers(), st.text(max_size=8)),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        ["name", "service", "sequence", "labels", "load", "state", "x"]
                    ),
                    inner,
                    max_size=5,
                )
            ),
            max_leaves=8,
        ).map(lambda value: json.dumps(value).encode()),
        st.binary(max_size=60),
    )
)
def test_broken_announcements(deployment: Deployment, data: bytes) -> None:
    """An upstream of another version announces itself in a shape of its own."""
    port = deployment.hosts_by_name["a"].ports["caller"]
    headers = {"Authorization": "Bearer upstream-key", "Connection": "close"}
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    with contextlib.closing(connection):
        connection.request("POST", "/v1/upstreams/announce", data, headers)
        assert connection.getresponse().status in (400, 422)
