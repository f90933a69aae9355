"""Build the trace of one request from the logs of several hosts."""

import fileinput
import json
import re
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

from bitterntiller.cli.errors import ToolError

ATTR_EVENT = "event"
ATTR_HOST = "host"
ATTR_REQUEST = "request"
ATTR_TIME = "time"
ATTR_SEQUENCE = "n"

CUT = "response-cut"
"""The event of a response that its caller did not get whole."""

CONTEXT_SECONDS = 3.0
"""Context events up to this many seconds before and after a request are shown."""

CONTEXT_EVENTS = frozenset(
    {
        "start",
        "stop",
        "stopped",
        "reload",
        "lease",
        "leading",
        "configuration",
        "owner-lost",
        "owner-answers",
        "link-silent",
        "upstream",
        "upstream-silent",
        "upstreams",
        "upstream-use",
        "upstream-path",
        "path",
        "versions",
        "rollout-ordered",
        "rollout-verdict",
        "disk-full",
        "disk-stalled",
        "lines-dropped",
        "sampling",
    }
)
"""Events of other requests or none that may explain what happened to a request."""

RELAY_EVENTS = frozenset({"tunnel-asked", "tunnel-ended", "path"})
"""Events about a request that don't belong to its steps at its own entry host."""

STREAM_EVENTS = frozenset({"sent", "ended", "refused", CUT})
"""Events of other attempts of a stream that are shown with a request."""

_CUT_BY = {
    "caller": "cut by its caller",
    "upstream": "cut by its upstream",
    "deadline": "cut at its deadline",
    "host": "cut by its entry host",
    "stop": "cut by the stop of its entry host",
}

_FINGERPRINT = re.compile(r"fingerprint ([0-9a-f]{16})")
_NON_FIELDS = frozenset({ATTR_EVENT, ATTR_HOST, ATTR_REQUEST, ATTR_TIME, ATTR_SEQUENCE})


class LogEvent(NamedTuple):
    """One event of a log; fields holds all keys that have no attribute here."""

    time: float
    host: str
    kind: str
    request: str
    fields: dict[str, Any]


class RequestTrace(NamedTuple):
    """Events about a request in order of time, and the cause of its end."""

    events: list[LogEvent]
    cause: str


@contextmanager
def open_logs(files: list[str]) -> Iterator[Iterator[LogEvent]]:
    """Open log files, with - for standard input, and yield their events.

    Raise ToolError when a file can't be read.
    """
    try:
        with fileinput.input(files, encoding="utf-8", errors="replace") as texts:
            yield read_events(texts)
    except OSError as error:
        raise ToolError(f"{error.filename}: {error.strerror}") from error


def read_events(texts: Iterable[str]) -> Iterator[LogEvent]:
    """Yield the events in lines of text; skip lines that are no events.

    Log collectors may prefix each line, so an event begins at the first brace.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            document = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(document, dict) and ATTR_EVENT in document:
            yield _to_event(document)


def _to_event(document: dict[str, Any]) -> LogEvent:
    return LogEvent(
        time=float(document.get(ATTR_TIME, 0.0)),
        host=str(document.get(ATTR_HOST, "")),
        kind=str(document[ATTR_EVENT]),
        request=str(document.get(ATTR_REQUEST, "")),
        fields={key: document[key] for key in document if key not in _NON_FIELDS},
    )


def trace_request(events: Iterable[LogEvent], request_id: str) -> RequestTrace | None:
    """Return the trace of a request, None when no event has its id."""
    kept = list(events)
    own_events = [event for event in kept if event.request == request_id]
    if not own_events:
        return None
    first = min(event.time for event in own_events) - CONTEXT_SECONDS
    last = max(event.time for event in own_events) + CONTEXT_SECONDS
    hosts = {event.host for event in own_events}
    context = [
        event
        for event in kept
        if event.kind in CONTEXT_EVENTS
        and first <= event.time <= last
        and _is_related(event, hosts, own_events)
    ]
    crashes = _crash_events(kept, own_events)
    attempts = _other_attempts(kept, own_events, request_id)
    events = sorted(
        [*own_events, *context, *crashes, *attempts], key=lambda event: event.time
    )
    cause = _explain_end(sorted(own_events, key=lambda event: event.time), context)
    if crashes:
        ended = ", ".join(str(event.fields.get("upstream")) for event in crashes)
        parts = any(event.fields.get("part") for event in crashes)
        what = "copies of it or parts of its prompt" if parts else "copies of it"
        cause = f"{cause}; upstreams that crashed on {what}: {ended}"
    if attempts:
        ids = ", ".join(dict.fromkeys(event.request for event in attempts))
        cause = f"{cause}; other attempts of its stream: {ids}"
    return RequestTrace(events, cause)


def _other_attempts(
    events: list[LogEvent], own_events: list[LogEvent], request_id: str
) -> list[LogEvent]:
    """Return the steps of the caller's other attempts of the same stream."""
    begun_by = {str(event.fields.get("begun_by") or "") for event in own_events}
    first_ids = (begun_by - {""}) or {request_id}
    others = {
        event.request for event in events if event.fields.get("begun_by") in first_ids
    }
    others |= first_ids
    others.discard(request_id)
    return [
        event
        for event in events
        if event.request in others and event.kind in STREAM_EVENTS
    ]


