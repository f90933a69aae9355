"""What must hold in a soak, from what callers and engines saw; no I/O."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from soak.schedule import Kind
from soak.troubles import Applied, LateAnswer
from tests.platform.callers import Response, refused_as_wrong
from tests.platform.crashing_parts import CRASHES_ALLOWED, SOUND, Sent
from tests.platform.endless_engine import Held
from tests.platform.endless_responses import BUSY_SLACK, CLOSED_WITHIN
from tests.platform.silent_callers import Answer
from tests.platform.soak_fleet import CALL_ATTEMPTS, PINS, STREAM_ATTEMPTS
from tests.platform.soak_operator import Acknowledged
from tests.platform.stopping_fleet import SEND_SECONDS, SLACK_SECONDS, End
from tests.platform.stream_versions import DEADLINE_MS, EVENTS, Stream
from tests.scenarios.cut_paths import REFUSE

OK = 200
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""

BODY = b"tile"
CONTACT_WINDOW = 4.0
"""Seconds in which hosts learn what others know."""

MAX_LATE = 3
LATE_OF_DISTURBED = 2
"""Requests with a bad part that a host may send that is out of touch: one, and its
repetition."""

KILLS = frozenset({Kind.KILL_ENTRY, Kind.KILL_ENTRIES, Kind.KILL_ALL, Kind.POWER_LOSS})
STOPS = frozenset({Kind.STOP_ENTRY, Kind.LATE_IN_STOP})
"""Kinds of troubles that end the process of an entry host, and with it its answers."""

MAX_BEYOND = CLOSED_WITHIN + BUSY_SLACK
"""Longest time in seconds after its deadline that a connection to an engine is open."""

LOG_SECONDS = 0.5
"""Time in which a host writes a line to its log."""

LEAST_SERVED = 0.95
"""Least share served once all troubles are over, of the share served before them."""

LEAST_CALLS = 20
"""Requests without which a share says nothing."""

LAST_SECONDS = 1.0
"""Requests of the last second may be cut off by the end of the run."""

MAX_MORE_FILES = 64
"""Open files that a host may have more of than before: connections in use."""


class Finding(NamedTuple):
    """What did not hold: the check, and what was seen."""

    check: str
    text: str


class Served(NamedTuple):
    """How many requests were served, of how many."""

    served: int
    total: int

    @property
    def share(self) -> float:
        """Return the share that was served."""
        return self.served / max(1, self.total)


NOTHING_SERVED = Served(0, 0)


class Evidence(NamedTuple):
    """What a soak has recorded; times are seconds of one clock.

    runs has how often engines got each attempt id, calls the responses to calls (their
    at is on the same clock), crashes and arrivals the ends of engines under a bad part
    and the requests with it. answers are those of long streams, broken_off the requests
    whose streams an engine broke off or ended under, and cut_lines by host the requests
    whose responses its log calls cut. held are the connections to engines that sent
    bytes without end, late the answers at hosts that stop. calm is when the last
    trouble had ended. used has how many requests each serving engine got once there
    were more than fit into all slots.
    """

    runs: Mapping[str, int]
    calls: Sequence[Response]
    streams: Sequence[Stream]
    answers: Sequence[Answer]
    broken_off: frozenset[str]
    cut_lines: Mapping[str, frozenset[str]]
    held: Sequence[Held]
    prompts: Sequence[Sent]
    crashes: Sequence[float]
    arrivals: Sequence[float]
    applied: Sequence[Applied]
    late: Sequence[LateAnswer]
    calm: float
    ended: float
    used: Mapping[str, int]
    acknowledged: Sequence[Acknowledged]
    read: Sequence[Acknowledged]
    accepted_badly: int
    errors: Sequence[str]
    files_before: Mapping[str, int]
    files_after: Mapping[str, int]
    left: Sequence[str]


Check = Callable[[Evidence], Iterable[str]]


def runs_bounded(found: Evidence) -> Iterable[str]:
    """A call that may not be repeated runs once, others as their route says."""
    for call in found.calls:
        most = 1 if call.path.startswith(PINS) else CALL_ATTEMPTS
        runs = found.runs.get(call.request_id, 0)
        if runs > most:
            yield f"{call.path} {call.request_id} ran {runs} times, {most} allowed"
    ids = {call.request_id for call in found.calls}
    for request_id, runs in found.runs.items():
        if request_id not in ids and runs > STREAM_ATTEMPTS:
            yield f"stream {request_id} ran {runs} times, {STREAM_ATTEMPTS} allowed"


def refusals_true(found: Evidence) -> Iterable[str]:
    """A status that promises that a request did not run is true."""
    for call in found.calls:
        if call.status in PROMISES and found.runs.get(call.request_id):
            yield f"{call.path} {call.request_id} ran and got {call.status}, {call.ip}"


def proper_requests_accepted(found: Evidence) -> Iterable[str]:
    """No proper request is called wrong."""
    for call in refused_as_wrong(list(found.calls)):
        yield f"{call.form} {call.path} {call.request_id}: {call.status}, {call.ip}"


def answers_whole(found: Evidence) -> Iterable[str]:
    """A response that looks complete is the engine's."""
    for call in found.calls:
        if call.status == OK and call.text != BODY:
            yield f"{call.path} {call.request_id} got {call.text!r} at {call.ip}"


