"""Sends the requests of a simulation over real sockets: python -m bench.replay.

The callers are tasks of one process. Prompts share the same documents as those of the
simulation, so that engines with a prefix cache can use them.
"""

import json
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypedDict

import cappa
import curio

from bench.arrivals import make_requests
from bench.client import Request, Result, async_request
from bench.deployments import POOLS_BY_NAME
from bench.models import OfferedRequest

BYTES_PER_TOKEN = 4
CHAT_TARGET = "/v1/chat/completions"
PLAIN_TARGET = "/lookups"
DONE = "done"


class TierResult(TypedDict):
    """One tier; first_s and total_s are medians of useful responses, in seconds."""

    offered: int
    useful: int
    by_outcome: dict[str, int]
    first_s: float | None
    total_s: float | None


def make_prompt(offered: OfferedRequest) -> str:
    """Return a prompt of the request's size that starts with its shared document."""
    shared = ""
    if offered.shared:
        document = offered.prefix_hashes[0]
        shared = _fill(f"document {document:x} ", offered.shared)
    return shared + _fill(f"request {offered.number} ", offered.prompt - offered.shared)


def _fill(text: str, tokens: int) -> str:
    size = tokens * BYTES_PER_TOKEN
    return (text * (size // len(text) + 1))[:size]


def make_http_request(offered: OfferedRequest, token: str, plain: bool) -> Request:
    """Return the HTTP request that a caller sends."""
    headers = {
        "Authorization": f"Bearer {token}",
        "X-Tier": offered.tier,
        "X-Deadline-Ms": str(int(offered.deadline * 1000)),
    }
    document: dict[str, Any] = {"prompt": make_prompt(offered)}
    if not plain:
        message = {"role": "user", "content": make_prompt(offered)}
        document = {"messages": [message], "max_tokens": offered.output, "stream": True}
    target = PLAIN_TARGET if plain else CHAT_TARGET
    return Request("POST", target, headers, json.dumps(document).encode())


def classify_outcome(offered: OfferedRequest, result: Result) -> str:
    """Return useful, late, cut, or the reason why there was no response."""
    if result.cut:
        return "late" if result.total_s >= offered.deadline else "cut"
    if result.outcome != DONE:
        return result.reason or result.outcome or str(result.status)
    return "useful" if result.total_s <= offered.deadline else "late"


async def async_replay(
    requests: list[OfferedRequest],
    ports: list[int],
    token_by_workspace: dict[str, str],
    plain: bool,
) -> list[tuple[OfferedRequest, Result]]:
    """Send each request at its time to the caller port of its host.

    Return the results. A caller disconnects at the deadline.
    """
    results: list[tuple[OfferedRequest, Result]] = []
    started_at = time.perf_counter()

    async def async_caller(offered: OfferedRequest) -> None:
        port = ports[offered.host % len(ports)]
        request = make_http_request(
            offered, token_by_workspace[offered.workspace], plain
        )
        result = await async_request(port, request, offered.deadline)
        results.append((offered, result))

    async with curio.TaskGroup(wait=all) as group:
        for offered in requests:
            pause = offered.at - (time.perf_counter() - started_at)
            if pause > 0:
                await curio.sleep(pause)
            await group.spawn(async_caller, offered)
    return results


def summarize(results: list[tuple[OfferedRequest, Result]]) -> dict[str, TierResult]:
    """Return the results by tier, the highest tier first."""
    summary = {}
    for _, tier in sorted(
        {(offered.tier_rank, offered.tier) for offered, _ in results}
    ):
        outcomes = [
            (classify_outcome(offered, result), result)
            for offered, result in results
            if offered.tier == tier
        ]
        useful = [result for outcome, result in outcomes if outcome == "useful"]
        summary[tier] = TierResult(
            offered=len(outcomes),
            useful=len(useful),
            by_outcome=dict(Counter(outcome for outcome, _ in outcomes)),
            first_s=_median([result.first_s for result in useful]),
            total_s=_median([result.total_s for result in useful]),
        )
    return summary


def _median(values: list[float]) -> float | None:
    return round(sorted(values)[len(values) // 2], 3) if values else None


@dataclass
class Replay:
    """Send the requests of a simulated pool to running entry hosts."""

    port: Annotated[list[int], cappa.Arg(long=True, help="caller ports on loopback")]
    tokens: Annotated[
        Path, cappa.Arg(long=True, help="JSON: bearer token by workspace name")
    ]
    pool: Annotated[str, cappa.Arg(long=True)] = "zaf-engines"
    rate: Annotated[float, cappa.Arg(long=True, help="requests per second")] = 5.0
    seconds: Annotated[float, cappa.Arg(long=True)] = 30.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    bursty: Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> None:
        """Send all requests and print the results by tier as JSON."""
        pool = POOLS_BY_NAME[self.pool]
        requests = make_requests(pool, self.rate, self.seconds, self.bursty, self.seed)
        token_by_workspace = json.loads(self.tokens.read_text())
        plain = pool.upstreams[0].plain
        results = curio.run(
            async_replay, requests, self.port, token_by_workspace, plain
        )
        sys.stdout.write(json.dumps(summarize(results), indent=1) + "\n")


def main() -> None:
    """Run the command line."""
    cappa.invoke(Replay)


if __name__ == "__main__":
    main()
