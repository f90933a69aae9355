"""Errors of the announcements of upstreams."""

from bitterntiller.core.errors import CodedError


class AnnouncementError(CodedError):
    """Raised for an announcement that can't be read."""

    code = "bad-announcement"