def streams_of_one_version(found: Evidence) -> Iterable[str]:
    """A stream has events of one version only, in order, none twice or left out."""
    for stream in found.streams:
        if len(stream.versions) > 1:
            yield f"a stream has events of {sorted(stream.versions)}"
        if not stream.whole:
            ids = [number for take in stream.takes for number, _ in take.events]
            yield f"a stream has the events {ids}"


def streams_whole(found: Evidence) -> Iterable[str]:
    """A stream that looks complete is.

    Without length and chunks one that ends between two events does so rightly.
    """
    unframed = [
        item for item in found.applied if item.trouble.kind is Kind.CLOSE_DELIMITED
    ]
    for stream in found.streams:
        last = stream.takes[-1]
        if not last.done or any(_overlaps(item, stream.at) for item in unframed):
            continue
        events = sum(len(take.events) for take in stream.takes)
        if events != EVENTS:
            yield f"a stream ended after {events} of {EVENTS} events as if complete"


def _overlaps(item: Applied, at: float, seconds: float = CONTACT_WINDOW * 2) -> bool:
    return item.began - seconds <= at <= item.ended + seconds


def answers_not_cut(found: Evidence) -> Iterable[str]:
    """No answer is cut within its deadline while its engine and its host go on.

    Where the paths of a host to engines are cut, so are its connections to them.
    """
    for answer in found.answers:
        if not answer.broken_early or answer.request_id in found.broken_off:
            continue
        if not any(_interrupts(item, answer) for item in found.applied):
            yield (
                f"{answer.request_id} after {answer.events} events at {answer.ip}, "
                f"{answer.deadline - answer.ended:.1f} s before its deadline: "
                f"{answer.detail}"
            )


def cuts_logged(found: Evidence) -> Iterable[str]:
    """Each answer that breaks off has a line in the log of its host, unless killed.

    Where an engine breaks one off that has neither length nor chunks, its host can't
    know, and ends it in order.
    """
    for answer in found.answers:
        lines = found.cut_lines.get(answer.ip, frozenset())
        if not answer.broken or answer.request_id in lines:
            continue
        if answer.complete and _is_broken_off_unframed(found, answer):
            continue
        if not any(
            item.trouble.kind in KILLS and _befalls(item, answer)
            for item in found.applied
        ):
            yield f"{answer.request_id} after {answer.events} events at {answer.ip}"


def _is_broken_off_unframed(found: Evidence, answer: Answer) -> bool:
    """Return whether an engine broke an answer off that may have had no framing."""
    return answer.request_id in found.broken_off and any(
        item.trouble.kind is Kind.CLOSE_DELIMITED
        and item.began <= answer.ended
        and answer.at <= item.ended
        for item in found.applied
    )


def _interrupts(item: Applied, answer: Answer) -> bool:
    """Return whether a trouble ends answers at the host of one, or their paths."""
    kind = item.trouble.kind
    ends_paths = kind is Kind.CUT_ENGINES and item.trouble.mode != REFUSE
    return (kind in KILLS | STOPS or ends_paths) and _befalls(item, answer)


def _befalls(item: Applied, answer: Answer) -> bool:
    """Return whether a trouble befell the host of an answer within its time."""
    return (
        answer.ip in item.names
        and item.began <= answer.ended + LOG_SECONDS
        and answer.at <= item.ended
    )


def late_requests_answered(found: Evidence) -> Iterable[str]:
    """A request late in a stop is refused, or has its whole answer within the stop.

    Not if its time was over, its engine broke off, or its host had another trouble.
    """
    for stopped, answer in found.late:
        call = answer.call
        if answer.end is not End.CUT or answer.request_id in found.broken_off:
            continue
        sent, ended = answer.sent - stopped, answer.ended - stopped
        if ended >= call.sent + DEADLINE_MS / 1000:
            continue
        if found.runs.get(answer.request_id):
            if sent <= SEND_SECONDS:
                continue
        elif ended - sent <= SLACK_SECONDS:
            continue
        if not any(
            item.trouble.kind is not Kind.LATE_IN_STOP
            and call.ip in item.names
            and item.began <= answer.ended
            and stopped <= item.ended + CONTACT_WINDOW
            for item in found.applied
        ):
            yield (
                f"{answer.request_id} at {call.ip}, sent {sent:.2f} s after the "
                f"signal, was cut {ended:.2f} s after it"
            )


