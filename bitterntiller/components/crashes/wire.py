"""Converts crash updates to and from messages between hosts."""

from bitterntiller.components.crashes.models import (
    Block,
    Clearing,
    Crash,
    CrashUpdate,
)
from bitterntiller.protocol import messages


def report_message(
    update: CrashUpdate,
    host: str,
    now: float,
    broadcast: bool = False,
    digest: int | None = None,
    partial: bool = False,
) -> messages.CrashReport:
    """Return an update as a message; broadcast asks the receiver to forward it to all.

    A message with a digest has no update and asks for the receiver's digest. A partial
    one has only what is new and asks for nothing.
    """
    return messages.CrashReport(
        host=host,
        broadcast=broadcast,
        digest=digest,
        partial=partial or None,
        crashes=[
            messages.CrashItem(
                fingerprint=item.fingerprint,
                upstream=item.upstream,
                incarnation=item.incarnation,
                age_ms=_age_ms(item.at, now),
                workspace=item.workspace or None,
                ran_ms=None if item.ran is None else int(item.ran * 1000),
            )
            for item in update.crashes
        ],
        clearings=[
            messages.ClearingItem(
                fingerprint=item.fingerprint, age_ms=_age_ms(item.at, now)
            )
            for item in update.clearings
        ],
        blocks=[
            messages.BlockItem(
                fingerprint=item.fingerprint,
                age_ms=_age_ms(item.at, now),
                duration_ms=int(item.seconds * 1000),
            )
            for item in update.blocks
        ]
        or None,
    )


def crash_update(message: messages.CrashReport, now: float) -> CrashUpdate:
    """Return the update in a message, with times on this process's clock."""
    return CrashUpdate(
        tuple(
            Crash(
                item.fingerprint,
                item.upstream,
                item.incarnation,
                now - max(0, item.age_ms) / 1000,
                item.workspace or 0,
                None if item.ran_ms is None else max(0, item.ran_ms) / 1000,
            )
            for item in message.crashes
        ),
        tuple(
            Clearing(item.fingerprint, now - max(0, item.age_ms) / 1000)
            for item in message.clearings
        ),
        tuple(
            Block(
                item.fingerprint,
                now - max(0, item.age_ms) / 1000,
                max(0, item.duration_ms) / 1000,
            )
            for item in message.blocks or ()
        ),
    )


def _age_ms(at: float, now: float) -> int:
    return max(0, int((now - at) * 1000))
