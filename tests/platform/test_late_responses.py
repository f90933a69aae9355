"""A late response to an earlier request is no progress of the present one."""

from typing import Any

import curio

from tests.platform import builders
from tests.platform.test_silent_upstreams import async_never_answer, patient_host
from tests.platform.test_unended_responses import CALLS

REQUEST = builders.request("/trees/1", "Connection: close")
SECOND = REQUEST.replace(b"X-Attempt-Id: a1", b"X-Attempt-Id: a2")


def test_call_is_served_by_another_upstream_after_a_late_response_and_silence():
    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        if number == 0:
            await sock.sendall(builders.response(b"leaf"))
        elif number == 1:
            await sock.sendall(builders.response(b"late"))
            await async_never_answer(sock)
        else:
            response = builders.response(b"second")
            await sock.sendall(response.replace(b"Id: a1", b"Id: a2"))

    async def async_main() -> tuple[bytes, bytes, int]:
        async with patient_host(async_upstream, configuration=CALLS) as host:
            first = await host.async_ask(REQUEST, 2.0)
            await curio.sleep(0.05)
            second = await host.async_ask(SECOND, 4.0)
            return first, second, len(host.requests)

    first, second, sent = curio.run(async_main)
    assert first.endswith(b"leaf")
    assert second.endswith(b"second"), second
    assert sent == 3
