"""The versions of the configuration and the outcomes of changes to it."""

import hashlib
import json
from collections import deque
from typing import Any, NamedTuple

from bitterntiller.components.control.const import (
    MAX_CHANGE_IDS,
    MAX_CONFIG_DEPTH,
    MAX_PATCHES,
    OUTCOME_BYTES,
    STATUS_ACCEPTED,
    STATUS_CONFLICT,
    STATUS_EXPIRED_ID,
    STATUS_INVALID,
)
from bitterntiller.components.control.errors import DocumentDepthError
from bitterntiller.components.control.merge_patch import make_patch
from bitterntiller.components.control.models import ChangeOutcome
from bitterntiller.protocol import messages

NO_NUMBER = -1
"""Number before the first configuration, lower than any that an operator may choose."""

_TOO_DEEP = f"a configuration has at most {MAX_CONFIG_DEPTH} levels"


class Patch(NamedTuple):
    """The merge patch that leads from the previous version to this one.

    data is None if no merge patch can express the difference, or if the whole document
    is smaller than it and those after it. accepted_ms is the cluster time at which the
    change was accepted.
    """

    version: int
    data: bytes | None
    accepted_ms: int


class ConfigurationState:
    """The latest configuration; part of the replicated state."""

    def __init__(self) -> None:
        self.version = 0
        self.number = NO_NUMBER
        self.text = b"{}"
        self.outcomes_by_id: dict[str, ChangeOutcome] = {}
        self._document: dict[str, Any] = {}
        self._dropped_base_version = -1
        self._patches: deque[Patch] = deque(maxlen=MAX_PATCHES)

    @property
    def document(self) -> dict[str, Any]:
        """The latest configuration as a JSON document; callers must not modify it."""
        return self._document

    def apply(self, change: Any, time_ms: int) -> Any:
        """Decide a messages.Change and return its messages.ChangeReply.

        A repeated change gets its first outcome. If the first reply was lost, the
        change must neither be applied twice nor be reported as a conflict with itself
        or with a later change. An invalid change has no outcome.
        """
        try:
            return self._apply(change, time_ms)
        except DocumentDepthError as error:
            return _reply(STATUS_INVALID, self.version, str(error))

    def _apply(self, change: Any, time_ms: int) -> Any:
        if change.number is not None:
            return self._apply_numbered(change, time_ms)
        digest = _digest(change)
        known = self.outcomes_by_id.get(change.change_id)
        if known is not None:
            return _repeat_reply(known, digest)
        if change.base_version != self.version:
            return self._reject(change, digest, time_ms)
        self._advance(load_document(change.config), time_ms)
        self._record_outcome(change, STATUS_ACCEPTED, digest, time_ms)
        return _reply(STATUS_ACCEPTED, self.version)

    def _apply_numbered(self, change: Any, time_ms: int) -> Any:
        """Apply a change that the operator numbers, if its number is the highest yet.

        A change whose number is not higher is acknowledged without effect: it is a
        repetition or was superseded. Its outcome need not be stored, and different
        content under the current number is never applied.
        """
        if change.number > self.number:
            self._advance(load_document(change.config), time_ms)
            self.number = change.number
        return _reply(STATUS_ACCEPTED, self.version)

    def _reject(self, change: Any, digest: str, time_ms: int) -> Any:
        """Reject a change whose base is not the current version.

        If an outcome for the same base version was dropped, it may have been that of
        this change id; conflict could then contradict an earlier accepted, so the
        status is expired-id.
        """
        if change.base_version <= self._dropped_base_version:
            text = "outcomes of changes as old as this are no longer kept"
            return _reply(STATUS_EXPIRED_ID, self.version, text)
        self._record_outcome(change, STATUS_CONFLICT, digest, time_ms)
        return _reply(STATUS_CONFLICT, self.version, _conflict_text(self.version))

    def _advance(self, document: dict[str, Any], time_ms: int) -> None:
        patch = make_patch(self._document, document)
        data = None if patch is None else canonical_json(patch)
        self._document = document
        self.text = canonical_json(document)
        self.version += 1
        self._patches.append(Patch(self.version, data, time_ms))
        self._drop_long_patches()

    def _drop_long_patches(self) -> None:
        """Drop the data of patches in whose place a node gets the whole document.

        A patch of a list holds the whole list, so that patches of a long configuration
        would take many times the memory of the configuration itself.
        """
        size = 0
        for index in range(len(self._patches) - 1, -1, -1):
            patch = self._patches[index]
            size += len(patch.data or b"")
            if size >= len(self.text) and patch.data is not None:
                self._patches[index] = patch._replace(data=None)

    def _record_outcome(
        self, change: Any, status: str, digest: str, time_ms: int
    ) -> None:
        self.outcomes_by_id[change.change_id] = ChangeOutcome(
            status, self.version, change.base_version, digest, time_ms
        )
        while len(self.outcomes_by_id) > MAX_CHANGE_IDS:
            self._drop_oldest()

    def expire(self, before_ms: int) -> None:
        """Drop the outcomes recorded before a cluster time in milliseconds."""
        while self.outcomes_by_id:
            oldest = next(iter(self.outcomes_by_id.values()))
            if oldest.time_ms >= before_ms:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        change_id = next(iter(self.outcomes_by_id))
        outcome = self.outcomes_by_id.pop(change_id)
        base = min(outcome.base_version, outcome.version)
        self._dropped_base_version = max(self._dropped_base_version, base)

    def patches_since(self, version: int) -> list[Patch] | None:
        """Return the patches that lead from a version to the latest.

        None if they are no longer kept, or are not smaller than the whole document.
        """
        if not 0 <= version <= self.version:
            return None
        wanted = [patch for patch in self._patches if patch.version > version]
        if len(wanted) != self.version - version:
            return None
        if any(patch.data is None for patch in wanted):
            return None
        if sum(len(patch.data or b"") for patch in wanted) >= len(self.text):
            return None
        return wanted

    @property
    def patches_bytes(self) -> int:
        """Size of the patches kept."""
        return sum(len(patch.data or b"") for patch in self._patches)

    @property
    def outcomes_bytes(self) -> int:
        """Size of the recorded outcomes."""
        return OUTCOME_BYTES * len(self.outcomes_by_id)

    def superseded_at_ms(self, version: int) -> int | None:
        """Return the cluster time at which the successor of a version was accepted.

        None if the version is the latest, or if its successor is no longer kept.
        """
        for patch in self._patches:
            if patch.version > version:
                return patch.accepted_ms if patch.version == version + 1 else None
        return None

    def to_document(self) -> dict[str, Any]:
        """Return the state as a JSON document for a snapshot."""
        return {
            "version": self.version,
            "number": self.number,
            "document": self._document,
            "forgotten_base": self._dropped_base_version,
            "outcomes": self.outcomes_by_id,
        }

    def from_document(self, document: dict[str, Any]) -> None:
        """Replace the state with that of a snapshot."""
        self.version = document["version"]
        # Snapshots written by earlier versions hold 0 before the first configuration.
        self.number = document.get("number", 0) if self.version else NO_NUMBER
        self._document = document["document"]
        self.text = canonical_json(self._document)
        self._dropped_base_version = document["forgotten_base"]
        self._patches.clear()
        self.outcomes_by_id = {
            change_id: ChangeOutcome(*fields)
            for change_id, fields in document["outcomes"].items()
        }


