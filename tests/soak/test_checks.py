"""Each check of a soak fails for what it guards against, and for nothing else."""

from typing import Any

import pytest

from soak.checks import CHECKS, MAX_LATE, MAX_MORE_FILES, findings
from soak.schedule import Kind
from soak.troubles import LateAnswer
from tests.platform.silent_callers import Kind as StreamKind
from tests.platform.soak_fleet import TILES
from tests.platform.soak_operator import Acknowledged
from tests.platform.stopping_fleet import Answer as LateEnd
from tests.platform.stopping_fleet import Call, End
from tests.scenarios.cut_paths import REFUSE, SILENT
from tests.soak import builders as build

IP = "127.0.0.9"
BUSY = 30


def many(**changes: Any) -> list[Any]:
    return [build.call(request_id=f"a{n}", **changes) for n in range(BUSY)]


LATE = {"crashes": [50.0 + n for n in range(5)], "arrivals": [70.0] * (MAX_LATE + 1)}
KILLED = build.applied(Kind.KILL_ENTRY, 64.0, 66.0)
UNFRAMED = build.applied(Kind.CLOSE_DELIMITED, 103.0, 104.0)
LOGGED = {IP: frozenset({"s1"})}
HERE = (IP,)
REFUSED_PATHS = build.applied(Kind.CUT_ENGINES, 104.0, 106.0, HERE, REFUSE)
SILENT_PATHS = build.applied(Kind.CUT_ENGINES, 104.0, 106.0, HERE, SILENT)
STOPPED = build.applied(Kind.STOP_ENTRY, 104.0, 106.0, HERE)
KILLED_HERE = build.applied(Kind.KILL_ENTRY, 104.9, 106.0, HERE)
KILLED_LATER = build.applied(Kind.KILL_ENTRY, 107.0, 108.0, HERE)
KILLED_ELSEWHERE = build.applied(Kind.KILL_ENTRY, 104.9, 106.0, ("127.0.0.8",))
PAUSED = build.applied(Kind.PAUSE_ENGINE, 103.0, 104.5, ("e1",))
FROZEN = build.applied(Kind.FREEZE_ENTRY, 105.0, 107.0)
FROZEN_LATER = build.applied(Kind.FREEZE_ENTRY, 106.8, 107.5)
CUT = {"answers": [build.answer()], "cut_lines": LOGGED}
BROKEN_OFF = {**CUT, "cut_lines": {}, "broken_off": frozenset({"s1"})}
KNOWN = [Acknowledged(10.0, 3), Acknowledged(20.0, 5)]


def late(**changes: Any) -> LateAnswer:
    """Return a request that was sent 5 s after a stop began, and cut at its end."""
    call = Call(StreamKind.RESUMABLE, 0.0, 2.2, 2.2, 5.0, IP)
    cut = LateEnd(call, "a1", 109.0, 111.6, 0, End.CUT, False)
    return LateAnswer(104.0, cut._replace(**changes))