def _crash_events(events: list[LogEvent], own_events: list[LogEvent]) -> list[LogEvent]:
    """Return the first crash event of each upstream that crashed on this request.

    Requests with the same fingerprint count as copies of it, and so do those with one
    of its parts.
    """
    fingerprints = {event.fields.get("fingerprint") for event in own_events} - {None}
    for event in own_events:
        fingerprints.update(event.fields.get("parts") or ())
    for event in own_events:
        # The event of a refused copy has its fingerprint only in the error text.
        fingerprints.update(_FINGERPRINT.findall(str(event.fields.get("detail"))))
    found: dict[str, LogEvent] = {}
    for event in sorted(events, key=lambda event: event.time):
        fields = event.fields
        if event.kind == "upstream-crashed" and fields["fingerprint"] in fingerprints:
            found.setdefault(str(fields.get("upstream")), event)
    return list(found.values())


def _is_related(event: LogEvent, hosts: set[str], own_events: list[LogEvent]) -> bool:
    if event.host in hosts:
        return True
    names = {item.fields.get("upstream") for item in own_events} - {None, ""}
    states = event.fields.get("states") or {}
    return bool(names & {*states, event.fields.get("upstream")})


def _explain_end(own_events: list[LogEvent], context: list[LogEvent]) -> str:
    """Return one sentence that explains how the request ended."""
    cuts = [event for event in own_events if event.kind == CUT]
    if cuts:
        return _explain_cut(cuts[-1], own_events)
    steps = [event for event in own_events if event.kind not in RELAY_EVENTS]
    last = (steps or own_events)[-1]
    if last.kind == "refused":
        return _explain_refusal(last, own_events, context)
    failures = [event for event in own_events if event.kind == "attempt-ended"]
    if last.kind == "ended" and last.fields.get("outcome") == "done":
        return _explain_served(last, own_events, failures)
    if last.kind == "ended":
        text = f"ended as {last.fields.get('outcome')} at {last.fields.get('upstream')}"
        responses = [event for event in own_events if event.kind == "answer"]
        if not responses:
            return f"{text}: the upstream sent no response"
        return f"{text}: its response status was {responses[-1].fields.get('status')}"
    return f"the logs end with {last.kind}: the process may have ended"


def _explain_cut(event: LogEvent, own_events: list[LogEvent]) -> str:
    """Return by whom a response was cut, and why, when, what was tried and changed."""
    fields = event.fields
    by = _CUT_BY.get(str(fields.get("by")), f"cut by {fields.get('by')}")
    reason = ": ".join(filter(None, (fields.get("reason"), fields.get("detail"))))
    progress = f"after {fields.get('output')} events of output"
    if not fields.get("started"):
        progress = "before any of its response"
    times = f"{fields.get('total')} s after its arrival, {fields.get('left')} s left"
    parts = [
        f"{by} at {event.host} ({reason}) {progress}, {times}",
        _explain_tries(fields, own_events),
        _explain_given_up(own_events),
        _explain_configuration(fields),
    ]
    return "; ".join(filter(None, parts))


