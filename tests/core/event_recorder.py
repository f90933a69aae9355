"""Records the events that the code under test emits."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from bitterntiller.core import events


class EventRecorder:
    """A fake EventWriter; by_kind holds the fields of the events of each kind."""

    def __init__(self) -> None:
        self.by_kind: dict[str, list[dict[str, Any]]] = {}

    def write(self, kind: str, fields: dict[str, Any]) -> None:
        self.by_kind.setdefault(kind, []).append(fields)


@contextmanager
def recording() -> Iterator[EventRecorder]:
    """Record events until the context exits."""
    recorder = EventRecorder()
    before = events._writer
    events.set_writer(recorder)
    try:
        yield recorder
    finally:
        events.set_writer(before)
