"""Load cases of routed pools, and the requests that they generate."""

import math
from typing import NamedTuple

import numpy as np

from bench.arrivals import make_hashes
from bench.models import OfferedRequest
from bench.routed.sheets import Kind, Sheet

MAX_PROMPT = 39_600
HINT_SPREAD = 0.5
"""Sigma of the log-normal error of callers' output estimates; its median is 1."""

SHARED_TOKENS = 60
MAX_EVENTS_FACTOR = 10
"""Maximum number of events in a response, as a multiple of the mean."""


class Case(NamedTuple):
    """Load and faults of a run; load is a multiple of the sheet's usual rates.

    From burst_from to burst_until, in seconds, the load is multiplied by burst_factor
    and that of workspace 1 also by hot_factor. Meanwhile, slow_engines engines run at a
    fifth of their speed. If owner_lost is set, the owner is replaced by another one in
    the middle of the run.
    """

    name: str
    load: float = 1.0
    burst_factor: float = 1.0
    hot_factor: float = 1.0
    burst_from: float = 6.0
    burst_until: float = 16.0
    slow_engines: int = 0
    owner_lost: bool = False
    duration: float = 30.0


CASES = (
    Case("calm"),
    Case("busy", load=1.4),
    Case("burst", burst_factor=1.9),
    Case("hot-workspace", load=1.2, hot_factor=8.0),
    Case("slow-engines", load=1.1, slow_engines=2),
    Case("owner-lost", load=1.1, owner_lost=True),
    Case("flood", load=1.2, burst_factor=4.0),
    Case("long-overload", load=2.0),
)
CASES_BY_NAME = {case.name: case for case in CASES}


def make_requests(sheet: Sheet, case: Case, seed: int) -> list[OfferedRequest]:
    """Return the requests of a run, in order of arrival."""
    rng = np.random.default_rng(seed)
    requests: list[OfferedRequest] = []
    for kind in sheet.kinds:
        requests += _requests_of_kind(sheet, kind, case, rng)
    requests.sort(key=lambda request: request.at)
    return [request._replace(number=number) for number, request in enumerate(requests)]


def _requests_of_kind(
    sheet: Sheet, kind: Kind, case: Case, rng: np.random.Generator
) -> list[OfferedRequest]:
    requests = []
    for workspace, share in enumerate(sheet.workspace_shares):
        hot_factor = case.hot_factor if workspace == 1 else 1.0
        rate = kind.per_s * share * case.load
        times = [rng.uniform(0, case.duration, rng.poisson(rate * case.duration))]
        extra = rate * (case.burst_factor * hot_factor - 1)
        span = case.burst_until - case.burst_from
        if extra > 0:
            count = rng.poisson(extra * span)
            times.append(rng.uniform(case.burst_from, case.burst_until, count))
        for at in np.concatenate(times):
            requests.append(
                _make_request(sheet, kind, f"workspace-{workspace}", float(at), rng)
            )
    return requests


def _make_request(
    sheet: Sheet, kind: Kind, workspace: str, at: float, rng: np.random.Generator
) -> OfferedRequest:
    prompt = min(MAX_PROMPT, _lognormal_size(kind.prompt, kind.prompt_spread, rng))
    max_events = MAX_EVENTS_FACTOR * int(kind.events)
    events = min(max_events, _lognormal_size(kind.events, kind.event_spread, rng))
    output = events * sheet.tokens_per_event
    hint = max(1, int(output * math.exp(HINT_SPREAD * rng.standard_normal())))
    subject = int(rng.integers(kind.subjects))
    return OfferedRequest(
        number=0,
        at=at,
        workspace=workspace,
        tier=str(kind.rank),
        tier_rank=kind.rank,
        kind=kind.name,
        prompt=prompt + SHARED_TOKENS,
        prompt_estimate=prompt + SHARED_TOKENS,
        output=output,
        output_estimate=hint,
        shared=SHARED_TOKENS,
        deadline=kind.deadline,
        prefix_hashes=make_hashes(
            prompt, SHARED_TOKENS, kind.rank << 16 | subject, int(rng.integers(1 << 30))
        ),
        host=int(rng.integers(sheet.hosts)),
    )


def _lognormal_size(mean: float, spread: float, rng: np.random.Generator) -> int:
    """Return a log-normally distributed size with the given mean."""
    median = mean / math.exp(spread * spread / 2)
    return max(1, int(median * math.exp(spread * rng.standard_normal())))
