"""Summarize logs: how requests ended, when, and why they were refused."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from bitterntiller.cli.cut_summary import CutResponses, summarize_cuts
from bitterntiller.cli.quota_summary import QuotaDecisions, summarize_quotas
from bitterntiller.cli.request_trace import LogEvent, sample_fractions
from bitterntiller.cli.served_counts import RequestGroup, ServedCount, served_by_group
from bitterntiller.cli.stream_summary import ContinuedStreams, summarize_streams
from bitterntiller.components.dispatch.upstream_events import UpstreamChange

ENDED = "ended"
REFUSED = "refused"
_IN_USE = (
    UpstreamChange.USABLE,
    UpstreamChange.HEALTHY,
    UpstreamChange.RESTARTED,
    UpstreamChange.READMITTED,
)
STARTUP_STEPS = (
    "start",
    "voters-answered",
    "leading",
    "lease",
    "owner-answers",
    "sent",
)
"""Events from the start of a host to its first request to an upstream, in order."""


class RefusalReason(NamedTuple):
    """A reason for refusals, with the service and tier that it applied to."""

    reason: str
    service: str
    tier: str


class RefusalStats(NamedTuple):
    """Requests refused for one reason; waits and Retry-After are in seconds."""

    count: int
    max_wait: float
    mean_wait: float
    mean_retry_after: float


class Span(NamedTuple):
    """An interval: its begin in seconds from the first event, and requests by end."""

    begin: float
    count_by_end: dict[str, int]


class HostStart(NamedTuple):
    """Seconds from the last start of a host to each startup step."""

    host: str
    seconds_by_step: dict[str, float]


class UnusedUpstream(NamedTuple):
    """An upstream that an owner stopped using, with the change that caused it.

    when is in seconds from the first event.
    """

    owner: str
    upstream: str
    change: str
    when: float


class LostPath(NamedTuple):
    """A path from a host to an upstream that is lost when the logs end.

    when is in seconds from the first event; through names the hosts that its requests
    went through since.
    """

    host: str
    upstream: str
    when: float
    through: list[str]


class Summary(NamedTuple):
    """Summary of all requests in the logs of several hosts."""

    spans: list[Span]
    refusals_by_reason: dict[RefusalReason, RefusalStats]
    failures_by_upstream: dict[str, int]
    host_starts: list[HostStart]
    served_by_group: dict[RequestGroup, ServedCount]
    unused_upstreams: list[UnusedUpstream]
    lost_paths: list[LostPath]
    quotas: list[QuotaDecisions]
    fraction_by_host: dict[str, float]
    continued_streams: list[ContinuedStreams]
    cut_responses: list[CutResponses]


def summarize(events: Iterable[LogEvent], seconds: float) -> Summary | None:
    """Summarize events in intervals of so many seconds; None without any event."""
    ordered = sorted(events, key=lambda event: event.time)
    if not ordered:
        return None
    return Summary(
        spans=_spans(ordered, seconds),
        refusals_by_reason=_refusals(ordered),
        failures_by_upstream=_failures(ordered),
        host_starts=_starts(ordered),
        served_by_group=served_by_group(ordered),
        unused_upstreams=_unused_upstreams(ordered),
        lost_paths=_lost_paths(ordered),
        quotas=summarize_quotas(ordered),
        fraction_by_host=sample_fractions(ordered),
        continued_streams=summarize_streams(ordered),
        cut_responses=summarize_cuts(ordered),
    )


def _end(event: LogEvent) -> str:
    if event.kind == REFUSED:
        return f"refused {event.fields.get('reason', '')}"
    return str(event.fields.get("outcome", ""))


def _spans(events: list[LogEvent], seconds: float) -> list[Span]:
    begin = events[0].time
    counts: dict[int, Counter[str]] = {}
    for event in events:
        if event.kind in (ENDED, REFUSED):
            number = int((event.time - begin) / seconds)
            counts.setdefault(number, Counter())[_end(event)] += 1
    return [Span(number * seconds, dict(counts[number])) for number in sorted(counts)]


def _refusals(events: list[LogEvent]) -> dict[RefusalReason, RefusalStats]:
    found: dict[RefusalReason, list[tuple[float, float]]] = {}
    for event in events:
        if event.kind != REFUSED:
            continue
        fields = event.fields
        names = (str(fields.get(key) or "") for key in ("reason", "service", "tier"))
        times = (fields.get("waited") or 0.0, fields.get("retry_after") or 0.0)
        found.setdefault(RefusalReason(*names), []).append(times)
    by_count = sorted(found.items(), key=lambda item: -len(item[1]))
    return {reason: _refusal_stats(times) for reason, times in by_count}


def _refusal_stats(times: list[tuple[float, float]]) -> RefusalStats:
    waits = [waited for waited, _ in times]
    retry_delays = [seconds for _, seconds in times]
    count = len(times)
    return RefusalStats(
        count, max(waits), sum(waits) / count, sum(retry_delays) / count
    )


def _failures(events: list[LogEvent]) -> dict[str, int]:
    counts = Counter(
        str(event.fields.get("upstream", ""))
        for event in events
        if event.kind == ENDED and event.fields.get("outcome") not in ("done", None)
    )
    return dict(counts.most_common())


def _unused_upstreams(events: list[LogEvent]) -> list[UnusedUpstream]:
    """Return the upstreams that were out of use when the logs end, by owner.

    Any host may own a pool for the hosts that address it as owner. Each owner logs its
    own view of an upstream and starts without one, so a start discards earlier events
    of that host.
    """
    begin = events[0].time
    last_changes: dict[tuple[str, str], UnusedUpstream] = {}
    for event in events:
        if event.kind == STARTUP_STEPS[0]:
            last_changes = {
                key: item
                for key, item in last_changes.items()
                if item.owner != event.host
            }
        if event.kind != "upstream-use":
            continue
        upstream = str(event.fields.get("upstream", ""))
        change = str(event.fields.get("change", ""))
        unused = UnusedUpstream(event.host, upstream, change, event.time - begin)
        last_changes[event.host, upstream] = unused
    return [item for item in last_changes.values() if item.change not in _IN_USE]


def _lost_paths(events: list[LogEvent]) -> list[LostPath]:
    """Return the paths that are lost when the logs end, by host."""
    begin = events[0].time
    lost: dict[tuple[str, str], LostPath] = {}
    for event in events:
        if event.kind == STARTUP_STEPS[0]:
            lost = {key: item for key, item in lost.items() if key[0] != event.host}
        key = (event.host, str(event.fields.get("upstream", "")))
        if event.kind == "path":
            lost.pop(key, None)
            if not event.fields.get("reached"):
                lost[key] = LostPath(*key, event.time - begin, [])
        elif event.kind == "tunnel" and event.fields.get("status") == "ok":
            relay = str(event.fields.get("relay", ""))
            if key in lost and relay not in lost[key].through:
                lost[key].through.append(relay)
    return list(lost.values())


def _starts(events: list[LogEvent]) -> list[HostStart]:
    began_by_host: dict[str, float] = {}
    steps_by_host: dict[str, dict[str, float]] = {}
    for event in events:
        if event.kind not in STARTUP_STEPS:
            continue
        if event.kind == STARTUP_STEPS[0]:
            began_by_host[event.host] = event.time
            steps_by_host[event.host] = {}
        elif event.host in began_by_host:
            after = event.time - began_by_host[event.host]
            steps_by_host[event.host].setdefault(event.kind, after)
    return [HostStart(host, steps_by_host[host]) for host in sorted(steps_by_host)]
