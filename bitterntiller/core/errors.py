"""Errors with stable codes, for operators and scripts."""


class CodedError(Exception):
    """An error with a stable code that scripts can match."""

    code = "error"

    def __init__(self, text: str) -> None:
        super().__init__(text)
        self.text = text

    def __str__(self) -> str:
        return f"[{self.code}] {self.text}"


class BrokenInvariantError(CodedError):
    """Raised when the process can't continue without risking a guarantee."""

    code = "broken-invariant"
