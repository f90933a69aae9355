"""Joins the log lines of several hosts into the trace of one request."""

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

BESIDE_SECONDS = 3.0
"""Seconds around a request in which what a host came to believe is told with it."""

BELIEFS = frozenset(
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
        "versions",
        "rollout-ordered",
        "rollout-verdict",
        "disk-full",
        "disk-stalled",
        "lines-dropped",
        "sampling",
    }
)
"""Events that name no request and may still explain one."""

_FINGERPRINT = re.compile(r"fingerprint ([0-9a-f]{16})")
_LEFT_OUT = frozenset({ATTR_EVENT, ATTR_HOST, ATTR_REQUEST, ATTR_TIME, ATTR_SEQUENCE})


class Line(NamedTuple):
    """One event of a log; fields are those beside time, host and event."""

    time: float
    host: str
    event: str
    request: str
    fields: dict[str, Any]


class RequestTrace(NamedTuple):
    """What the logs tell of a request, in the order of time, and how it ended."""

    lines: list[Line]
    cause: str


@contextmanager
def lines_of(files: list[str]) -> Iterator[Iterator[Line]]:
    """Open files of logs, - for standard input, for their lines; raise ToolError."""
    try:
        with fileinput.input(files, encoding="utf-8", errors="replace") as texts:
            yield read_lines(texts)
    except OSError as error:
        raise ToolError(f"{error.filename}: {error.strerror}") from error


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the events among lines of text; others are passed over.

    Whatever collects the logs may put something before each line.
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
            yield _line(document)


def _line(document: dict[str, Any]) -> Line:
    return Line(
        time=float(document.get(ATTR_TIME, 0.0)),
        host=str(document.get(ATTR_HOST, "")),
        event=str(document[ATTR_EVENT]),
        request=str(document.get(ATTR_REQUEST, "")),
        fields={key: document[key] for key in document if key not in _LEFT_OUT},
    )


def tell(lines: Iterable[Line], request_id: str) -> RequestTrace | None:
    """Return the trace of a request, None when no line names it."""
    kept = list(lines)
    own = [line for line in kept if line.request == request_id]
    if not own:
        return None
    first = min(line.time for line in own) - BESIDE_SECONDS
    last = max(line.time for line in own) + BESIDE_SECONDS
    hosts = {line.host for line in own}
    beside = [
        line
        for line in kept
        if line.event in BELIEFS
        and first <= line.time <= last
        and _concerns(line, hosts, own)
    ]
    crashes = _crashes(kept, own)
    lines = sorted([*own, *beside, *crashes], key=lambda line: line.time)
    cause = _cause(sorted(own, key=lambda line: line.time), beside)
    if crashes:
        ended = ", ".join(str(line.fields.get("upstream")) for line in crashes)
        cause = f"{cause}; upstreams that ended under copies of it: {ended}"
    return RequestTrace(lines, cause)


def _crashes(lines: list[Line], own: list[Line]) -> list[Line]:
    """Return one line for each upstream that ended under a copy of a request."""
    fingerprints = {line.fields.get("fingerprint") for line in own} - {None}
    for line in own:
        # A copy that was refused names it in the text that its caller got.
        fingerprints.update(_FINGERPRINT.findall(str(line.fields.get("detail"))))
    found: dict[str, Line] = {}
    for line in sorted(lines, key=lambda line: line.time):
        fields = line.fields
        if line.event == "upstream-crashed" and fields["fingerprint"] in fingerprints:
            found.setdefault(str(fields.get("upstream")), line)
    return list(found.values())


def _concerns(line: Line, hosts: set[str], own: list[Line]) -> bool:
    if line.host in hosts:
        return True
    names = {item.fields.get("upstream") for item in own} - {None, ""}
    states = line.fields.get("states") or {}
    return bool(names & {*states, line.fields.get("upstream")})


def _cause(own: list[Line], beside: list[Line]) -> str:
    """Return in one sentence what the last decision on the request rests on."""
    last = own[-1]
    if last.event == "refused":
        return _refusal(last, own, beside)
    failures = [line for line in own if line.event == "attempt-ended"]
    if last.event == "ended" and last.fields.get("outcome") == "done":
        return _served(last, own, failures)
    if last.event == "ended":
        text = f"ended as {last.fields.get('outcome')} at {last.fields.get('upstream')}"
        answers = [line for line in own if line.event == "answer"]
        if not answers:
            return f"{text}: no answer came from the upstream"
        return f"{text}: its answer had status {answers[-1].fields.get('status')}"
    return f"the logs end with {last.event}: the process may have ended"


def _refusal(line: Line, own: list[Line], beside: list[Line]) -> str:
    fields = line.fields
    text = f"refused with {fields.get('status')}: {fields.get('reason')}"
    lost = [
        item for item in beside if item.event == "lease" and not item.fields["held"]
    ]
    if fields.get("reason") == "no-lease" and lost:
        when = line.time - lost[-1].time
        return f"{text}; the host lost its lease {when:.1f} s before"
    counted = [item for item in own if item.event == "quota"]
    if fields.get("reason") == "quota" and counted:
        return f"{text}; {_counted(counted[-1])}"
    text = f"{text}, after {fields.get('waited')} s of waiting"
    given_up = [item for item in own if item.event == "given-up"]
    if given_up and given_up[-1].fields.get("upstreams") == 0:
        return f"{text}; its owner knew no upstream for it"
    return text


def _counted(line: Line) -> str:
    """Return what the host that counts quotas decided by."""
    fields = line.fields
    kept = "kept" if fields.get("retry_reserved") else "not kept"
    return (
        f"{line.host} counted {fields.get('level')} to be used and "
        f"{fields.get('left')} of {fields.get('of')} left in the window for "
        f"{fields.get('workspace')}, "
        f"{fields.get('amount')} asked for and {fields.get('ahead')} before it in the "
        f"line; room is {kept} for it in {fields.get('retry_after')} s"
    )


def sampled(lines: Iterable[Line]) -> dict[str, float]:
    """Return the hosts that tell only a part of their requests, and the part."""
    last = {
        line.host: float(line.fields.get("part", 1.0))
        for line in sorted(lines, key=lambda line: line.time)
        if line.event == "sampling"
    }
    return {host: part for host, part in last.items() if part < 1}


def _served(last: Line, own: list[Line], failures: list[Line]) -> str:
    sent = [line for line in own if line.event == "sent"]
    waited = sent[0].fields.get("waited") if sent else None
    text = f"served after {last.fields.get('total')} s, {waited} s of it waiting"
    if failures:
        reasons = ", ".join(str(line.fields.get("reason")) for line in failures)
        text = f"{text}; sent again after: {reasons}"
    return text
