"""Errors of the announcements of upstreams."""

from bitterntiller.core.errors import CodedError


class AnnouncementError(CodedError):
    """Raised for an invalid announcement."""

    code = "bad-announcement"
