"""Errors of the replicated log; a broken invariant stops the process."""

from bitterntiller.core.errors import BrokenInvariantError, CodedError


class LogDamagedError(BrokenInvariantError):
    """A file of the data folder is damaged, not just cut short by a crash."""

    code = "log-damaged"

    def __init__(self, file: str, offset: int, text: str) -> None:
        super().__init__(f"{file} at byte {offset}: {text}")
        self.file = file
        self.offset = offset


class StorageFailedError(BrokenInvariantError):
    """A write or sync failed, and the state of the disk is unknown."""

    code = "storage-failed"


class StorageFullError(CodedError):
    """The disk is full; the write was undone and can be retried."""

    code = "storage-full"


class FolderLockedError(BrokenInvariantError):
    """Another process uses the data folder."""

    code = "data-folder-locked"


class SafetyError(BrokenInvariantError):
    """A message violates a safety property: it contradicts committed entries or the
    leader of the term."""

    code = "replication-safety"


class NoDataFolderError(BrokenInvariantError):
    """A host with the control role has no data folder in its settings."""

    code = "no-data-folder"
