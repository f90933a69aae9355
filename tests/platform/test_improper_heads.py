"""An answer whose head or trailer is no HTTP reaches no caller as an answer."""

from typing import Any

import curio
import pytest

from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.errors import IncompleteResponseError
from tests.components.tunnels.builders import HANGS, hosts, sending, upstream
from tests.platform import builders
from tests.platform.builders import LAST_CHUNK, chunk
from tests.platform.cut_uploads import CUT, WHOLE, outcome

OWN = b"X-Attempt-Id: a1\r\nX-Engine-Signature: s1\r\n"
FORM = b"Content-Type: text/plain\r\n"
SIZED = OWN + FORM + b"Content-Length: 4\r\n"
CHUNKED = OWN + FORM + b"Transfer-Encoding: chunked\r\n"
EVENTS = OWN + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
STREAM = chunk(builders.event(1))
OK = b"HTTP/1.1 200 OK\r\n"
ROUTE_KINDS = ("idempotent", "non_idempotent", "streaming")

STATUS_LINES = {
    "000": b"HTTP/1.1 000 OK\r\n",
    "099": b"HTTP/1.1 099 OK\r\n",
    "four digits": b"HTTP/1.1 2000 OK\r\n",
    "four digits with a zero": b"HTTP/1.1 0200 OK\r\n",
    "two digits": b"HTTP/1.1 20 OK\r\n",
    "a sign": b"HTTP/1.1 +20 OK\r\n",
    "no digits": b"HTTP/1.1 abc OK\r\n",
    "other digits": "HTTP/1.1 \u0662\u0660\u0660 OK\r\n".encode(),
    "two blanks": b"HTTP/1.1  200 OK\r\n",
    "no version": b"HTTP/1 200 OK\r\n",
    "101 unasked": b"HTTP/1.1 101 Switching Protocols\r\n",
    "another protocol": b"HTTQ/1.1 200 OK\r\n",
}
LINES = {
    "a blank": b"X Name: v\r\n",
    "a blank at the end": b"X-Name : v\r\n",
    "a tab at the end": b"X-Name\t: v\r\n",
    "a length with a blank": b"Content-Length : 2\r\n",
    "chunks with a blank": b"Transfer-Encoding : chunked\r\n",
    "NUL": b"X\x00Name: v\r\n",
    "a control byte": b"X\x01Name: v\r\n",
    "DEL": b"X\x7fName: v\r\n",
    "a vertical tab": b"X\x0bName: v\r\n",
    "CR": b"X\rName: v\r\n",
    "a byte over 127": b"X\xe4Name: v\r\n",
    "no name": b": v\r\n",
    "no colon": b"X-Name\r\n",
    "CR in the value": b"X-Name: v\rw: z\r\n",
    "NUL in the value": b"X-Name: v\x00\r\n",
}
CLOSE = "Connection: close"
BLANK_FIRST = b" X-Name: v\r\n"

ANSWERS = {
    **{
        f"status {name}": line + SIZED + b"\r\nleaf"
        for name, line in STATUS_LINES.items()
    },
    **{
        f"name with {name}": OK + SIZED + line + b"\r\nleaf"
        for name, line in LINES.items()
    },
    **{
        f"first name with {name}": OK + line + SIZED + b"\r\nleaf"
        for name, line in LINES.items()
    },
    "first name behind a blank": OK + BLANK_FIRST + SIZED + b"\r\nleaf",
    **{
        f"interim name with {name}": b"HTTP/1.1 103 Early Hints\r\n"
        + line
        + b"\r\n"
        + OK
        + SIZED
        + b"\r\nleaf"
        for name, line in LINES.items()
    },
    **{
        f"trailer with {name}": OK
        + CHUNKED
        + b"\r\n"
        + chunk(b"leaf")
        + b"0\r\n"
        + line
        + b"\r\n"
        for name, line in LINES.items()
    },
}
STREAMS = {
    **{f"status {name}": line + EVENTS for name, line in STATUS_LINES.items()},
    **{f"name with {name}": OK + EVENTS + line for name, line in LINES.items()},
}


def answers(route_kind: str) -> dict[str, bytes]:
    """Return the improper answers to requests of a kind of route."""
    if route_kind != "streaming":
        return ANSWERS
    return {
        **{
            name: head + b"\r\n" + STREAM + LAST_CHUNK for name, head in STREAMS.items()
        },
        **{
            f"trailer with {name}": OK
            + EVENTS
            + b"\r\n"
            + STREAM
            + b"0\r\n"
            + line
            + b"\r\n"
            for name, line in LINES.items()
        },
    }


def passed_on(route_kind: str) -> dict[str, str]:
    """Return what callers got for the improper answers that reached them."""
    route = builders.route(route_kind=route_kind, stream_resume=False)
    found: dict[str, str] = {}
    proper = OK + SIZED + b"\r\nleaf"
    if route_kind == "streaming":
        proper = OK + EVENTS + b"\r\n" + STREAM + LAST_CHUNK

    async def async_main() -> None:
        current = b""

        async def async_answer(sock: Any, data: bytes, number: int) -> None:
            await sock.sendall(current)
            await sock.close()

        document = builders.document(route)
        async with builders.entry_host(async_answer, document) as host:
            for name, answer in answers(route_kind).items():
                current = answer
                received = await host.async_ask(
                    builders.request("/trees/1", CLOSE), 2.0
                )
                if outcome(received) not in ("502", CUT):
                    found[name] = received.decode("latin-1")
            current = proper
            request = builders.request("/trees/1", CLOSE)
            assert outcome(await host.async_ask(request, 2.0)) == WHOLE

    curio.run(async_main)
    return found


@pytest.mark.parametrize("route_kind", ROUTE_KINDS)
def test_answer_with_an_improper_line_is_not_passed_on(route_kind):
    """A caller must not get an answer whose status or field names are no HTTP."""
    assert passed_on(route_kind) == {}


async def async_statuses(client: ClientExchange) -> int | None:
    """Return the status that a client takes a response to have."""
    try:
        await client.async_request("GET", "/healthz", [], b"", 1.0)
        head = await client.async_head(1.0)
        await client.async_body(1.0, 1000)
    except IncompleteResponseError:
        return None
    finally:
        await client.async_close()
    return head.status


@pytest.mark.parametrize(
    "name",
    ["status 000", "status four digits", "name with a blank", "trailer with NUL"],
)
def test_improper_answer_through_another_host_is_none(name):
    async def async_main() -> int | None:
        async with (
            hosts("a", "b") as (sender, _),
            upstream(sending(ANSWERS[name])) as made,
        ):
            sender.connections.mode = HANGS
            connected = await sender.connector.async_acquire(made.destination(), 1.0)
            assert connected.relay == "b"
            return await async_statuses(connected.client)

    assert curio.run(async_main) is None


def test_line_of_an_improper_answer_is_not_quoted_whole_to_the_caller():
    """A line of 60 kB that is no header made a response of 300 kB."""

    async def async_answer(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(OK + b"\x01" * 60_000 + b"\r\n\r\n")
        await sock.close()

    async def async_main() -> bytes:
        route = builders.route(route_kind="non_idempotent", stream_resume=False)
        document = builders.document(route)
        async with builders.entry_host(async_answer, document) as host:
            return await host.async_ask(builders.request("/trees/1", CLOSE), 2.0)

    received = curio.run(async_main)
    assert received.startswith(b"HTTP/1.1 502 ")
    assert len(received) < 2000
