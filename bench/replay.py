"""Plays the arrivals of an experiment over real sockets: python -m bench.replay.

The callers are tasks of one process. Prompts share the documents that the model's
prompts share, so that engines with a prefix cache can use them.
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

from bench.arrivals import make_asks
from bench.client import Request, Result, async_request
from bench.deployments import POOLS_BY_NAME
from bench.models import Ask

BYTES_PER_TOKEN = 4
CHAT_TARGET = "/v1/chat/completions"
PLAIN_TARGET = "/lookups"
DONE = "done"


class TierResult(TypedDict):
    """One tier; first token and total are medians of useful answers, in seconds."""

    offered: int
    useful: int
    by_outcome: dict[str, int]
    first_s: float | None
    total_s: float | None


def prompt_of(ask: Ask) -> str:
    """Return a prompt of the ask's size that begins with its shared document."""
    shared = ""
    if ask.shared:
        document = ask.prefix_hashes[0]
        shared = _fill(f"document {document:x} ", ask.shared)
    return shared + _fill(f"request {ask.number} ", ask.prompt - ask.shared)


def _fill(text: str, tokens: int) -> str:
    size = tokens * BYTES_PER_TOKEN
    return (text * (size // len(text) + 1))[:size]


def request_of(ask: Ask, token: str, plain: bool) -> Request:
    """Return the request that a caller sends for an ask."""
    headers = {
        "Authorization": f"Bearer {token}",
        "X-Tier": ask.tier,
        "X-Deadline-Ms": str(int(ask.deadline * 1000)),
    }
    document: dict[str, Any] = {"prompt": prompt_of(ask)}
    if not plain:
        message = {"role": "user", "content": prompt_of(ask)}
        document = {"messages": [message], "max_tokens": ask.output, "stream": True}
    target = PLAIN_TARGET if plain else CHAT_TARGET
    return Request("POST", target, headers, json.dumps(document).encode())


def outcome_of(ask: Ask, result: Result) -> str:
    """Return useful, late, cut, or the reason for which there was no answer."""
    if result.cut:
        return "late" if result.total_s >= ask.deadline else "cut"
    if result.outcome != DONE:
        return result.reason or result.outcome or str(result.status)
    return "useful" if result.total_s <= ask.deadline else "late"


async def async_play(
    asks: list[Ask], ports: list[int], token_by_workspace: dict[str, str], plain: bool
) -> list[tuple[Ask, Result]]:
    """Send each ask at its time to the caller port of its host; return what came.

    A caller gives up at the deadline.
    """
    played: list[tuple[Ask, Result]] = []
    begun = time.perf_counter()

    async def async_caller(ask: Ask) -> None:
        port = ports[ask.host % len(ports)]
        request = request_of(ask, token_by_workspace[ask.workspace], plain)
        result = await async_request(port, request, ask.deadline)
        played.append((ask, result))

    async with curio.TaskGroup(wait=all) as group:
        for ask in asks:
            pause = ask.at - (time.perf_counter() - begun)
            if pause > 0:
                await curio.sleep(pause)
            await group.spawn(async_caller, ask)
    return played


def summarize(played: list[tuple[Ask, Result]]) -> dict[str, TierResult]:
    """Return the results by tier, the most important one first."""
    summary = {}
    for _, tier in sorted({(ask.tier_rank, ask.tier) for ask, _ in played}):
        outcomes = [
            (outcome_of(ask, result), result)
            for ask, result in played
            if ask.tier == tier
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
    """Play the arrivals of a pool against entry hosts that run already."""

    port: Annotated[list[int], cappa.Arg(long=True, help="caller ports on loopback")]
    tokens: Annotated[
        Path, cappa.Arg(long=True, help="JSON: bearer token by workspace name")
    ]
    pool: Annotated[str, cappa.Arg(long=True)] = "zaf-engines"
    rate: Annotated[float, cappa.Arg(long=True, help="requests a second")] = 5.0
    seconds: Annotated[float, cappa.Arg(long=True)] = 30.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    bursty: Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> None:
        """Play and print the results by tier as JSON."""
        pool = POOLS_BY_NAME[self.pool]
        asks = make_asks(pool, self.rate, self.seconds, self.bursty, self.seed)
        token_by_workspace = json.loads(self.tokens.read_text())
        plain = pool.upstreams[0].plain
        played = curio.run(async_play, asks, self.port, token_by_workspace, plain)
        sys.stdout.write(json.dumps(summarize(played), indent=1) + "\n")


def main() -> None:
    """Run the command line."""
    cappa.invoke(Replay)


if __name__ == "__main__":
    main()
