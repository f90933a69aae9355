"""Applies the troubles of a schedule to a fleet, side by side."""

import random
import signal
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from typing import Any, NamedTuple, TypeVar

from soak.load import SoakLoad
from soak.schedule import Kind, Trouble
from tests.platform.crashing_parts import BAD, CrashingEngine
from tests.platform.processes import ENGINE_PORT, Engine
from tests.platform.silent_callers import Kind as StreamKind
from tests.platform.soak_endless import ORDERS_BY_MODE
from tests.platform.soak_fleet import LIMIT_PER_SECOND, PlainEngine, SoakFleet
from tests.platform.stopping_fleet import Answer, Call, ask
from tests.platform.stream_versions import INTERNAL_PORT, VERSIONS

CHANGE_SECONDS = 10.0
STOP_SECONDS = 15.0
"""Time that a host gets to stop by itself."""

SLOW_SECONDS = 0.3
POLL_SECONDS = 0.05
NAMES_KEPT_BELOW = 0.25
LEAD_SECONDS = 0.2
LATE_CALLS = 4
LATE_HEADS_FROM, LATE_BODIES_FROM, LATE_STEP = 2.2, 4.6, 0.03
"""Seconds after the signal; the last step is that between two requests."""

LATE_EVENTS = 74
"""Events of a stream that lasts beyond the end of the stop."""

LEAST_WAIT = 0.1
"""Least time that a trouble waits for its hosts."""

CATCH_UP_SECONDS = 4.0
"""Time after which a host that is back with an empty disk no longer counts as lost.

It catches up from a leader, which there may not be while other hosts of control are
disturbed.
"""

HOST_KINDS = frozenset(
    {
        Kind.KILL_ENTRY,
        Kind.KILL_CONTROL,
        Kind.KILL_ALL,
        Kind.STOP_ENTRY,
        Kind.STOP_CONTROL,
        Kind.FREEZE_ENTRY,
        Kind.FREEZE_CONTROL,
        Kind.LOSE_DISK,
        Kind.CUT_PEERS,
        Kind.CUT_ENGINES,
        Kind.KILL_ENTRIES,
        Kind.POWER_LOSS,
        Kind.LATE_IN_STOP,
        Kind.SILENCE_PEERS,
    }
)
"""Kinds that befall hosts; the others befall engines, callers or the configuration."""


class Applied(NamedTuple):
    """A trouble as it was applied: from when to when, to which hosts or engines."""

    trouble: Trouble
    began: float
    ended: float
    names: tuple[str, ...]

    @property
    def befalls_hosts(self) -> bool:
        """Whether it befalls hosts."""
        return self.trouble.kind in HOST_KINDS


class LateAnswer(NamedTuple):
    """The answer to a request at a host that was told to stop at a time."""

    stopped: float
    answer: Answer


def late_calls(ip: str) -> list[Call]:
    """Return requests for long streams whose bodies end late in a stop of a host."""
    calls = []
    for number in range(LATE_CALLS):
        sent = LATE_HEADS_FROM + number * LATE_STEP
        ended = LATE_BODIES_FROM + number * LATE_STEP
        call = Call(StreamKind.RESUMABLE, 0.0, sent, sent, ended, ip)
        calls.append(call._replace(events=LATE_EVENTS))
    return calls


Item = TypeVar("Item")


def _chosen(items: Sequence[Item], trouble: Trouble) -> list[Item]:
    """Return the targets of a trouble, each once."""
    if not items:
        return []
    return [items[n] for n in dict.fromkeys(n % len(items) for n in trouble.targets)]


