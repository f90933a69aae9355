"""Server-sent events: whole events, their ids, the end mark."""

import json
from typing import NamedTuple

END_MARK = b"data: [DONE]"
_EVENT_END = b"\n\n"
_ID = b"id:"
_USAGE = b'"usage"'


class Events(NamedTuple):
    """Whole events: their bytes, and how many of them carry data."""

    data: bytes
    count: int


class EventStream:
    """Follows a stream of events up to its end mark.

    Only whole events are passed on, so that a broken stream can be resumed
    behind the last one that the caller got, without a gap or a repetition.
    """

    def __init__(self) -> None:
        self.last_id = 0
        self.ended = False
        self.cached_tokens: int | None = None
        self._partial = b""

    def feed(self, data: bytes) -> Events:
        """Take bytes and return the whole events that they complete."""
        text = self._partial + data
        end = text.rfind(_EVENT_END)
        if end < 0:
            self._partial = text
            return Events(b"", 0)
        end += len(_EVENT_END)
        self._partial = text[end:]
        whole = text[:end]
        return Events(whole, self._note(whole))

    def drop_partial(self) -> None:
        """Forget a part of an event whose rest will not come."""
        self._partial = b""

    def _note(self, whole: bytes) -> int:
        events = whole.split(_EVENT_END)[:-1]
        if events[-1].endswith(END_MARK):
            self.ended = True
        for event in reversed(events):
            number = _event_id(event)
            if number is not None:
                self.last_id = number
                break
        if _USAGE in whole:
            self._note_usage(events)
        return len(events)

    def _note_usage(self, events: list[bytes]) -> None:
        for event in events:
            if _USAGE not in event:
                continue
            tokens = _cached_tokens(event)
            if tokens is not None:
                self.cached_tokens = tokens


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            value = line[len(_ID) :].strip()
            return int(value) if value.isdigit() else None
    return None


def _cached_tokens(event: bytes) -> int | None:
    data = event.partition(b"data:")[2]
    try:
        usage = json.loads(data)["usage"]
        return int(usage["prompt_tokens_details"]["cached_tokens"])
    except (ValueError, KeyError, TypeError):
        return None
