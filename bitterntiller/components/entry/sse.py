"""Server-sent events: whole events, their ids, the end mark."""

import json
import re
from typing import NamedTuple

from bitterntiller.components.entry.const import MAX_TOKENS
from bitterntiller.core.errors import CodedError

END_MARKERS = (b"data: [DONE]", b"data:[DONE]")
MAX_EVENT_BYTES = 1024 * 1024
_EVENT_END = b"\n\n"
_ANY_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID = b"id:"
_MAX_ID_DIGITS = 18
_USAGE = b'"usage"'


class BrokenStreamError(CodedError):
    """Raised for a stream that can't be passed on: a gap, or an endless event."""

    code = "broken-stream"


class Events(NamedTuple):
    """Whole events: their bytes, and how many of them carry data."""

    data: bytes
    count: int


class EventStream:
    """Follows a stream of events up to its end mark.

    Only whole events are passed on, so that a broken stream can be resumed
    behind the last one that the caller got, without a gap or a repetition. With
    ends_with_message a stream has no end mark of its own: it ends with its answer, and
    the ids of its events grow by any step.
    """

    def __init__(self, ends_with_response: bool = False) -> None:
        self._ends_with_response = ends_with_response
        self.last_id = 0
        self.ended = False
        self.cached_tokens: int | None = None
        self._partial = b""
        self._forwarded = False
        self._check_next = False

    @property
    def resumable(self) -> bool:
        """Tell whether the place reached is known.

        A stream without ids could be had again from its start only, and the
        caller would get its first part twice in an answer that looks whole.
        """
        return self.last_id > 0 or not self._forwarded

    def feed(self, data: bytes) -> Events:
        """Take bytes and return the whole events that they complete.

        Raise BrokenStreamError when a resumed stream goes on at another event,
        or an event is over MAX_EVENT_BYTES.
        """
        text = self._partial + data if self._partial else data
        end = _end_of_last_event(text)
        if end < 0:
            if len(text) > MAX_EVENT_BYTES:
                raise BrokenStreamError(f"an event over {MAX_EVENT_BYTES} bytes")
            self._partial = text
            return Events(b"", 0)
        self._partial = text[end:]
        whole = text[:end]
        return Events(whole, self._note(whole))

    def begin_resume(self) -> None:
        """Forget a part of an event, and let only the next one come first."""
        self._partial = b""
        self._check_next = True

    def is_complete_at_eof(self) -> bool:
        """Tell whether the stream is whole when its answer ends here."""
        return self.ended or (self._ends_with_response and not self._partial)

    def _note(self, whole: bytes) -> int:
        events = _split(whole)
        if self._check_next:
            self._check(events)
        marked = not self._ends_with_response and whole.find(b"[DONE]") >= 0
        if marked and any(map(_is_end, events)):
            self.ended = True
        for event in reversed(events):
            number = _event_id(event)
            if number is not None:
                self.last_id = number
                break
        if _USAGE in whole:
            self._note_usage(events)
        self._forwarded = True
        return len(events)

    def _check(self, events: list[bytes]) -> None:
        """Refuse a resumed stream that repeats events or leaves some out.

        An upstream that takes no notice of Last-Event-ID sends the stream from its
        start; the caller would take the repetition for part of its answer.
        """
        for event in events:
            number = _event_id(event)
            if number is None:
                continue
            expected = self.last_id + 1
            late = self._ends_with_response and number > expected
            if number != expected and not late:
                raise BrokenStreamError(f"event {number} follows {self.last_id}")
            self._check_next = False
            return
        if self.last_id and not any(map(_is_end, events)):
            raise BrokenStreamError("a resumed stream without ids")

    def _note_usage(self, events: list[bytes]) -> None:
        for event in events:
            if _USAGE not in event:
                continue
            tokens = _cached_tokens(event)
            if tokens is not None:
                self.cached_tokens = tokens


def _end_of_last_event(text: bytes) -> int:
    """Return the place behind the last event's end, -1 when none has ended."""
    end = text.rfind(_EVENT_END)
    if b"\r" not in text:
        return end + len(_EVENT_END) if end >= 0 else -1
    ends = [match.end() for match in _ANY_EVENT_END.finditer(text)]
    return ends[-1] if ends else -1


def _split(whole: bytes) -> list[bytes]:
    if b"\r" not in whole:
        return whole.split(_EVENT_END)[:-1]
    return _ANY_EVENT_END.split(whole)[:-1]


def _is_end(event: bytes) -> bool:
    return any(line.rstrip() in END_MARKERS for line in event.split(b"\n"))


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            value = line[len(_ID) :].strip()
            short = len(value) <= _MAX_ID_DIGITS
            return int(value) if short and value.isdigit() else None
    return None


def _cached_tokens(event: bytes) -> int | None:
    data = event.partition(b"data:")[2]
    try:
        usage = json.loads(data)["usage"]
        tokens = int(usage["prompt_tokens_details"]["cached_tokens"])
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None
    return tokens if 0 <= tokens <= MAX_TOKENS else None