def endless_answers_closed(found: Evidence) -> Iterable[str]:
    """A connection to an engine that sends without end is closed at its deadline.

    A host that was frozen then closes it once it goes on.
    """
    frozen = sorted(
        (item.began, item.ended)
        for item in found.applied
        if item.trouble.kind is Kind.FREEZE_ENTRY
    )
    for held in found.held:
        due = held.deadline
        for began, ended in frozen:
            if began <= due + MAX_BEYOND:
                due = max(due, ended)
        beyond = held._replace(deadline=due).beyond(found.ended)
        if beyond > MAX_BEYOND:
            state = "open" if held.closed is None else "closed"
            yield f"{held.request_id} was {state} {beyond:.2f} s after its deadline"


def bad_parts_kept_away(found: Evidence) -> Iterable[str]:
    """Few requests with a part that crashed five engines reach any more.

    A host that was disturbed since the first crash may be out of touch, and send some.
    """
    crashes = sorted(found.crashes)
    if len(crashes) < CRASHES_ALLOWED:
        return
    known = crashes[CRASHES_ALLOWED - 1] + CONTACT_WINDOW
    late = sum(at > known for at in found.arrivals)
    disturbed = sum(
        len(item.names)
        for item in found.applied
        if item.befalls_hosts and item.ended > crashes[0] - CONTACT_WINDOW
    )
    allowed = MAX_LATE + LATE_OF_DISTURBED * disturbed
    if late > allowed:
        yield (
            f"{late} arrivals later than the window after the fifth crash, "
            f"{allowed} allowed"
        )


def hosts_recover(found: Evidence) -> Iterable[str]:
    """Each host serves as before within the window after the last trouble.

    A machine that is too busy for the load serves less before the first trouble, too.
    """
    first = min((item.began for item in found.applied), default=found.calm)
    before = _served(found, float("-inf"), first)
    after = _served(found, found.calm + CONTACT_WINDOW, found.ended - LAST_SECONDS)
    for name, counts in after.items():
        if counts.total < LEAST_CALLS:
            continue
        known = before.get(name, NOTHING_SERVED)
        usual = known.share if known.total >= LEAST_CALLS else 1.0
        if counts.share < LEAST_SERVED * usual:
            yield (
                f"{name}: {counts.served} of {counts.total} served after the last "
                f"trouble, {usual:.2f} before the first"
            )


def _served(found: Evidence, since: float, until: float) -> dict[str, Served]:
    """Return what was served of the calls at each host, the prompts and the streams."""
    sound = {kind.name for kind in SOUND}
    outcomes = [(call.at, call.ip, call.status == OK) for call in found.calls]
    outcomes += [
        (sent.at, "prompts", sent.begun)
        for sent in found.prompts
        if sent.first_attempt and sent.kind in sound
    ]
    outcomes += [(stream.at, "streams", stream.began) for stream in found.streams]
    served: dict[str, Served] = {}
    for at, name, good in outcomes:
        if since <= at < until:
            known = served.get(name, NOTHING_SERVED)
            served[name] = Served(known.served + good, known.total + 1)
    return served


def engines_used(found: Evidence) -> Iterable[str]:
    """Each engine gets requests once all are needed."""
    for name, count in found.used.items():
        if not count:
            yield f"{name} got no request though all slots were needed"


def configuration_newest(found: Evidence) -> Iterable[str]:
    """No configuration older than an acknowledged one is returned; none is lost."""
    for read in found.read:
        known = max(
            (item.version for item in found.acknowledged if item.at <= read.at),
            default=0,
        )
        if read.version < known:
            yield f"version {read.version} was returned after {known} was acknowledged"
    if found.accepted_badly:
        yield f"{found.accepted_badly} invalid configurations were accepted"


def no_errors(found: Evidence) -> Iterable[str]:
    """No host logs an error."""
    yield from found.errors


def nothing_left(found: Evidence) -> Iterable[str]:
    """Open files are back to where they were, and no process is left."""
    for ip, files in found.files_after.items():
        before = found.files_before.get(ip, 0)
        if files > before + MAX_MORE_FILES:
            yield f"{ip} has {files} open files, {before} before"
    for ip in found.left:
        yield f"the process of {ip} has not ended"


CHECKS: tuple[Check, ...] = (
    runs_bounded,
    refusals_true,
    proper_requests_accepted,
    answers_whole,
    streams_of_one_version,
    streams_whole,
    answers_not_cut,
    cuts_logged,
    late_requests_answered,
    endless_answers_closed,
    bad_parts_kept_away,
    hosts_recover,
    engines_used,
    configuration_newest,
    no_errors,
    nothing_left,
)


def findings(found: Evidence) -> list[Finding]:
    """Return what did not hold."""
    return [
        Finding(check.__name__.replace("_", "-"), text)
        for check in CHECKS
        for text in check(found)
    ]
