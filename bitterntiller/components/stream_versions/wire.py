"""Conversion between messages and the models of stream versions."""

from typing import Any

from bitterntiller.components.stream_versions.const import (
    MAX_DIGESTS_PER_MESSAGE,
    SETTLE_SECONDS,
    STATUS_CONFLICT,
    STATUS_KNOWN,
    STATUS_UNKNOWN,
)
from bitterntiller.components.stream_versions.models import (
    Answer,
    Beginning,
    BegunStream,
)
from bitterntiller.protocol import messages

MAX_MILLISECONDS = 2**31 - 1


def begun_messages(
    begun_by_digest: dict[int, BegunStream], now: float
) -> list[messages.BegunStreams]:
    """Return the messages that tell a holder of streams; conflicts are left out."""
    items_by_beginning: dict[Beginning, list[tuple[int, float]]] = {}
    for digest, (beginning, at) in begun_by_digest.items():
        if beginning is not None:
            items_by_beginning.setdefault(beginning, []).append((digest, at))
    made = []
    for beginning, items in items_by_beginning.items():
        for start in range(0, len(items), MAX_DIGESTS_PER_MESSAGE):
            part = items[start : start + MAX_DIGESTS_PER_MESSAGE]
            streams = messages.VersionStreams(
                pool=beginning.pool,
                version=beginning.version,
                digests=[digest for digest, _ in part],
                age_ms=_milliseconds(now - max(at for _, at in part)),
            )
            made.append(messages.BegunStreams(versions=[streams]))
    return made


def find_reply(begun: BegunStream | None, now: float, up_for: float) -> Any:
    """Return the reply of a host that has been up for some seconds."""
    if begun is None:
        settled = up_for >= SETTLE_SECONDS
        return messages.FindStreamReply(status=STATUS_UNKNOWN, settled=settled)
    if begun.beginning is None:
        return messages.FindStreamReply(status=STATUS_CONFLICT, settled=True)
    return messages.FindStreamReply(
        status=STATUS_KNOWN,
        pool=begun.beginning.pool,
        version=begun.beginning.version,
        age_ms=_milliseconds(now - begun.at),
        settled=True,
    )


def find_answer(reply: Any) -> Answer:
    """Convert a messages.FindStreamReply."""
    known = reply.status == STATUS_KNOWN
    return Answer(
        beginning=Beginning(reply.pool, reply.version) if known else None,
        age=(reply.age_ms or 0) / 1000,
        conflict=reply.status == STATUS_CONFLICT,
        settled=bool(reply.settled),
    )


def _milliseconds(seconds: float) -> int:
    return max(0, min(int(seconds * 1000), MAX_MILLISECONDS))
