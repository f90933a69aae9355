"""Scores of a run: worth earned overall, in its worst windows and of its worst kind."""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from bench.models import OfferedRequest
from bench.routed.entry_hosts import RoutedAttempt

WINDOW_SECONDS = 2.0
WORST_WINDOWS = 2
MIN_WINDOW_FRACTION = 0.25
"""Windows that owe less worth than this fraction of the mean are ignored."""

BASE_WEIGHT = 0.3
MAX_WEIGHT = 4.0
"""Weight of a request: BASE_WEIGHT + (1 - BASE_WEIGHT) * size / mean size of its kind,
at most MAX_WEIGHT."""

OUTPUT_WEIGHT = 10
"""Prompt tokens that one output token equals in the size of a request."""

LARGEST_FRACTION = 0.1
LATE_REFUSAL_FRACTION = 0.125
"""Fraction of its objective after which a refusal counts as late."""


class RunScore(NamedTuple):
    """Worth earned over worth owed, and how requests ended.

    Fractions are between 0 and 1. refused_late are requests refused after more than an
    eighth of their objective; back_served were served by a retry after a refusal. sizes
    has for each kind the fractions served of its largest tenth and of all its requests;
    largest is the minimum ratio of the two. worth_by_kind is the worth earned over the
    worth owed of each kind. held is the mean time in seconds that
    refused attempts waited. slot_seconds are the seconds for which requests occupied
    slots, by kind and outcome.
    """

    worth: float
    worst_windows: float
    worst_kind: float
    worth_by_kind: dict[str, float]
    in_time: float
    late: float
    refused: float
    refused_late: float
    back_served: float
    sizes: dict[str, tuple[float, float]]
    largest: float
    held: float
    slot_seconds: dict[str, float]


def score_run(attempts: list[RoutedAttempt], duration: float) -> RunScore:
    """Return the score of a run from all its attempts."""
    attempts_by_request: dict[OfferedRequest, list[RoutedAttempt]] = defaultdict(list)
    for attempt in attempts:
        attempts_by_request[attempt.request].append(attempt)
    owed: dict[tuple[str, float | str], float] = defaultdict(float)
    earned: dict[tuple[str, float | str], float] = defaultdict(float)
    ends: dict[str, int] = defaultdict(int)
    served_by_kind: dict[str, list[tuple[int, bool]]] = defaultdict(list)
    mean_by_kind = _mean_sizes(attempts_by_request)
    for request, request_attempts in attempts_by_request.items():
        end, earned_worth = _outcome(request, request_attempts)
        ends[end] += 1
        ends["back"] += end in ("in-time", "late") and len(request_attempts) > 1
        ends["refused-late"] += any(_refused_late(item) for item in request_attempts)
        served_by_kind[request.kind].append(
            (_size(request), end in ("in-time", "late"))
        )
        window = request.at // WINDOW_SECONDS * WINDOW_SECONDS
        weight = _weight(_size(request) / mean_by_kind[request.kind])
        for key in (("all", ""), ("window", window), ("kind", request.kind)):
            owed[key] += weight * request_attempts[0].kind.worth
            earned[key] += weight * earned_worth
    count = len(attempts_by_request)
    sizes = {kind: _served_fractions(served) for kind, served in served_by_kind.items()}
    windows = duration / WINDOW_SECONDS
    min_owed = MIN_WINDOW_FRACTION * owed["all", ""] / windows
    earned_fractions = {key: earned[key] / value for key, value in owed.items()}
    window_fractions = sorted(
        fraction
        for key, fraction in earned_fractions.items()
        if key[0] == "window" and owed[key] > min_owed
    )
    worth_by_kind = {
        kind: fraction
        for (key, kind), fraction in earned_fractions.items()
        if key == "kind"
    }
    return RunScore(
        worth=earned_fractions["all", ""],
        worst_windows=sum(window_fractions[:WORST_WINDOWS]) / WORST_WINDOWS,
        worst_kind=min(worth_by_kind.values()),
        worth_by_kind=worth_by_kind,
        in_time=ends["in-time"] / count,
        late=ends["late"] / count,
        refused=ends["refused"] / count,
        refused_late=ends["refused-late"] / count,
        back_served=ends["back"] / count,
        sizes=sizes,
        largest=min(tenth / all_ if all_ else 1.0 for tenth, all_ in sizes.values()),
        held=_mean_refusal_wait(attempts),
        slot_seconds=_slot_seconds(attempts),
    )


def _served_fractions(served: list[tuple[int, bool]]) -> tuple[float, float]:
    """Return the fractions served of the largest tenth and of all."""
    by_size = [done for _, done in sorted(served)]
    tenth = by_size[-max(1, int(LARGEST_FRACTION * len(by_size))) :]
    return sum(tenth) / len(tenth), sum(by_size) / len(by_size)


def _mean_refusal_wait(attempts: list[RoutedAttempt]) -> float:
    waits = [a.ended - a.arrived for a in attempts if a.outcome == "refused"]
    return sum(waits) / len(waits) if waits else 0.0


def _size(request: OfferedRequest) -> int:
    """Return the size of a request from its prompt and its stated output tokens."""
    return request.prompt + OUTPUT_WEIGHT * request.output_estimate


def _mean_sizes(requests: Iterable[OfferedRequest]) -> dict[str, float]:
    sizes_by_kind: dict[str, list[int]] = defaultdict(list)
    for request in requests:
        sizes_by_kind[request.kind].append(_size(request))
    return {kind: sum(sizes) / len(sizes) for kind, sizes in sizes_by_kind.items()}


def _weight(size: float) -> float:
    """Return the weight of a request from its size over the mean of its kind."""
    return min(MAX_WEIGHT, BASE_WEIGHT + (1 - BASE_WEIGHT) * size)


def _outcome(
    request: OfferedRequest, request_attempts: list[RoutedAttempt]
) -> tuple[str, float]:
    kind = request_attempts[0].kind
    for attempt in request_attempts:
        if attempt.outcome != "useful":
            continue
        if attempt.first_token - request.at <= kind.objective:
            return "in-time", kind.worth
        return "late", kind.late
    return ("refused" if request_attempts[-1].outcome == "refused" else "lost"), 0.0


def _refused_late(attempt: RoutedAttempt) -> bool:
    waited = (attempt.ended or 0.0) - attempt.arrived
    late = waited > LATE_REFUSAL_FRACTION * attempt.kind.objective
    return attempt.outcome == "refused" and late


def _slot_seconds(attempts: list[RoutedAttempt]) -> dict[str, float]:
    seconds: dict[str, float] = defaultdict(float)
    for attempt in attempts:
        if attempt.granted is None or attempt.ended is None:
            continue
        late = (attempt.first_token or attempt.ended) - attempt.request.at
        end = "in time" if late <= attempt.kind.objective else "late"
        if attempt.outcome != "useful":
            end = "in vain"
        seconds[f"{attempt.request.kind} {end}"] += attempt.ended - attempt.granted
    return dict(seconds)
