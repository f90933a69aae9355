"""What the log tells about refusals, to find out why a proper request got a 4xx."""

import curio

from tests.core.event_recorder import recording
from tests.platform.builders import entry_host, request


async def async_never(sock, data, index):
    raise AssertionError("no request may be sent")


def refusal_of(data):
    async def async_main():
        async with entry_host(async_never) as entry:
            await entry.async_ask(data)

    with recording() as recorded:
        curio.run(async_main)
    (line,) = recorded.by_kind["refused"]
    return line


def test_refusal_states_path_framing_and_age_of_the_configuration():
    line = refusal_of(request("/none/1?a=b"))
    assert (line["status"], line["path"], line["method"]) == (404, "/none/1", "POST")
    assert (line["framing"], line["body_bytes"]) == ("length", 0)
    assert line["config_age"] > 0


def test_refusal_of_malformed_headers_states_the_id_of_the_request():
    """A refusal before the headers are parsed can't be found by the caller's id."""
    line = refusal_of(request().replace(b"3000", b"soon"))
    assert (line["status"], line["request"]) == (400, "a1")


def test_refusal_of_a_long_body_states_how_much_had_arrived():
    head = request("/trees/1").replace(b"Content-Length: 2", b"Content-Length: 9000")
    line = refusal_of(head)
    assert (line["status"], line["body_bytes"]) == (413, 0)
