"""Errors of the replicated log; a broken invariant stops the process."""

from bitterntiller.core.errors import BrokenInvariantError, CodedError


class LogDamagedError(BrokenInvariantError):
    """A file of the data folder is damaged in its middle."""

    code = "log-damaged"

    def __init__(self, file: str, offset: int, text: str) -> None:
        super().__init__(f"{file} at byte {offset}: {text}")
        self.file = file
        self.offset = offset


class StorageFailedError(BrokenInvariantError):
    """A write or a sync failed; what is on the disk is not known any more."""

    code = "storage-failed"


class StorageFullError(CodedError):
    """A write found no room on the disk and was undone; it can be tried again."""

    code = "storage-full"


class FolderLockedError(BrokenInvariantError):
    """Another process uses the data folder."""

    code = "data-folder-locked"


class SafetyError(BrokenInvariantError):
    """A message contradicts what is committed."""

    code = "replication-safety"


class NoDataFolderError(BrokenInvariantError):
    """The settings of a host with the control role name no data folder."""

    code = "no-data-folder"
