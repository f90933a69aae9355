"""Tests of `bitterntiller explain` on the logs of several hosts."""

import json
from pathlib import Path
from typing import Any

import pytest

from bitterntiller.cli import const, tool


def write_log(path: Path, *events: dict[str, Any], prefix: str = "") -> str:
    lines = [prefix + json.dumps(event) for event in events]
    path.write_text("\n".join(["not an event", *lines, "{broken"]) + "\n")
    return str(path)


def event(time: float, host: str, kind: str, **fields: Any) -> dict[str, Any]:
    return {"time": time, "host": host, "n": 1, "event": kind, **fields}


def explained(capsys: Any, *arguments: str) -> tuple[int, str]:
    code = tool.run(["explain", *arguments])
    captured = capsys.readouterr()
    return code, captured.out + captured.err


def test_lost_response_is_traced_over_two_hosts(tmp_path, capsys):
    """A response is late after a retry; entry host and owner each log some events."""
    owner = write_log(
        tmp_path / "core",
        event(10.0, "core-1", "granted", request="r1", upstream="e1"),
        event(10.9, "core-1", "upstream-silent", states={"e1": "silent"}),
        event(10.1, "core-1", "granted", request="r2", upstream="e2"),
        prefix="  10.1 core-1 ",
    )
    entry = write_log(
        tmp_path / "edge",
        event(10.01, "edge-1", "sent", request="r1", upstream="e1", waited=0.2),
        event(11.0, "edge-1", "attempt-ended", request="r1", reason="lost-answer"),
        event(11.1, "edge-1", "sent", request="r1", upstream="e2", waited=1.3),
        event(11.5, "edge-1", "ended", request="r1", outcome="done", total=1.7),
    )
    code, text = explained(capsys, "r1", owner, entry)
    assert code == const.EXIT_OK
    order = [line.split()[3] for line in text.splitlines() if " * " in line]
    assert order == ["granted", "sent", "attempt-ended", "sent", "ended"]
    assert "upstream-silent" in text
    assert "r2" not in text
    assert "retried after: lost-answer" in text.splitlines()[-1]


def test_request_is_traced_over_the_host_it_went_through(tmp_path, capsys):
    """The last event of the host between hid how the request ended."""
    sender = write_log(
        tmp_path / "edge-1",
        event(1.0, "edge-1", "path", request="r0", upstream="e1", reached=False),
        event(2.0, "edge-1", "tunnel", request="r1", relay="edge-2", status="ok"),
        event(2.1, "edge-1", "sent", request="r1", upstream="e1", relay="edge-2"),
        event(2.5, "edge-1", "ended", request="r1", outcome="done", total=0.6),
    )
    between = write_log(
        tmp_path / "edge-2",
        event(1.9, "edge-2", "tunnel-asked", request="r1", upstream="e1", status="ok"),
        event(2.6, "edge-2", "tunnel-ended", request="r1", upstream="e1"),
    )
    code, text = explained(capsys, "r1", sender, between)
    assert code == const.EXIT_OK
    order = [line.split()[3] for line in text.splitlines() if " * " in line]
    assert order == ["tunnel-asked", "tunnel", "sent", "ended", "tunnel-ended"]
    assert "path" in text
    assert "logs end with" not in text


def test_refusal_without_a_lease_names_when_it_was_lost(tmp_path, capsys):
    log = write_log(
        tmp_path / "edge",
        event(4.0, "edge-1", "lease", held=False),
        event(6.0, "edge-1", "refused", request="r1", status=503, reason="no-lease"),
    )
    code, text = explained(capsys, "r1", log)
    assert code == const.EXIT_OK
    assert "lost its lease 2.0 s before" in text


def test_refusal_without_any_upstream_names_when_they_were_lost(tmp_path, capsys):
    """A refusal for want of an upstream does not say whether any were registered.

    The trace adds the removal of the last one, and that the owner had none.
    """
    fields = {"request": "r1", "reason": "no-upstream"}
    core = write_log(
        tmp_path / "core",
        event(4.0, "core-1", "upstream-use", upstream="e1", change="leaving"),
        event(6.0, "core-1", "given-up", upstreams=0, **fields),
    )
    edge = write_log(
        tmp_path / "edge",
        event(6.0, "edge-1", "refused", status=503, waited=0.4, **fields),
    )
    _, text = explained(capsys, "r1", core, edge)
    assert "leaving" in text
    assert "its owner had no upstream for it" in text.splitlines()[-1]


def test_request_without_a_response_names_its_upstream(tmp_path, capsys):
    log = write_log(
        tmp_path / "edge",
        event(4.0, "edge-1", "sent", request="r1", upstream="e1", waited=0.0),
        event(4.1, "edge-1", "ended", request="r1", outcome="unknown", upstream="e1"),
    )
    _, text = explained(capsys, "r1", log)
    assert "ended as unknown at e1: the upstream sent no response" in text


