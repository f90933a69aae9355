"""What an upstream states to one sending is not believed of another one."""

import random
import re
from typing import NamedTuple

import curio
import pytest

from tests.platform import builders
from tests.platform.refusing_upstream import Mode, RefusingUpstream
from tests.platform.test_late_copies import ROUTES

PROMISES = frozenset({408, 421, 429, 503})
ONCE_PATHS = ("/once/1", "/streams/1")
PATHS = (*ONCE_PATHS, "/calls/1", "/resumable/1")
CALLERS = 4
REQUESTS = 15
DEADLINE = b"X-Deadline-Ms: 500"
CUT = (Mode.RUN_COPY_CUT, Mode.REFUSE_COPY_CUT)
WHOLE = tuple(mode for mode in Mode if mode not in (*CUT, Mode.RUN_CONTRADICTION))


class Asked(NamedTuple):
    """A request and the response that its caller got; status is 0 without one."""

    name: str
    path: str
    status: int
    response: bytes


def play(seed: int, modes: tuple[Mode, ...]) -> tuple[RefusingUpstream, list[Asked]]:
    """Let callers send requests to an upstream that refuses some of them."""
    rng = random.Random(seed)
    upstream = RefusingUpstream(rng, modes)
    asked: list[Asked] = []

    async def async_call(host: builders.EntryHost, caller: int) -> None:
        for number in range(REQUESTS):
            name = f"c{caller}n{number}"
            path = rng.choice(PATHS)
            data = builders.request(path, "Connection: close")
            data = data.replace(b"X-Attempt-Id: a1", b"X-Attempt-Id: " + name.encode())
            data = data.replace(b"X-Deadline-Ms: 3000", DEADLINE)
            received = await host.async_ask(data, 2.0)
            found = re.match(rb"HTTP/1\.1 (\d{3})", received)
            status = int(found[1]) if found else 0
            asked.append(Asked(name, path, status, received))

    async def async_main() -> None:
        async with builders.entry_host(upstream, ROUTES) as host:
            host.links.names = [f"i-{number % 2}" for number in range(5000)]
            async with curio.TaskGroup() as group:
                for caller in range(CALLERS):
                    await group.spawn(async_call, host, caller)

    curio.run(async_main)
    return upstream, asked


def broken_rules(upstream: RefusingUpstream, asked: list[Asked]) -> list[str]:
    """Return what is wrong with the responses, by what the upstream has run."""
    found = []
    for item in asked:
        runs = upstream.runs[item.name]
        steps = f"{item.path} {item.name} {item.status}: {upstream.steps[item.name]}"
        if item.path in ONCE_PATHS and runs > 1:
            found.append(f"ran {runs} times: {steps}")
        if item.status in PROMISES and runs:
            found.append(f"was refused and ran: {steps}")
        if item.status == 200 and item.name.encode() not in item.response[-80:]:
            found.append(f"got another response: {steps}")
    return found


@pytest.mark.parametrize("seed", range(1, 9))
def test_refusals_are_believed_only_of_the_sending_that_they_answer(seed: int):
    """Requests ran twice, or were refused and ran."""
    upstream, asked = play(seed, WHOLE)
    assert len(asked) == CALLERS * REQUESTS
    assert {200, 503} <= {item.status for item in asked}
    assert broken_rules(upstream, asked) == []