class Disks:
    """The hosts that lost their disks and haven't caught up since; most is the most."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._lost_until_by_ip: dict[str, float] = {}

    def lose(self, ips: Sequence[str], until: float, now: float) -> tuple[str, ...]:
        """Record as many of these hosts as may lose their disks now; return them.

        until is the time at which they are back.
        """
        kept = {ip: at for ip, at in self._lost_until_by_ip.items() if at > now}
        chosen = []
        for ip in ips:
            if ip in kept or len(kept) < self._most:
                kept[ip] = until + CATCH_UP_SECONDS
                chosen.append(ip)
        self._lost_until_by_ip = kept
        return tuple(chosen)

    def extend(self, began: float, ended: float) -> None:
        """Start the time to catch up again, as a host of control was disturbed."""
        self._lost_until_by_ip = {
            ip: max(at, ended + CATCH_UP_SECONDS) if at > began else at
            for ip, at in self._lost_until_by_ip.items()
        }


class Troubles:
    """Plays a schedule; each trouble has a thread of its own.

    A host has one trouble at a time, so that what starts it again is what ended it, and
    so have the hosts of control together: the loss of a majority is no fault of theirs.
    What finds its target taken waits for it, and is left out once its time is over. A
    disk is lost only while the deployment bears it.
    """

    def __init__(self, fleet: SoakFleet, load: SoakLoad, seed: int) -> None:
        self.applied: list[Applied] = []
        self.late: list[LateAnswer] = []
        self.left_out = 0
        self._fleet = fleet
        self._load = load
        self._rng = random.Random(seed)
        self._lock_by_ip = {ip: threading.Lock() for ip in fleet.entry_ips}
        self._plain_lock = threading.Lock()
        control = threading.Lock()
        self._lock_by_ip |= dict.fromkeys(fleet.control_ips, control)
        self._disks = Disks((len(fleet.control_ips) - 1) // 2)
        self._apply_by_kind: dict[Kind, Callable[[Trouble], tuple[str, ...]]] = {
            Kind.KILL_ENTRY: self._kill_entry,
            Kind.KILL_CONTROL: self._kill_control,
            Kind.KILL_ALL: self._kill_all,
            Kind.STOP_ENTRY: self._stop_entry,
            Kind.STOP_CONTROL: self._stop_control,
            Kind.FREEZE_ENTRY: self._freeze_entry,
            Kind.FREEZE_CONTROL: self._freeze_control,
            Kind.LOSE_DISK: self._lose_disk,
            Kind.CUT_PEERS: lambda item: self._cut(item, INTERNAL_PORT),
            Kind.CUT_ENGINES: lambda item: self._cut(item, ENGINE_PORT),
            Kind.END_ENGINE: self._end_engine,
            Kind.REPLACE_ENGINE: self._replace_engine,
            Kind.LEAVE_ENGINE: self._leave_engine,
            Kind.SLOW_ENGINE: self._slow_engine,
            Kind.LIMIT_ENGINE: self._limit_engine,
            Kind.BREAK_STREAMS: self._break_streams,
            Kind.CLOSE_DELIMITED: self._close_delimited,
            Kind.PAUSE_ENGINE: self._pause_engines,
            Kind.BAD_PART: self._bad_part,
            Kind.HOT_HOST: self._hot_host,
            Kind.CONFIGURE: self._configure,
            Kind.CONFIGURE_BADLY: self._configure_badly,
            Kind.ENDLESS_ENGINE: self._endless_engines,
            Kind.LATE_COPIES: self._late_copies,
            Kind.KILL_ENTRIES: self._kill_entries,
            Kind.RELEASE: self._release,
            Kind.MOVE_ROUTE: self._move_route,
            Kind.POWER_LOSS: self._lose_power,
            Kind.LATE_IN_STOP: self._late_in_stop,
            Kind.SILENCE_PEERS: lambda item: self._cut(item, INTERNAL_PORT),
            Kind.CUT_UPLOADS: self._cut_uploads,
            Kind.CUT_COPIES: self._cut_copies,
        }

    def play(self, schedule: tuple[Trouble, ...]) -> None:
        """Apply all troubles at their times; return after the last one."""
        started = time.monotonic()
        threads = []
        for trouble in schedule:
            time.sleep(max(0.0, started + trouble.at - time.monotonic()))
            thread = threading.Thread(target=self._play_one, args=(trouble,))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _play_one(self, trouble: Trouble) -> None:
        began = time.monotonic()
        names = self._apply_by_kind[trouble.kind](trouble)
        if not names:
            self.left_out += 1
            return
        self.applied.append(Applied(trouble, began, time.monotonic(), names))

    @contextmanager
    def _holding(self, ips: tuple[str, ...], wait: float) -> Iterator[bool]:
        """Hold some hosts; the value is whether all of them could be had."""
        with ExitStack() as stack:
            for lock in dict.fromkeys(self._lock_by_ip[ip] for ip in sorted(ips)):
                if not lock.acquire(timeout=max(LEAST_WAIT, wait)):
                    yield False
                    return
                stack.callback(lock.release)
            began = time.monotonic()
            yield True
            if set(ips) & set(self._fleet.control_ips):
                self._disks.extend(began, time.monotonic())

    def _entry(self, trouble: Trouble) -> tuple[str, ...]:
        ips = self._fleet.entry_ips
        return tuple(dict.fromkeys(ips[n % len(ips)] for n in trouble.targets))

    def _control(self, trouble: Trouble) -> tuple[str, ...]:
        ips = self._fleet.control_ips
        return (ips[trouble.targets[0] % len(ips)],)

    def _engine(self, trouble: Trouble) -> CrashingEngine | None:
        engines = self._engines(trouble)
        return engines[0] if engines else None

    def _engines(self, trouble: Trouble) -> list[CrashingEngine]:
        return _chosen(list(self._fleet.engines), trouble)

    def _plain(self, trouble: Trouble) -> list[PlainEngine]:
        return _chosen(self._fleet.plain, trouble)

    def _set_for_a_while(
        self, engines: Sequence[Engine], trouble: Trouble, **attributes: Any
    ) -> tuple[str, ...]:
        """Set attributes of engines during a trouble, then those of their class."""
        for engine in engines:
            for name, value in attributes.items():
                setattr(engine, name, value)
        time.sleep(trouble.seconds)
        for engine in engines:
            for name in attributes:
                vars(engine).pop(name, None)
        return tuple(sorted(engine.name for engine in engines))

    def _kill(self, trouble: Trouble, ips: tuple[str, ...]) -> tuple[str, ...]:
        with self._holding(ips, trouble.seconds) as held:
            if not held:
                return ()
            for ip in ips:
                self._fleet.process_by_ip[ip].signal(signal.SIGKILL)
            for ip in ips:
                self._fleet.process_by_ip[ip].kill()
            time.sleep(trouble.seconds)
            for ip in ips:
                self._fleet.process_by_ip[ip].start()
            return ips

    def _kill_entry(self, trouble: Trouble) -> tuple[str, ...]:
        return self._kill(trouble, self._entry(trouble))

    def _kill_entries(self, trouble: Trouble) -> tuple[str, ...]:
        return self._kill(trouble, self._fleet.entry_ips)

    def _kill_control(self, trouble: Trouble) -> tuple[str, ...]:
        return self._kill(trouble, self._control(trouble))

    def _kill_all(self, trouble: Trouble) -> tuple[str, ...]:
        ips = (*self._fleet.entry_ips, *self._fleet.control_ips)
        with self._holding(ips, STOP_SECONDS) as held:
            if not held:
                return ()
            self._fleet.restart_all()
            return ips

    def _stop(self, trouble: Trouble, ips: tuple[str, ...]) -> tuple[str, ...]:
        with self._holding(ips, trouble.seconds) as held:
            if not held:
                return ()
            for ip in ips:
                process = self._fleet.process_by_ip[ip]
                process.signal(signal.SIGTERM)
                ends = time.monotonic() + STOP_SECONDS
                while process.exit_code() is None and time.monotonic() < ends:
                    time.sleep(POLL_SECONDS)
                process.kill()
                time.sleep(trouble.seconds)
                process.start()
            return ips

    def _stop_entry(self, trouble: Trouble) -> tuple[str, ...]:
        return self._stop(trouble, self._entry(trouble))

    def _late_in_stop(self, trouble: Trouble) -> tuple[str, ...]:
        """Stop an entry host while bodies of long streams end there late."""
        ip = self._entry(trouble)[0]
        asked = time.monotonic()
        threads = [
            threading.Thread(target=self._ask_late, args=(call, asked + LEAD_SECONDS))
            for call in late_calls(ip)
        ]
        for thread in threads:
            thread.start()
        time.sleep(LEAD_SECONDS)
        names = self._stop(trouble, (ip,))
        for thread in threads:
            thread.join()
        return names

    def _ask_late(self, call: Call, stopped: float) -> None:
        self.late.append(LateAnswer(stopped, ask(call, stopped)))

    def _stop_control(self, trouble: Trouble) -> tuple[str, ...]:
        return self._stop(trouble, self._control(trouble))

    def _freeze(self, trouble: Trouble, ips: tuple[str, ...]) -> tuple[str, ...]:
        with self._holding(ips, trouble.seconds) as held:
            if not held:
                return ()
            for ip in ips:
                self._fleet.process_by_ip[ip].signal(signal.SIGSTOP)
            time.sleep(trouble.seconds)
            for ip in ips:
                self._fleet.process_by_ip[ip].signal(signal.SIGCONT)
            return ips

    def _freeze_entry(self, trouble: Trouble) -> tuple[str, ...]:
        return self._freeze(trouble, self._entry(trouble))

    def _freeze_control(self, trouble: Trouble) -> tuple[str, ...]:
        return self._freeze(trouble, self._control(trouble))

    def _lose_disk(self, trouble: Trouble) -> tuple[str, ...]:
        ips = self._control(trouble)
        with self._holding(ips, trouble.seconds) as held:
            now = time.monotonic()
            if not held or not self._disks.lose(ips, now + trouble.seconds, now):
                return ()
            self._fleet.lose_disk(ips[0], trouble.seconds)
            return ips

    def _lose_power(self, trouble: Trouble) -> tuple[str, ...]:
        """Kill all hosts right after a change is acknowledged, some without disk."""
        ips = (*self._fleet.entry_ips, *self._fleet.control_ips)
        with self._holding(ips, STOP_SECONDS) as held:
            if not held:
                return ()
            self._load.operator.change(time.monotonic() + CHANGE_SECONDS)
            now = time.monotonic()
            lost = self._disks.lose(_chosen(self._fleet.control_ips, trouble), now, now)
            self._fleet.restart_all(lost)
            return ips

    def _cut(self, trouble: Trouble, port: int) -> tuple[str, ...]:
        ips = self._entry(trouble)
        with self._holding(ips, trouble.seconds) as held:
            if not held:
                return ()
            with self._fleet.cut(ips, trouble.mode, port):
                time.sleep(trouble.seconds)
            return ips

    def _end_engine(self, trouble: Trouble) -> tuple[str, ...]:
        engine = self._engine(trouble)
        if engine is None or not self._fleet.end_if_serving(engine):
            return ()
        return (engine.name,)

    def _replace_engine(self, trouble: Trouble) -> tuple[str, ...]:
        engine = self._engine(trouble)
        if engine is None:
            return ()
        version = self._rng.choice(VERSIONS)
        return (engine.name,) if self._fleet.replace_at_once(engine, version) else ()

    def _release(self, trouble: Trouble) -> tuple[str, ...]:
        """Replace half of the engines without a word, and the others as they leave.

        With a low value those of the first half start again under their names.
        """
        version = self._rng.choice(VERSIONS)
        engines = list(self._fleet.engines)
        names_kept = trouble.value < NAMES_KEPT_BELOW
        self._replace_all(engines[::2], version, names_kept)
        time.sleep(trouble.seconds / 2)
        for engine in engines[1::2]:
            engine.drain()
        time.sleep(trouble.seconds / 2)
        self._replace_all(engines[1::2], version)
        return tuple(engine.name for engine in engines)

    def _replace_all(
        self, engines: Sequence[CrashingEngine], version: str, names_kept: bool = False
    ) -> None:
        for engine in engines:
            name = engine.name if names_kept else ""
            self._fleet.replace_at_once(engine, version, name)

    def _leave_engine(self, trouble: Trouble) -> tuple[str, ...]:
        engine = self._engine(trouble)
        if engine is None:
            return ()
        engine.drain()
        time.sleep(trouble.seconds)
        if not self._fleet.end_if_serving(engine):
            return ()
        return (engine.name,)

    def _slow_engine(self, trouble: Trouble) -> tuple[str, ...]:
        return self._set_for_a_while(self._plain(trouble), trouble, slow=SLOW_SECONDS)

    def _limit_engine(self, trouble: Trouble) -> tuple[str, ...]:
        limit = LIMIT_PER_SECOND
        return self._set_for_a_while(self._plain(trouble), trouble, limit=limit)

    def _break_streams(self, trouble: Trouble) -> tuple[str, ...]:
        breaks = trouble.value
        return self._set_for_a_while(self._engines(trouble), trouble, breaks=breaks)

    def _close_delimited(self, trouble: Trouble) -> tuple[str, ...]:
        engines = self._engines(trouble)
        return self._set_for_a_while(engines, trouble, close_delimited=True)

    def _pause_engines(self, trouble: Trouble) -> tuple[str, ...]:
        return self._set_for_a_while(self._engines(trouble), trouble, paused=True)

    def _endless_engines(self, trouble: Trouble) -> tuple[str, ...]:
        engines: list[Engine] = [*self._fleet.engines, *self._fleet.plain]
        orders = ORDERS_BY_MODE[trouble.mode]
        chosen = _chosen(engines, trouble)
        return self._set_for_a_while(chosen, trouble, orders=orders)

    def _late_copies(self, trouble: Trouble) -> tuple[str, ...]:
        """Let engines refuse calls, each twice, while the others are replaced."""
        if not self._plain_lock.acquire(blocking=False):
            return ()
        with ExitStack() as stack:
            stack.callback(self._plain_lock.release)
            chosen = self._plain(trouble)
            for engine in self._fleet.plain:
                if engine not in chosen:
                    engine.close()
            names = self._set_for_a_while(chosen, trouble, refuses=trouble.value)
            self._fleet.replace_ended_plain()
            return names

    def _cut_uploads(self, trouble: Trouble) -> tuple[str, ...]:
        """Let engines break off their responses to long calls, and send such calls."""
        engines = self._plain(trouble)
        for engine in engines:
            engine.cuts_uploads = True
        self._load.upload(trouble.seconds)
        for engine in engines:
            vars(engine).pop("cuts_uploads", None)
        return tuple(sorted(engine.name for engine in engines))

    def _cut_copies(self, trouble: Trouble) -> tuple[str, ...]:
        """Let engines of calls send parts of refusals ahead of later responses."""
        return self._set_for_a_while(self._plain(trouble), trouble, cuts=trouble.value)

    def _bad_part(self, trouble: Trouble) -> tuple[str, ...]:
        self._fleet.bad_parts = frozenset({BAD})
        time.sleep(trouble.seconds)
        self._fleet.bad_parts = frozenset()
        return (BAD,)

    def _hot_host(self, trouble: Trouble) -> tuple[str, ...]:
        ip = self._entry(trouble)[0]
        self._load.hosts.hot = ip
        time.sleep(trouble.seconds)
        self._load.hosts.hot = None
        return (ip,)

    def _configure(self, trouble: Trouble) -> tuple[str, ...]:
        self._load.operator.change(time.monotonic() + CHANGE_SECONDS)
        return ("operator",)

    def _move_route(self, trouble: Trouble) -> tuple[str, ...]:
        self._load.operator.change(time.monotonic() + CHANGE_SECONDS, move=True)
        return ("operator",)

    def _configure_badly(self, trouble: Trouble) -> tuple[str, ...]:
        self._load.operator.change_badly()
        return ("operator",)