def load_document(config: bytes) -> Any:
    """Decode a configuration; raise DocumentDepthError beyond MAX_CONFIG_DEPTH levels.

    Whether the decoder itself exceeds the recursion limit depends on the caller's
    stack; such a configuration is beyond the limit in any case.
    """
    try:
        document = json.loads(config)
    except RecursionError as error:
        raise DocumentDepthError(_TOO_DEEP) from error
    level = _containers([document])
    for _ in range(MAX_CONFIG_DEPTH):
        level = [child for item in level for child in _containers(item)]
        if not level:
            return document
    raise DocumentDepthError(_TOO_DEEP)


def _containers(item: dict[str, Any] | list[Any]) -> list[Any]:
    children = item.values() if isinstance(item, dict) else item
    return [child for child in children if isinstance(child, dict | list)]


def canonical_json(document: dict[str, Any]) -> bytes:
    """Return a document in the encoding that is stored and sent to nodes."""
    return json.dumps(document, separators=(",", ":")).encode()


def _digest(change: Any) -> str:
    base = str(change.base_version).encode()
    return hashlib.sha256(base + b"\n" + change.config).hexdigest()[:32]


def _reply(status: str, version: int, text: str = "") -> Any:
    return messages.ChangeReply(status=status, version=version, text=text, leader="")


def _conflict_text(version: int) -> str:
    return f"the present version is {version}"


def _repeat_reply(known: ChangeOutcome, digest: str) -> Any:
    if known.digest != digest:
        text = "this change id was used for another change"
        return _reply(STATUS_INVALID, known.version, text)
    text = _conflict_text(known.version) if known.status == STATUS_CONFLICT else ""
    return _reply(known.status, known.version, text)
