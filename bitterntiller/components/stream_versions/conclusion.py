"""Decides what began a stream, from what hosts remember.

Nothing is guessed: without a record, it is known only if the route has had a single
service with a single version for as long as the stream can be old.
"""

from collections.abc import Iterable

from bitterntiller.components.stream_versions.const import (
    SOURCE_HOLDER,
    SOURCE_ONLY_VERSION,
)
from bitterntiller.components.stream_versions.models import Answer, Beginning
from bitterntiller.core.interfaces import StreamOrigin, UnknownOrigin

CONFLICT = "its first attempt's id was used for streams of two versions"
UNANSWERED = "not all hosts that may remember the stream have answered"
UNREMEMBERED = "no host remembers the stream, and several versions may have begun it"


def conclude_early(
    answers: Iterable[Answer | None], candidates: tuple[Beginning, ...] | None
) -> StreamOrigin | UnknownOrigin | None:
    """Return what the answers so far show, None if further ones are needed.

    candidates are all that may have begun the stream, as control confirmed them after
    the request had arrived; None without a reply.
    """
    for answer in answers:
        if answer is None:
            continue
        if answer.conflict:
            return UnknownOrigin(final=True, detail=CONFLICT)
        if answer.beginning is not None:
            return StreamOrigin(*answer.beginning, SOURCE_HOLDER, answer.age)
    if candidates is not None and len(candidates) == 1:
        return StreamOrigin(*candidates[0], SOURCE_ONLY_VERSION, None)
    return None


def conclude(
    answers: list[Answer | None], candidates: tuple[Beginning, ...] | None
) -> StreamOrigin | UnknownOrigin:
    """Return what all answers show; None stands for a host that did not answer."""
    early = conclude_early(answers, candidates)
    if early is not None:
        return early
    settled = all(answer is not None and answer.settled for answer in answers)
    if not settled or not candidates:
        return UnknownOrigin(final=False, detail=UNANSWERED)
    return UnknownOrigin(final=True, detail=UNREMEMBERED)