def test_unknown_request_and_missing_file(tmp_path, capsys):
    log = write_log(tmp_path / "edge", event(4.0, "edge-1", "sent", request="r1"))
    code, text = explained(capsys, "r9", log)
    assert code != const.EXIT_OK
    assert "no event has request id r9" in text
    code, text = explained(capsys, "r1", str(tmp_path / "none"))
    assert code != const.EXIT_OK
    assert "none" in text


def test_quota_refusal_names_the_counting_host_and_its_figures(tmp_path, capsys):
    """The entry host logs only the refusal; the counting host logs the figures."""
    counting_host = write_log(
        tmp_path / "core",
        event(
            10.0,
            "core-1",
            "quota",
            request="r1",
            workspace="wards",
            amount=700,
            reserved=False,
            left=300,
            level=50,
            of=5000,
            ahead=90,
            retry_reserved=True,
            retry_after=1.5,
        ),
    )
    refusal = {"request": "r1", "status": 429, "reason": "quota", "waited": 0.01}
    entry = write_log(tmp_path / "edge", event(10.01, "edge-1", "refused", **refusal))
    code, text = explained(capsys, "r1", counting_host, entry)
    assert code == const.EXIT_OK
    assert "core-1 counted 50 available and 300 of 5000 left" in text
    assert "quota is reserved for a retry in 1.5 s" in text


def test_missing_request_reports_hosts_that_sample(tmp_path, capsys):
    """A busy host samples its request logs; a missing request would look lost."""
    sampling = {"part": 0.25, "left_out": 10}
    owner = write_log(tmp_path / "core", event(10.0, "core-1", "sampling", **sampling))
    code, text = explained(capsys, "r9", owner)
    assert code != const.EXIT_OK
    assert "some hosts log only a fraction of their requests: core-1 0.25" in text


def crash(time: float, host: str, upstream: str, fingerprint: str) -> dict[str, Any]:
    fields = {"upstream": upstream, "fingerprint": fingerprint, "crashes": 1}
    return event(time, host, "upstream-crashed", **fields)


def test_request_that_crashed_upstreams_names_them_once_each(tmp_path, capsys):
    same, other = "0" * 15 + "a", "0" * 15 + "b"
    log = write_log(
        tmp_path / "edge",
        event(1.0, "edge-1", "sent", request="r1", upstream="e1", fingerprint=same),
        event(1.2, "edge-1", "ended", request="r1", outcome="unknown", upstream="e1"),
        crash(1.3, "edge-1", "e1", same),
        crash(1.4, "edge-2", "e1", same),
        crash(60.0, "edge-2", "e2", same),
        crash(61.0, "edge-2", "e3", other),
    )
    code, text = explained(capsys, "r1", log)
    assert code == const.EXIT_OK
    assert text.splitlines()[-1].endswith("crashed on copies of it: e1, e2")


def test_request_names_the_upstreams_that_crashed_on_a_part_of_its_prompt(
    tmp_path, capsys
):
    whole, part, other = ("0" * 15 + digit for digit in "5ae")
    shared = crash(1.3, "edge-1", "e2", part) | {"part": True}
    log = write_log(
        tmp_path / "edge",
        event(
            1.0, "edge-1", "sent", request="r1", fingerprint=whole, parts=[other, part]
        ),
        shared,
        crash(61.0, "edge-2", "e3", "0" * 15 + "6"),
    )
    _, text = explained(capsys, "r1", log)
    assert text.splitlines()[-1].endswith("copies of it or parts of its prompt: e2")


def test_refused_copy_names_the_upstreams_that_crashed_on_others(tmp_path, capsys):
    same = "0" * 15 + "a"
    detail = f"3 upstreams have ended (fingerprint {same}); it is not sent"
    fields = {"status": 503, "reason": "crashes-upstreams", "detail": detail}
    log = write_log(
        tmp_path / "edge",
        crash(1.3, "edge-1", "e1", same),
        event(30.0, "edge-1", "refused", request="r9", **fields),
    )
    _, text = explained(capsys, "r9", log)
    assert text.splitlines()[-1].endswith("crashed on copies of it: e1")


