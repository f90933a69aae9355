"""Problems in a document and where they are."""

from typing import NamedTuple

from bitterntiller.core.errors import CodedError

KeyPath = tuple[str | int, ...]


class Problem(NamedTuple):
    """An error in a document: the path of the key and a description."""

    path: KeyPath
    text: str

    def __str__(self) -> str:
        return f"{join_path(self.path)}: {self.text}"


class LocatedProblem(NamedTuple):
    """A problem with its file and line (from 1)."""

    file: str
    line: int
    key: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.key}: {self.text}"


class DocumentError(CodedError):
    """Raised for a file that can't be parsed as JSON with comments."""

    code = "document"

    def __init__(self, problems: list[LocatedProblem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


def join_path(path: KeyPath) -> str:
    """Return a path in readable form, such as a.b[0]; "." for the root."""
    shown = ""
    for part in path:
        shown += f"[{part}]" if isinstance(part, int) else f".{part}"
    return shown.lstrip(".") or "."
