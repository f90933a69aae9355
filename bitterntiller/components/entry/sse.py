"""Parse streams of server-sent events: complete events, ids and the end marker."""

import json
import re
from typing import NamedTuple

from bitterntiller.components.entry.const import MAX_TOKENS
from bitterntiller.core.errors import CodedError

END_MARKERS = (b"data: [DONE]", b"data:[DONE]")
MAX_EVENT_BYTES = 1024 * 1024
_EVENT_END = b"\n\n"
_ANY_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_EVENT_END = 4
"""Longest end of an event in bytes."""

_ID = b"id:"
_MAX_ID_DIGITS = 18
_USAGE = b'"usage"'


class BrokenStreamError(CodedError):
    """Raised for a stream that can't be relayed: a gap or an oversized event."""

    code = "broken-stream"


class Events(NamedTuple):
    """Complete events: their bytes, and the number of those that aren't comments."""

    data: bytes
    count: int


class EventStream:
    """Tracks the events of a stream up to its end marker.

    Only complete events are relayed, so a broken stream can be resumed after the last
    relayed one, without a gap or a duplicate. With ends_with_response, a stream has no
    end marker: it ends with its response, and its event ids may increase by any step.
    """

    def __init__(self, ends_with_response: bool = False) -> None:
        self._ends_with_response = ends_with_response
        self.last_id = 0
        self.ended = False
        self.cached_tokens: int | None = None
        self._partial = bytearray()
        self._forwarded = False
        self._check_next = False

    @property
    def resumable(self) -> bool:
        """Return whether the stream can be resumed at its current position.

        A stream without event ids would restart from its beginning, and the caller
        would get the first part twice in a response that looks complete.
        """
        return self.last_id > 0 or not self._forwarded

    @property
    def incomplete(self) -> bytes:
        """Return what was received of the next event."""
        return bytes(self._partial)

    def feed(self, data: bytes) -> Events:
        """Append received bytes and return the events that they complete.

        Raise BrokenStreamError if a resumed stream continues at the wrong event, or an
        event is larger than MAX_EVENT_BYTES.
        """
        partial = self._partial
        searched = max(0, len(partial) - _MAX_EVENT_END + 1)
        partial += data
        end = _end_of_last_event(partial, searched)
        if end < 0:
            if len(partial) > MAX_EVENT_BYTES:
                raise BrokenStreamError(f"event larger than {MAX_EVENT_BYTES} bytes")
            return Events(b"", 0)
        whole = bytes(partial[:end])
        del partial[:end]
        return Events(whole, self._track(whole))

    def begin_resume(self) -> None:
        """Drop an incomplete event and require the next event id of the stream."""
        self._partial = bytearray()
        self._check_next = True

    def is_complete_at_eof(self) -> bool:
        """Return whether the stream is complete if its response ends here."""
        return self.ended or (self._ends_with_response and not self._partial)

    def _track(self, whole: bytes) -> int:
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
            self._record_usage(events)
        count = sum(not _is_comment(event) for event in events)
        self._forwarded = self._forwarded or count > 0
        return count

    def _check(self, events: list[bytes]) -> None:
        """Raise BrokenStreamError if a resumed stream repeats or skips events.

        An upstream that ignores Last-Event-ID sends the stream from its start, and the
        caller would take the duplicate events for a part of the response.
        """
        for event in events:
            number = _event_id(event)
            if number is None:
                continue
            expected = self.last_id + 1
            late = self._ends_with_response and number > expected
            if number != expected and not late:
                raise BrokenStreamError(f"event id {number} follows {self.last_id}")
            self._check_next = False
            return
        if all(map(_is_comment, events)):
            return
        if self.last_id and not any(map(_is_end, events)):
            raise BrokenStreamError("resumed stream has no event ids")

    def _record_usage(self, events: list[bytes]) -> None:
        for event in events:
            if _USAGE not in event:
                continue
            tokens = _cached_tokens(event)
            if tokens is not None:
                self.cached_tokens = tokens


def _end_of_last_event(text: bytearray, start: int) -> int:
    """Return the offset after the last complete event, -1 if none ends after start."""
    end = text.rfind(_EVENT_END, start)
    if text.find(b"\r", start) < 0:
        return end + len(_EVENT_END) if end >= 0 else -1
    ends = [match.end() for match in _ANY_EVENT_END.finditer(text, start)]
    return ends[-1] if ends else -1


def _split(whole: bytes) -> list[bytes]:
    if b"\r" not in whole:
        return whole.split(_EVENT_END)[:-1]
    return _ANY_EVENT_END.split(whole)[:-1]


def _is_end(event: bytes) -> bool:
    return any(line.rstrip() in END_MARKERS for line in event.split(b"\n"))


def _is_comment(event: bytes) -> bool:
    """Return whether an event has no field, as those that keep a connection alive."""
    text = event.lstrip()
    if not text.startswith(b":"):
        return not text
    return all(not line.strip() or line[:1] == b":" for line in text.split(b"\n"))


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
