"""The callers of a soak."""

import threading
import time
import uuid
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from tests.platform.builders import KEY
from tests.platform.callers import Callers, chunked, whole
from tests.platform.crashing_parts import (
    BAD,
    OTHER_KEY,
    SHARED,
    SOUND,
    Load,
    send,
)
from tests.platform.crashing_parts import Kind as PromptKind
from tests.platform.silent_callers import Kind, SilentCallers
from tests.platform.soak_fleet import MOVING, PINS, TILES, SoakFleet
from tests.platform.soak_operator import Operator, call_tile
from tests.platform.stream_versions import DEADLINE_MS, LONG_PAUSE, StreamCallers

STREAM_CALLERS = 5
MOVING_CALLERS = 6
LONG_STREAM_CALLERS = 4
CALLERS = 5
SOUND_PER_SECOND = 2.0
BAD_PER_SECOND = 4.0
HOT_SHARE = 0.9
UPLOAD_CALLERS = 2
UPLOAD_BYTES = 900_000
"""Length of an upload: more than the kernel of an engine takes unread."""


class HostChoice(Sequence[str]):
    """Entry hosts as the callers draw them; one of them may get most connections."""

    RESOLUTION = 100

    def __init__(self, ips: tuple[str, ...]) -> None:
        self.ips = ips
        self.hot: str | None = None

    def __len__(self) -> int:
        return len(self.ips) * self.RESOLUTION

    def __getitem__(self, index: Any) -> Any:
        if self.hot is not None and index < HOT_SHARE * len(self):
            return self.hot
        return self.ips[index % len(self.ips)]

    def __iter__(self) -> Iterator[str]:
        return iter(self.ips)


class UploadCallers(Callers):
    """Callers whose bodies are long."""

    body_bytes = (UPLOAD_BYTES, UPLOAD_BYTES + 1)
    forms = (whole, chunked)


class SoakLoad:
    """All callers of a soak; times are those of the monotonic clock."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.hosts = HostChoice(fleet.entry_ips)
        self._wall_offset = time.time() - time.monotonic()
        self.streams = StreamCallers(self.hosts, callers=STREAM_CALLERS)
        count_by_kind = {Kind.RESUMABLE: LONG_STREAM_CALLERS}
        self.moving_streams = StreamCallers(
            self.hosts, 0.0, MOVING_CALLERS, pause=LONG_PAUSE, path=f"{MOVING}1"
        )
        self.long_streams = SilentCallers(self.hosts, count_by_kind, DEADLINE_MS)
        self._seed = seed
        self._uploads = 0
        self.calls = Callers(self.hosts, _call_paths, seed)
        self.calls.start(CALLERS)
        sound = tuple(kind._replace(a_second=SOUND_PER_SECOND) for kind in SOUND)
        bad = PromptKind("bad", BAD_PER_SECOND, KEY, lambda: (SHARED, BAD, _own()))
        self.prompts = Load((*sound, bad), self.hosts, equal_bodies=False)
        self.operator = Operator(fleet)

    def call_time(self, wall: float) -> float:
        """Return the monotonic time of a call that recorded the time of day."""
        return wall - self._wall_offset

    def upload(self, seconds: float) -> None:
        """Send long calls, too, for some seconds."""
        self._uploads += 1
        seed = UPLOAD_BYTES * (self._seed + self._uploads)
        callers = UploadCallers(self.hosts, _call_paths, seed)
        callers.responses = self.calls.responses
        callers.start(UPLOAD_CALLERS)
        time.sleep(seconds)
        callers.stop()

    def stop(self) -> None:
        """Stop all callers after what they have in progress."""
        for callers in (
            self.streams,
            self.moving_streams,
            self.long_streams,
            self.calls,
            self.prompts,
            self.operator,
        ):
            callers.stop()


def fill(fleet: SoakFleet) -> None:
    """Send twice as many requests at once as the engines of each service have slots."""
    prompts = 2 * sum(engine.slots for engine in fleet.engines)
    calls = 2 * sum(engine.slots for engine in fleet.plain)
    targets: list[Callable[[str], object]] = [
        *[lambda ip: send(ip, OTHER_KEY, (_own(),))] * prompts,
        *[call_tile] * calls,
    ]
    ips = fleet.entry_ips
    threads = [
        threading.Thread(target=target, args=(ips[number % len(ips)],))
        for number, target in enumerate(targets)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _call_paths() -> list[str]:
    return [f"{TILES}1", f"{PINS}1"]


def _own() -> str:
    return uuid.uuid4().hex[:8]