def _explain_tries(fields: dict[str, Any], own_events: list[LogEvent]) -> str:
    """Return the upstreams that a request was sent to, and why attempts ended."""
    upstreams = [*(fields.get("tried") or ()), fields.get("upstream")]
    names = ", ".join(dict.fromkeys(filter(None, upstreams)))
    if not names:
        return "not sent to any upstream"
    text = f"sent in {fields.get('runs')} runs, tried {names}"
    failures = [event for event in own_events if event.kind == "attempt-ended"]
    reasons = ", ".join(_reason(event) for event in failures)
    return f"{text}, attempts ended as: {reasons}" if reasons else text


def _reason(event: LogEvent) -> str:
    detail = event.fields.get("detail")
    reason = str(event.fields.get("reason"))
    return f"{reason} ({detail})" if detail else reason


def _explain_given_up(own_events: list[LogEvent]) -> str:
    """Return what the last owner that refused a request said, empty if none did."""
    given_up = [event for event in own_events if event.kind == "given-up"]
    if not given_up:
        return ""
    fields = given_up[-1].fields
    return (
        f"its owner {given_up[-1].host} refused it as {fields.get('reason')}, "
        f"with {fields.get('upstreams')} upstreams and {fields.get('waiting')} waiting"
    )


def _explain_configuration(fields: dict[str, Any]) -> str:
    """Return whether the configuration changed since a request was identified."""
    identified, now = fields.get("config_version"), fields.get("config_now")
    if identified == now:
        return f"configuration {now} throughout"
    age = fields.get("config_age")
    return f"the configuration changed from {identified} to {now}, {age} s before"


def _explain_refusal(
    event: LogEvent, own_events: list[LogEvent], context: list[LogEvent]
) -> str:
    fields = event.fields
    text = f"refused with {fields.get('status')}: {fields.get('reason')}"
    lost = [
        item for item in context if item.kind == "lease" and not item.fields["held"]
    ]
    if fields.get("reason") == "no-lease" and lost:
        when = event.time - lost[-1].time
        return f"{text}; the host lost its lease {when:.1f} s before"
    counted = [item for item in own_events if item.kind == "quota"]
    if fields.get("reason") == "quota" and counted:
        return f"{text}; {_explain_quota(counted[-1])}"
    text = f"{text}, after {fields.get('waited')} s of waiting"
    given_up = [item for item in own_events if item.kind == "given-up"]
    if given_up and given_up[-1].fields.get("upstreams") == 0:
        return f"{text}; its owner had no upstream for it"
    return text


def _explain_quota(event: LogEvent) -> str:
    """Return the figures behind a decision of the counting host."""
    fields = event.fields
    reserved = "reserved" if fields.get("retry_reserved") else "not reserved"
    return (
        f"{event.host} counted {fields.get('level')} available and "
        f"{fields.get('left')} of {fields.get('of')} left in the window for "
        f"{fields.get('workspace')}, "
        f"{fields.get('amount')} requested and {fields.get('ahead')} queued before it; "
        f"quota is {reserved} for a retry in {fields.get('retry_after')} s"
    )


def sample_fractions(events: Iterable[LogEvent]) -> dict[str, float]:
    """Return the log sampling fraction of hosts that log only some requests."""
    last = {
        event.host: float(event.fields.get("part", 1.0))
        for event in sorted(events, key=lambda event: event.time)
        if event.kind == "sampling"
    }
    return {host: fraction for host, fraction in last.items() if fraction < 1}


def _explain_served(
    last: LogEvent, own_events: list[LogEvent], failures: list[LogEvent]
) -> str:
    sent = [event for event in own_events if event.kind == "sent"]
    waited = sent[0].fields.get("waited") if sent else None
    text = f"served after {last.fields.get('total')} s, {waited} s of it waiting"
    if failures:
        reasons = ", ".join(str(event.fields.get("reason")) for event in failures)
        text = f"{text}; retried after: {reasons}"
    return text
