"""Chunked bodies that arrive slowly, at a host with the least memory in use."""

import re
from collections import Counter

import curio
from bitterntiller_platform.settings import load_settings

from tests.platform.builders import KEY, chunk, document, entry_host, response
from tests.platform.test_settings import FILE

LEAST_MEMORY_MB = 128
BODY_LIMIT = 4 * 1024 * 1024
CALLERS = 200
SECONDS = 2.0
PARTS = 8
BODY = bytes(2048)
HEAD = (
    b"POST /tiles/1 HTTP/1.1\r\nHost: trees.example\r\nX-Attempt-Id: %b\r\n"
    b"Authorization: Token " + KEY.encode() + b"\r\nConnection: close\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


def least_limits(tmp_path):
    path = tmp_path / "boot.conf"
    path.write_text(f"{FILE}limits.memory_mb={LEAST_MEMORY_MB}\n")
    return load_settings(path).settings.limits


received_lengths = []


async def async_respond(sock, data, index):
    found = re.search(rb"(?i)x-attempt-id: (\S+)", data)
    if found is not None:
        length = re.search(rb"(?i)content-length: (\d+)", data)
        received_lengths.append(int(length[1]))
        await sock.sendall(response(b"ok").replace(b"a1", found[1]))


async def async_call(port, number, parts, pause):
    """Send a chunked body with a pause before each part; return the response."""
    sock = await curio.open_connection("127.0.0.1", port)
    received = b""
    async with sock:
        try:
            await sock.sendall(HEAD % b"c%d" % number)
            for part in parts:
                await curio.sleep(pause)
                await sock.sendall(chunk(part))
            await sock.sendall(b"0\r\n\r\n")
        except OSError:
            pass
        async with curio.ignore_after(10.0):
            while data := await sock.recv(65536):
                received += data
    return received


def play(limits, callers, body, parts, seconds, body_limit=BODY_LIMIT):
    """Return the responses of all callers and the most bytes that were reserved."""
    size = len(body) // parts
    received_lengths.clear()
    split = [body[start : start + size] for start in range(0, len(body), size)]
    most = 0

    async def async_watch(budget):
        nonlocal most
        while True:
            most = max(most, budget.held_bytes)
            await curio.sleep(0.01)

    async def async_main():
        configuration = document(limits={"max_body_bytes": body_limit})
        async with entry_host(
            async_respond, configuration, limits=limits, body_seconds=30.0
        ) as entry:
            watch = await curio.spawn(async_watch, entry.coordinator.budget)
            async with curio.TaskGroup() as group:
                for number in range(callers):
                    await group.spawn(
                        async_call, entry.port, number, split, seconds / len(split)
                    )
            await watch.cancel()
            assert entry.coordinator.budget.held_bytes == 0
        return group.results

    return curio.run(async_main), most


def statuses(responses):
    return Counter(response.partition(b" ")[2][:3] for response in responses)


def test_slow_chunked_bodies_reserve_what_has_arrived(tmp_path):
    """A few callers with chunked bodies fill the memory of a host."""
    responses, most = play(least_limits(tmp_path), CALLERS, BODY, PARTS, SECONDS)
    assert statuses(responses) == {b"200": CALLERS}
    assert most <= CALLERS * len(BODY)


def test_chunked_bodies_at_the_limit_stay_within_the_memory(tmp_path):
    """Chunked bodies take more memory than the host may use for bodies."""
    limits = least_limits(tmp_path)
    responses, most = play(limits, 12, bytes(BODY_LIMIT), 64, 1.0)
    found = statuses(responses)
    assert set(found) <= {b"200", b"503"}
    assert received_lengths == [BODY_LIMIT] * found[b"200"]
    assert found[b"200"] >= 1
    assert most <= limits.waiting_bytes
    refused = [item for item in responses if b" 503 " in item[:20]]
    assert all(b"\r\nretry-after: " in item.lower() for item in refused)


def test_body_within_the_limit_of_the_configuration_is_not_too_large(tmp_path):
    """A host refuses with 413 what the configuration allows, by a limit of its own."""
    limit = 12 * 1024 * 1024
    responses, _ = play(least_limits(tmp_path), 1, bytes(limit), 16, 0.1, limit)
    assert statuses(responses) == {b"200": 1}
