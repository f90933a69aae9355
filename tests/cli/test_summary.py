"""Tests of `bitterntiller summary` on the logs of several hosts."""

from typing import Any

import pytest

from bitterntiller.cli import const, tool
from bitterntiller.cli.cut_summary import CutCause, CutResponses
from bitterntiller.cli.errors import ToolError
from bitterntiller.cli.log_summary import (
    LostPath,
    RefusalReason,
    RefusalStats,
    UnusedUpstream,
    summarize,
)
from bitterntiller.cli.quota_summary import QuotaDecisions
from bitterntiller.cli.request_trace import open_logs, read_events
from bitterntiller.cli.stream_summary import ContinuedStreams
from tests.cli.test_explain import event, write_log


def refused(
    time: float, waited: float, retry_after: float | None = 1.0
) -> dict[str, Any]:
    return event(
        time,
        "edge-1",
        "refused",
        request=f"r{time}",
        reason="quota",
        service="llm",
        tier="gold",
        waited=waited,
        retry_after=retry_after,
    )


def ended(time: float, outcome: str, upstream: str = "e1") -> dict[str, Any]:
    return event(
        time, "edge-1", "ended", request=f"r{time}", outcome=outcome, upstream=upstream
    )


def summed(tmp_path: Any, *events: dict[str, Any]) -> Any:
    path = write_log(tmp_path / "log", *events)
    with open(path, encoding="utf-8") as texts:
        return summarize(read_events(texts), 2.0)


def test_ends_are_counted_by_spans_and_reasons(tmp_path):
    """Refusals come in bursts; the summary groups them by interval and reason."""
    found = summed(
        tmp_path,
        refused(15.0, 3.0, None),
        ended(10.0, "done"),
        ended(11.9, "failed", "e2"),
        refused(14.1, 1.0),
    )
    assert [(span.begin, span.count_by_end) for span in found.spans] == [
        (0.0, {"done": 1, "failed": 1}),
        (4.0, {"refused quota": 2}),
    ]
    reason = RefusalReason("quota", "llm", "gold")
    assert found.refusals_by_reason == {reason: RefusalStats(2, 3.0, 2.0, 0.5)}
    assert found.failures_by_upstream == {"e2": 1}


def test_steps_are_counted_from_the_last_start(tmp_path):
    """After a power loss the summary shows which startup step took the time."""
    found = summed(
        tmp_path,
        event(1.0, "core-1", "start"),
        event(2.0, "core-1", "leading"),
        event(50.0, "core-1", "start"),
        event(50.1, "core-1", "voters-answered"),
        event(50.2, "core-1", "leading"),
        event(50.9, "core-1", "lease"),
        event(51.9, "core-1", "lease"),
        event(3.0, "edge-9", "lease"),
    )
    (start,) = found.host_starts
    assert start.host == "core-1"
    steps = {step: round(after, 3) for step, after in start.seconds_by_step.items()}
    assert steps == {"voters-answered": 0.1, "leading": 0.2, "lease": 0.9}


def test_largest_requests_and_routes_are_counted_separately(tmp_path):
    """A new route or the largest requests may starve while the total looks good."""
    lines = [
        {**ended(10.0 + n, "done"), "service": "llm", "tokens": n, "route": "first"}
        for n in range(18)
    ]
    for n in (1, 2):
        lines.append({**refused(40.0 + n, 0.1), "tokens": 900 + n, "route": "new"})
    found = {
        part.group: (served.received, served.served)
        for part, served in summed(tmp_path, *lines).served_by_group.items()
    }
    assert found == {
        "all": (20, 18),
        "largest tenth": (2, 0),
        "route first": (18, 18),
        "route new": (2, 0),
    }


def test_unused_upstreams_are_listed_with_their_owner(tmp_path):
    """Upstreams are idle while requests wait; only events of their owner say why."""
    found = summed(
        tmp_path,
        event(1.0, "core-1", "upstream-use", upstream="e1", change="usable"),
        event(1.0, "core-1", "upstream-use", upstream="e2", change="usable"),
        event(3.0, "core-1", "upstream-use", upstream="e2", change="sick"),
        event(3.5, "core-1", "upstream-use", upstream="e2", change="well"),
        event(61.0, "core-1", "upstream-use", upstream="e1", change="forgotten"),
        event(62.0, "core-2", "upstream-use", upstream="e1", change="usable"),
        event(63.0, "core-3", "upstream-use", upstream="e1", change="silent"),
        event(64.0, "core-3", "start"),
    )
    assert found.unused_upstreams == [UnusedUpstream("core-1", "e1", "forgotten", 60.0)]


def test_lost_paths_are_listed_with_the_hosts_gone_through(tmp_path):
    def path(time: float, host: str, upstream: str, reached: bool) -> dict[str, Any]:
        return event(time, host, "path", upstream=upstream, reached=reached)

    def tunnel(time: float, relay: str, status: str) -> dict[str, Any]:
        fields = {"upstream": "e1", "relay": relay, "status": status}
        return event(time, "edge-1", "tunnel", **fields)

    found = summed(
        tmp_path,
        path(1.0, "edge-1", "e1", False),
        path(2.0, "edge-1", "e2", False),
        path(3.0, "edge-1", "e2", True),
        path(3.0, "edge-2", "e1", False),
        tunnel(4.0, "edge-3", "ok"),
        tunnel(5.0, "edge-4", "unreachable"),
        tunnel(6.0, "edge-3", "ok"),
        event(7.0, "edge-2", "start"),
    )
    assert found.lost_paths == [LostPath("edge-1", "e1", 0.0, ["edge-3"])]