HOLDS: dict[str, dict[str, Any]] = {
    "nothing": {},
    "call served once": {"calls": [build.call()], "runs": {"a1": 1}},
    "idempotent call run twice": {
        "calls": [build.call(path=f"{TILES}1")],
        "runs": {"a1": 2},
    },
    "call lost": {
        "calls": [build.call(status=0, text=b"", at=50.0)],
        "runs": {"a1": 1},
    },
    "true refusal": {"calls": [build.call(status=503, text=b"", at=50.0)]},
    "whole stream": {"streams": [build.stream()]},
    "broken stream": {"streams": [build.stream(1, 2, done=False)]},
    "stream without framing": {"streams": [build.stream(1, 2)], "applied": [UNFRAMED]},
    "whole answer": {"answers": [build.answer(whole=True)]},
    "caller left": {"answers": [build.answer(left=True)]},
    "refused answer": {"answers": [build.answer(status=503)]},
    "cut at the deadline": {**CUT, "answers": [build.answer(ended=110.5)]},
    "broken off by an engine": {**CUT, "broken_off": frozenset({"s1"})},
    "cut by a stopped host": {**CUT, "applied": [STOPPED]},
    "cut with its paths": {**CUT, "applied": [SILENT_PATHS]},
    "cut by a killed host": {**CUT, "cut_lines": {}, "applied": [KILLED_HERE]},
    "broken off without framing": {
        **BROKEN_OFF,
        "answers": [build.answer(complete=True)],
        "applied": [UNFRAMED],
    },
    "endless answer closed at its deadline": {"held": [build.held(0.1)]},
    "endless answer closed by its caller": {"held": [build.held(-1.5)]},
    "endless answer of a frozen host": {
        "held": [build.held(1.4)],
        "applied": [FROZEN],
    },
    "few late arrivals": {**LATE, "arrivals": [70.0] * MAX_LATE},
    "late arrivals of disturbed hosts": {**LATE, "applied": [KILLED]},
    "refused in trouble": {"calls": many(status=503, text=b"", at=90.0)},
    "refused within the window": {"calls": many(status=503, text=b"", at=101.0)},
    "busy machine": {
        "calls": many(status=503, text=b"") + many(status=503, text=b"", at=50.0),
        "applied": [KILLED],
    },
    "all engines used": {"used": {"e1": 1}},
    "late request refused": {"late": [late(end=End.REFUSED)]},
    "late request without a connection": {"late": [late(end=End.NOT_TAKEN)]},
    "late request that crosses the end": {"late": [late(ended=109.1)]},
    "early request cut in a stop": {"late": [late(sent=106.0)], "runs": {"a1": 1}},
    "late request that its engine broke off": {
        "late": [late()],
        "broken_off": frozenset({"a1"}),
    },
    "late request whose time was over": {"late": [late(ended=112.3)]},
    "late request at a host that was killed": {
        "late": [late()],
        "applied": [build.applied(Kind.KILL_ENTRY, 111.0, 111.6, HERE)],
    },
    "newest version": {"acknowledged": KNOWN, "read": [Acknowledged(15.0, 3)]},
    "some more files": {"files_before": {IP: 9}, "files_after": {IP: 20}},
}
FAILS: dict[str, tuple[str, dict[str, Any]]] = {
    "late request passed on and cut": (
        "late-requests-answered",
        {"late": [late()], "runs": {"a1": 1}},
    ),
    "late request waited and was cut": (
        "late-requests-answered",
        {"late": [late()]},
    ),
    "request waited through a stop and was cut": (
        "late-requests-answered",
        {"late": [late(sent=106.0)]},
    ),
    "call that may not be repeated ran twice": (
        "runs-bounded",
        {"calls": [build.call()], "runs": {"a1": 2}},
    ),
    "stream ran too often": ("runs-bounded", {"runs": {"s1": 4}}),
    "refused and run": (
        "refusals-true",
        {"calls": [build.call(status=503, text=b"", at=50.0)], "runs": {"a1": 1}},
    ),
    "proper request called wrong": (
        "proper-requests-accepted",
        {"calls": [build.call(status=400, text=b"", at=50.0)]},
    ),
    "cut off": ("answers-whole", {"calls": [build.call(text=b"ti", at=50.0)]}),
    "two versions": (
        "streams-of-one-version",
        {"streams": [build.stream(1, 2, versions="12", done=False)]},
    ),
    "event twice": (
        "streams-of-one-version",
        {"streams": [build.stream(1, 1, done=False)]},
    ),
    "event left out": (
        "streams-of-one-version",
        {"streams": [build.stream(1, 3, done=False)]},
    ),
    "looks whole": ("streams-whole", {"streams": [build.stream(1, 2)]}),
    "cut": ("answers-not-cut", CUT),
    "cut as an engine was silent": ("answers-not-cut", {**CUT, "applied": [PAUSED]}),
    "cut as new connections were refused": (
        "answers-not-cut",
        {**CUT, "applied": [REFUSED_PATHS]},
    ),
    "cut before its host was killed": (
        "answers-not-cut",
        {**CUT, "applied": [KILLED_LATER]},
    ),
    "cut beside a killed host": (
        "answers-not-cut",
        {**CUT, "applied": [KILLED_ELSEWHERE]},
    ),
    "cut without a line": (
        "cuts-logged",
        {**CUT, "cut_lines": {}, "broken_off": frozenset({"s1"})},
    ),
    "broken off without framing, not ended in order": (
        "cuts-logged",
        {**BROKEN_OFF, "applied": [UNFRAMED]},
    ),
    "broken off though all engines frame, ended in order": (
        "cuts-logged",
        {**BROKEN_OFF, "answers": [build.answer(complete=True)]},
    ),
    "not broken off without framing, ended in order": (
        "cuts-logged",
        {
            **CUT,
            "cut_lines": {},
            "answers": [build.answer(complete=True, ended=110.5)],
            "applied": [UNFRAMED],
        },
    ),
    "cut by a stopped host without a line": (
        "cuts-logged",
        {**CUT, "cut_lines": {}, "applied": [STOPPED]},
    ),
    "cut without a line at its host": (
        "cuts-logged",
        {
            **CUT,
            "cut_lines": {"127.0.0.8": frozenset({"s1"})},
            "broken_off": frozenset({"s1"}),
        },
    ),
    "endless answer closed late": (
        "endless-answers-closed",
        {"held": [build.held(0.6)]},
    ),
    "endless answer open at the end": (
        "endless-answers-closed",
        {"held": [build.held(None)]},
    ),
    "endless answer closed late after a frozen host went on": (
        "endless-answers-closed",
        {"held": [build.held(1.6)], "applied": [FROZEN]},
    ),
    "endless answer closed late before a host was frozen": (
        "endless-answers-closed",
        {"held": [build.held(0.9)], "applied": [FROZEN_LATER]},
    ),
    "late arrivals": ("bad-parts-kept-away", LATE),
    "many late arrivals of a disturbed host": (
        "bad-parts-kept-away",
        {**LATE, "arrivals": [70.0] * 2 * MAX_LATE, "applied": [KILLED]},
    ),
    "host refuses": ("hosts-recover", {"calls": many(status=503, text=b"")}),
    "prompts refused": (
        "hosts-recover",
        {"prompts": [build.sent(begun=False, status=503)] * BUSY},
    ),
    "streams refused": (
        "hosts-recover",
        {"streams": [build.refused_stream()] * BUSY},
    ),
    "engine unused": ("engines-used", {"used": {"e1": 0}}),
    "older version": (
        "configuration-newest",
        {"acknowledged": KNOWN, "read": [Acknowledged(21.0, 3)]},
    ),
    "bad version accepted": ("configuration-newest", {"accepted_badly": 1}),
    "error logged": ("no-errors", {"errors": ["a.log: Task Crash"]}),
    "files leak": (
        "nothing-left",
        {"files_before": {IP: 9}, "files_after": {IP: 10 + MAX_MORE_FILES}},
    ),
    "process left": ("nothing-left", {"left": [IP]}),
}


@pytest.mark.parametrize("name", HOLDS)
def test_check_holds(name):
    assert findings(build.evidence(**HOLDS[name])) == []


@pytest.mark.parametrize("name", FAILS)
def test_check_fails(name):
    check, changes = FAILS[name]
    assert {item.check for item in findings(build.evidence(**changes))} == {check}


def test_each_check_can_fail():
    names = {check.__name__.replace("_", "-") for check in CHECKS}
    assert {check for check, _ in FAILS.values()} == names
