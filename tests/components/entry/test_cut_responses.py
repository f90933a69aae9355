"""Each response of the native dialect that is cut has one line with its cause."""

from typing import Any

import curio
import pytest

from tests.components.entry.deployment import Entry
from tests.components.entry.test_guards import send_to_entry_host
from tests.components.entry.test_pipeline import (
    EVENT_STREAM,
    PLAIN,
    STREAM,
    answering,
    run,
)
from tests.core.event_recorder import recording

CHUNKED = EVENT_STREAM + b"Transfer-Encoding: chunked\r\n"
NO_MARKER = b"f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"


@pytest.mark.parametrize(
    "data, head, body, output",
    [(STREAM, CHUNKED, NO_MARKER, 1), (PLAIN, b"", b"a part", 0)],
)
def test_response_without_its_end_is_logged_as_cut_by_the_upstream(
    data, head, body, output
):
    with recording() as recorded:
        received, _ = send_to_entry_host(data, answering(head, body))
    assert received.endswith(b"RESET")
    (line,) = recorded.by_kind["response-cut"]
    assert (line["by"], line["reason"]) == ("upstream", "lost-answer")
    assert (line["service"], line["route"]) == ("llm", "")
    assert (line["started"], line["output"], line["runs"]) == (True, output, 1)


def test_caller_that_leaves_before_its_response_is_logged_as_cut_by_itself():
    async def async_wait(sock: Any, data: bytes) -> None:
        await curio.sleep(100)

    async def async_leave(entry: Entry) -> None:
        sock = await curio.open_connection("127.0.0.1", entry.port)
        await sock.sendall(PLAIN)
        await curio.sleep(0.1)
        await sock.close()
        await curio.sleep(0.2)

    with recording() as recorded:
        run(async_leave, async_wait)
    (line,) = recorded.by_kind["response-cut"]
    assert (line["by"], line["reason"]) == ("caller", "caller-gone")
    assert (line["started"], line["runs"]) == (False, 1)
