"""Each form of a request, byte by byte, to an entry host of both dialects."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from tests.platform.form_host import platform_host
from tests.request_forms.forms import FORMS_BY_NAME, SERVED, Form, fill
from tests.request_forms.hosts import FormHost, native_host
from tests.request_forms.raw_caller import RawCaller

PIECE_BYTES = 7
WHOLE = 1 << 30
MAX_SPLIT_BYTES = 1500

HOSTS_BY_DIALECT = {"platform": platform_host, "native": native_host}
every_dialect = pytest.mark.parametrize("dialect", HOSTS_BY_DIALECT)


def play(
    dialect: str, async_step: Callable[[FormHost, RawCaller], Awaitable[Any]]
) -> Any:
    """Run a step with an entry host and a connection to it."""

    async def async_main() -> Any:
        async with HOSTS_BY_DIALECT[dialect]() as host:
            sock = await curio.open_connection("127.0.0.1", host.port)
            async with sock:
                return await async_step(host, RawCaller(sock))

    return curio.run(async_main)


async def async_kept(host: FormHost, caller: RawCaller) -> bool:
    """Return whether the connection serves another request."""
    request = fill(FORMS_BY_NAME["GET"].data, host.path, host.authorization)
    await caller.async_send(request)
    return [item.status for item in await caller.async_responses("GET")] == [200]


async def async_check(
    host: FormHost, caller: RawCaller, form: Form, piece: int
) -> None:
    """Send a form in pieces of some bytes and check what comes back."""
    method = "HEAD" if form.data.startswith(b"HEAD") else "POST"
    data = fill(form.data, host.path, host.authorization)
    for start in range(0, len(data), piece):
        await caller.async_send(data[start : start + piece])
        await curio.sleep(0)
    found = []
    while len(found) < len(form.statuses):
        more = await caller.async_responses(method)
        if not more:
            break
        found += more
    assert tuple(item.status for item in found) == form.statuses
    assert len(host.received) == form.runs
    assert await async_kept(host, caller) == form.kept
    for item in found:
        has_no_body = item.status in (100, 204)
        assert not has_no_body or b"content-length" not in item.headers
    # A response after which the host closes has to say so.
    assert form.kept or found[-1].headers.get(b"connection") == b"close"


@every_dialect
@pytest.mark.parametrize("name", FORMS_BY_NAME)
def test_form_of_a_request(name: str, dialect: str):
    form: Form = FORMS_BY_NAME[name]
    play(
        dialect,
        lambda host, caller: async_check(host, caller, form, WHOLE),
    )


@every_dialect
@pytest.mark.parametrize(
    "name", [form.name for form in SERVED if len(form.data) < MAX_SPLIT_BYTES]
)
def test_form_of_a_request_in_small_pieces(name: str, dialect: str):
    """A host takes a request for another one where its segments end."""
    form: Form = FORMS_BY_NAME[name]
    play(dialect, lambda host, caller: async_check(host, caller, form, PIECE_BYTES))


@every_dialect
def test_body_is_forwarded_without_its_chunks(dialect: str):
    async def async_step(host: FormHost, caller: RawCaller) -> None:
        form = FORMS_BY_NAME["several chunks"]
        await caller.async_send(fill(form.data, host.path, host.authorization))
        await caller.async_responses("POST")
        lines, _, body = host.received[0].partition(b"\r\n\r\n")
        assert body == b"{}"
        assert b"\r\ncontent-length: 2" in lines.lower()
        assert b"transfer-encoding" not in lines.lower()

    play(dialect, async_step)


@every_dialect
def test_close_in_the_middle_of_a_chunk_runs_nothing(dialect: str):
    async def async_step(host: FormHost, caller: RawCaller) -> None:
        form = FORMS_BY_NAME["chunked"]
        data = fill(form.data, host.path, host.authorization)
        await caller.async_send(data.replace(b"2\r\n{}", b"5\r\n{}")[:-7])
        await caller.async_half_close()
        found = await caller.async_responses("POST")
        assert [item.status for item in found] in ([400], [])
        assert host.received == []

    play(dialect, async_step)


def test_absolute_form_is_forwarded_with_the_host_of_the_target():
    async def async_step(host: FormHost, caller: RawCaller) -> None:
        form = FORMS_BY_NAME["absolute form, other Host"]
        await caller.async_send(fill(form.data, host.path, host.authorization))
        await caller.async_responses("POST")
        lines = host.received[0].lower().split(b"\r\n")
        assert lines[0] == b"post /tiles/1 http/1.1"
        assert b"host: trees.example" in lines
        assert not any(b"o.example" in line for line in lines)

    play("platform", async_step)
