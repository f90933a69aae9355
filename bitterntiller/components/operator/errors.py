"""Errors of the operator port."""

from bitterntiller.core.errors import CodedError


class RefusedRequestError(CodedError):
    """Raised for an invalid request; status is the HTTP status."""

    code = "bad-request"

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