def test_stream_is_followed_over_its_attempts(tmp_path, capsys):
    """The trace of an attempt did not tell which version had begun its stream."""
    first = write_log(
        tmp_path / "edge-1",
        event(1.0, "edge-1", "sent", request="r1", upstream="e1", version="v1"),
        event(1.5, "edge-1", "ended", request="r1", outcome="caller-gone", output=3),
        event(1.6, "edge-1", "sent", request="r9", upstream="e1", version="v1"),
    )
    second = write_log(
        tmp_path / "edge-2",
        event(2.0, "edge-2", "sent", request="r2", begun_by="r1", upstream="e2"),
        event(2.5, "edge-2", "ended", request="r2", outcome="done", total=0.5),
        event(2.6, "edge-2", "refused", request="r3", begun_by="r1", reason="shed"),
    )
    for request_id in ("r1", "r2"):
        _, text = explained(capsys, request_id, first, second)
        steps = ("sent", "ended", "sent", "ended", "refused")
        shown = [word for line in text.splitlines()[:-1] for word in line.split()[:4]]
        assert [word for word in shown if word in steps] == list(steps)
        others = ", ".join(sorted({"r1", "r2", "r3"} - {request_id}))
        assert text.splitlines()[-1].endswith(f"attempts of its stream: {others}")
        assert "r9" not in text


def cut(time: float, by: str, reason: str, **fields: Any) -> dict[str, Any]:
    shared = {
        "by": by,
        "reason": reason,
        "detail": "",
        "started": True,
        "output": 130,
        "upstream": "",
        "tried": ["e1"],
        "runs": 1,
        "total": 4.57,
        "left": 10.4,
        "config_version": 4,
        "config_now": 4,
        "config_age": 90.0,
    }
    return event(time, "edge-1", "response-cut", request="r1", **shared | fields)


def test_cut_response_names_the_refusal_of_its_owner(tmp_path, capsys):
    """The last event of a cut stream was its end as not-run, and no line named a cut.

    Its upstream fell silent, and its owner on another host refused another grant.
    """
    core = write_log(
        tmp_path / "core",
        event(
            17.861,
            "core-1",
            "given-up",
            request="r1",
            reason="too-late",
            upstreams=6,
            waiting=7,
        ),
        event(18.0, "core-1", "given-up", request="r2", reason="shed"),
    )
    silent = "the upstream sent nothing for 1 s"
    edge = write_log(
        tmp_path / "edge",
        event(13.3, "edge-1", "sent", request="r1", upstream="e1", waited=0.0),
        event(13.6, "edge-1", "answer", request="r1", upstream="e1", status=200),
        event(
            17.858,
            "edge-1",
            "attempt-ended",
            request="r1",
            upstream="e1",
            reason="lost-answer",
            detail=silent,
        ),
        event(17.864, "edge-1", "ended", request="r1", outcome="not-run"),
        cut(17.865, "host", "too-late", config_now=5, config_age=1.8),
    )
    code, text = explained(capsys, "r1", core, edge)
    assert code == const.EXIT_OK
    order = [line.split()[3] for line in text.splitlines() if " * " in line]
    assert order[-4:] == ["attempt-ended", "given-up", "ended", "response-cut"]
    assert text.splitlines()[-1] == (
        "cause: cut by its entry host at edge-1 (too-late) after 130 events of output, "
        "4.57 s after its arrival, 10.4 s left; sent in 1 runs, tried e1, "
        f"attempts ended as: lost-answer ({silent}); its owner core-1 refused it as "
        "too-late, with 6 upstreams and 7 waiting; "
        "the configuration changed from 4 to 5, 1.8 s before"
    )


@pytest.mark.parametrize(
    "by, text",
    [
        ("caller", "cut by its caller"),
        ("upstream", "cut by its upstream"),
        ("deadline", "cut at its deadline"),
        ("stop", "cut by the stop of its entry host"),
        ("unheard-of", "cut by unheard-of"),
    ],
)
def test_cut_response_names_who_cut_it(by, text, tmp_path, capsys):
    """A cut that precedes the end of its request, and is not its last event."""
    log = write_log(
        tmp_path / "edge",
        cut(5.0, by, "why", detail="an error", upstream="e2", runs=2),
        event(5.1, "edge-1", "ended", request="r1", outcome="unknown", upstream="e2"),
    )
    _, printed = explained(capsys, "r1", log)
    cause = printed.splitlines()[-1]
    assert f"{text} at edge-1 (why: an error) after 130 events" in cause
    assert "sent in 2 runs, tried e1, e2;" in cause
    assert cause.endswith("configuration 4 throughout")


def test_caller_that_left_before_its_response_was_sent_nowhere(tmp_path, capsys):
    left = cut(5.0, "caller", "caller-gone", started=False, tried=[], runs=0)
    _, text = explained(capsys, "r1", write_log(tmp_path / "edge", left))
    cause = text.splitlines()[-1]
    assert "(caller-gone) before any of its response, 4.57 s" in cause
    assert "not sent to any upstream" in cause