def test_command_prints_all_tables(tmp_path, capsys):
    path = write_log(
        tmp_path / "log", event(1.0, "core-1", "start"), refused(2.0, 0.25)
    )
    assert tool.run(["summary", path]) == const.EXIT_OK
    printed = capsys.readouterr().out
    assert "1 refused quota" in printed
    assert "quota llm gold: 0.25 0.25 1.00" in printed
    assert "core-1" in printed


@pytest.mark.parametrize("arguments", [["/no/such/file"], ["--span", "0", "/dev/null"]])
def test_invalid_input_is_reported(arguments, capsys):
    assert tool.run(["summary", *arguments]) != const.EXIT_OK
    assert "bitterntiller:" in capsys.readouterr().err


def test_file_without_events(tmp_path, capsys):
    path = tmp_path / "empty"
    path.write_text("nothing\n")
    assert tool.run(["summary", str(path)]) == ToolError("").exit_code
    assert "no log events" in capsys.readouterr().err


def quota_event(
    time: float, reserved: bool, left: int, **fields: Any
) -> dict[str, Any]:
    return event(
        time,
        "core-1",
        "quota",
        request=f"r{time}",
        workspace="wards",
        reserved=reserved,
        left=left,
        of=1000,
        waited=0.0,
        **fields,
    )


def test_quota_decisions_are_summarized_by_workspace(tmp_path, capsys):
    """A refusal by quota does not say which host counted, nor how much was left."""
    path = write_log(
        tmp_path / "log",
        quota_event(1.0, True, 800),
        quota_event(1.1, False, 50, retry_reserved=True),
        quota_event(1.2, False, 20, retry_reserved=False),
        event(1.3, "core-1", "sampling", part=0.25, left_out=7),
    )
    with open(path, encoding="utf-8") as texts:
        found = summarize(read_events(texts), 2.0)
    assert found.quotas == [QuotaDecisions("core-1", "wards", 3, 2, 1, 0.0, 0.02)]
    assert tool.run(["summary", path]) == const.EXIT_OK
    text = capsys.readouterr().out
    assert "wards core-1: 0.00 s, 0.02" in text
    assert "core-1 0.25" in text


def test_streams_taken_up_are_counted_by_version(tmp_path):
    """Streams that could not go on were hidden among other refusals."""
    sent = {"begun_by": "r0", "caller_after": 4, "version": "v1"}
    summary = summed(
        tmp_path,
        event(1.0, "edge-1", "sent", request="r1", version="v2", caller_after=0),
        event(1.1, "edge-1", "ended", request="r1", outcome="done", service="llm"),
        event(2.0, "edge-1", "sent", request="r2", **sent),
        event(2.1, "edge-1", "ended", request="r2", outcome="unknown", service="llm"),
        event(2.2, "edge-1", "sent", request="r3", **sent),
        event(
            2.3, "edge-1", "ended", request="r3", outcome="x", output=2, service="llm"
        ),
        event(
            2.4, "edge-1", "refused", request="r4", reason="version-gone", service="llm"
        ),
    )
    assert summary.continued_streams == [
        ContinuedStreams("llm", "", 1, 0, {"version-gone": 1}),
        ContinuedStreams("llm", "v1", 2, 1, {}),
    ]


def test_cut_responses_are_counted_by_cause_and_route(tmp_path, capsys):
    """Cut streams looked like requests that had not run, or like callers that left."""

    def cut(time: float, host: str, by: str, reason: str, **more: Any) -> Any:
        shared = {"service": "llm", "route": "", "config_version": 4, "config_now": 4}
        fields = {"by": by, "reason": reason, "started": True} | shared | more
        return event(time, host, "response-cut", request=f"r{time}", **fields)

    first = write_log(
        tmp_path / "edge-1",
        cut(1.0, "edge-1", "upstream", "lost-answer", route="ward-report"),
        cut(1.1, "edge-1", "host", "too-late", route="ward-report"),
        cut(1.2, "edge-1", "caller", "caller-gone", started=False),
    )
    second = write_log(
        tmp_path / "edge-2",
        cut(1.3, "edge-2", "host", "too-late", route="ward-report", config_now=5),
        cut(1.4, "edge-2", "host", "too-late", route="species-tag"),
    )
    with open_logs([first, second]) as events:
        found = summarize(events, 2.0).cut_responses
    assert found == [
        CutResponses(CutCause("host", "too-late", "llm", "ward-report"), 2, 2, 1),
        CutResponses(CutCause("caller", "caller-gone", "llm", ""), 1, 0, 0),
        CutResponses(CutCause("host", "too-late", "llm", "species-tag"), 1, 1, 0),
        CutResponses(
            CutCause("upstream", "lost-answer", "llm", "ward-report"), 1, 1, 0
        ),
    ]
    assert tool.run(["summary", first, second]) == const.EXIT_OK
    printed = [" ".join(line.split()) for line in capsys.readouterr().out.splitlines()]
    assert "2 2 1 ward-report: host too-late" in printed
    assert "1 0 0 llm: caller caller-gone" in printed
