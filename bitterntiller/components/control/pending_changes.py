"""Changes of the configuration that are decided now, shared by all their copies."""

import hashlib
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from bitterntiller.components.control.const import (
    MAX_ACCEPTED_CHANGES,
    STATUS_ACCEPTED,
)
from bitterntiller.core.document_size import max_decoded_bytes
from bitterntiller.core.timeouts import ignore_after

Decide = Callable[[Any], Awaitable[Any]]
"""Validates and commits a messages.Change; returns its messages.ChangeReply."""


class _Pending:
    def __init__(self, size: int) -> None:
        self.size = size
        self.done = curio.Event()
        self.reply: Any = None
        self.error: Exception | None = None


class PendingChanges:
    """Decides each change once, however often it is sent meanwhile.

    Beyond max_bytes of memory for all of them, further changes get the reply that full
    returns; one is decided in any case.

    An operator that gets no response in time sends a change again, to any host. If each
    copy were validated and appended to the log, a change that takes longer than the
    operator waits would take even longer with each copy.
    """

    def __init__(self, decide: Decide, max_bytes: int, full: Callable[[], Any]) -> None:
        self._decide = decide
        self._max_bytes = max_bytes
        self._full = full
        self._pending_by_key: dict[bytes, _Pending] = {}
        self._accepted: dict[bytes, Any] = {}

    @property
    def bytes(self) -> int:
        """Memory of the configurations that are decided now, once decoded."""
        return sum(pending.size for pending in self._pending_by_key.values())

    async def async_reply(self, change: Any, wait: float) -> Any:
        """Return the reply to a messages.Change, None if it takes longer than wait."""
        key = _key(change)
        accepted = self._accepted.get(key)
        if accepted is not None:
            return accepted
        pending = self._pending_by_key.get(key)
        if pending is None:
            size = max_decoded_bytes(change.config)
            if self._pending_by_key and self.bytes + size > self._max_bytes:
                return self._full()
            pending = self._pending_by_key[key] = _Pending(size)
            await curio.spawn(self._async_decide, key, change, pending, daemon=True)
        async with ignore_after(wait):
            await pending.done.wait()
        if pending.error is not None:
            raise pending.error
        return pending.reply

    async def _async_decide(self, key: bytes, change: Any, pending: _Pending) -> None:
        try:
            pending.reply = await self._decide(change)
            self._keep_accepted(key, change, pending.reply)
        except Exception as error:
            # Raised to the callers that wait, whose connection handles it.
            pending.error = error
        finally:
            del self._pending_by_key[key]
            await pending.done.set()

    def _keep_accepted(self, key: bytes, change: Any, reply: Any) -> None:
        """Keep the outcome of a change that has a number.

        Those without one have outcomes in the replicated state, for a limited time.
        """
        if change.number is None or reply.status != STATUS_ACCEPTED:
            return
        self._accepted[key] = reply
        if len(self._accepted) > MAX_ACCEPTED_CHANGES:
            del self._accepted[next(iter(self._accepted))]


def _key(change: Any) -> bytes:
    """Return a digest of all that the outcome of a change depends on."""
    head = repr((change.change_id, change.base_version, change.number))
    return hashlib.sha256(head.encode() + b"\n" + change.config).digest()
