"""Sums log lines up: what became of the requests, when, and for which reason."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from bitterntiller.cli.quota_summary import QuotaUse, quota_uses
from bitterntiller.cli.request_trace import Line, sampled
from bitterntiller.cli.served_parts import Served, ServedPart, served_by_part
from bitterntiller.components.dispatch.upstream_events import UpstreamChange

ENDED = "ended"
REFUSED = "refused"
_IN_USE = (UpstreamChange.USABLE, UpstreamChange.HEALTHY, UpstreamChange.RESTARTED)
STEPS = ("start", "voters-answered", "leading", "lease", "owner-answers", "sent")
"""Events that lead from the start of hosts to the first request that is sent."""


class Reason(NamedTuple):
    """Why requests of a service and tier were not served."""

    reason: str
    service: str
    tier: str


class Refusals(NamedTuple):
    """Requests that were refused for one reason; waited and told are in seconds."""

    count: int
    longest_wait: float
    mean_wait: float
    mean_told: float


class Span(NamedTuple):
    """A span of time: its beginning in seconds, and how many requests ended how."""

    begin: float
    count_by_end: dict[str, int]


class Start(NamedTuple):
    """After how many seconds from its last start a host came to each step."""

    host: str
    seconds_by_step: dict[str, float]


class Unused(NamedTuple):
    """An upstream that an owner has stopped using: why, and when, in seconds."""

    owner: str
    upstream: str
    change: str
    when: float


class Summary(NamedTuple):
    """What the logs of several hosts tell of all requests."""

    spans: list[Span]
    refusals_by_reason: dict[Reason, Refusals]
    failures_by_upstream: dict[str, int]
    starts: list[Start]
    served_by_part: dict[ServedPart, Served]
    unused: list[Unused]
    quotas: list[QuotaUse]
    part_by_host: dict[str, float]


def summarize(lines: Iterable[Line], seconds: float) -> Summary | None:
    """Return the summary of lines, by spans of so many seconds; None for no lines."""
    ordered = sorted(lines, key=lambda line: line.time)
    if not ordered:
        return None
    return Summary(
        spans=_spans(ordered, seconds),
        refusals_by_reason=_refusals(ordered),
        failures_by_upstream=_failures(ordered),
        starts=_starts(ordered),
        served_by_part=served_by_part(ordered),
        unused=_unused(ordered),
        quotas=quota_uses(ordered),
        part_by_host=sampled(ordered),
    )


def _end(line: Line) -> str:
    if line.event == REFUSED:
        return f"refused {line.fields.get('reason', '')}"
    return str(line.fields.get("outcome", ""))


def _spans(lines: list[Line], seconds: float) -> list[Span]:
    begin = lines[0].time
    counts: dict[int, Counter[str]] = {}
    for line in lines:
        if line.event in (ENDED, REFUSED):
            number = int((line.time - begin) / seconds)
            counts.setdefault(number, Counter())[_end(line)] += 1
    return [Span(number * seconds, dict(counts[number])) for number in sorted(counts)]


def _refusals(lines: list[Line]) -> dict[Reason, Refusals]:
    found: dict[Reason, list[tuple[float, float]]] = {}
    for line in lines:
        if line.event != REFUSED:
            continue
        fields = line.fields
        names = (str(fields.get(key) or "") for key in ("reason", "service", "tier"))
        times = (fields.get("waited") or 0.0, fields.get("retry_after") or 0.0)
        found.setdefault(Reason(*names), []).append(times)
    by_count = sorted(found.items(), key=lambda item: -len(item[1]))
    return {reason: _refused(times) for reason, times in by_count}


def _refused(times: list[tuple[float, float]]) -> Refusals:
    waits = [waited for waited, _ in times]
    told = [seconds for _, seconds in times]
    count = len(times)
    return Refusals(count, max(waits), sum(waits) / count, sum(told) / count)


def _failures(lines: list[Line]) -> dict[str, int]:
    counts = Counter(
        str(line.fields.get("upstream", ""))
        for line in lines
        if line.event == ENDED and line.fields.get("outcome") not in ("done", None)
    )
    return dict(counts.most_common())


def _unused(lines: list[Line]) -> list[Unused]:
    """Return what owners had stopped using when the lines end.

    Any host may own a pool, for those that turn to it; each one tells its own belief,
    and knows nothing after a start.
    """
    begin = lines[0].time
    last: dict[tuple[str, str], Unused] = {}
    for line in lines:
        if line.event == STEPS[0]:
            last = {key: told for key, told in last.items() if told.owner != line.host}
        if line.event != "upstream-use":
            continue
        upstream = str(line.fields.get("upstream", ""))
        change = str(line.fields.get("change", ""))
        told = Unused(line.host, upstream, change, line.time - begin)
        last[line.host, upstream] = told
    return [told for told in last.values() if told.change not in _IN_USE]


def _starts(lines: list[Line]) -> list[Start]:
    began_by_host: dict[str, float] = {}
    steps_by_host: dict[str, dict[str, float]] = {}
    for line in lines:
        if line.event not in STEPS:
            continue
        if line.event == STEPS[0]:
            began_by_host[line.host] = line.time
            steps_by_host[line.host] = {}
        elif line.host in began_by_host:
            after = line.time - began_by_host[line.host]
            steps_by_host[line.host].setdefault(line.event, after)
    return [Start(host, steps_by_host[host]) for host in sorted(steps_by_host)]
