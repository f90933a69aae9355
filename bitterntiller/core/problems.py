"""What is wrong with a document, and where."""

from typing import NamedTuple

from bitterntiller.core.errors import CodedError

KeyPath = tuple[str | int, ...]


class Problem(NamedTuple):
    """A fault of a document: the path of the key and what is wrong with it."""

    path: KeyPath
    text: str

    def __str__(self) -> str:
        return f"{join_path(self.path)}: {self.text}"


class LocatedProblem(NamedTuple):
    """A problem with the file and line (from 1) where it stands."""

    file: str
    line: int
    key: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.key}: {self.text}"


class DocumentError(CodedError):
    """Raised for a file that can't be read as JSON with comments."""

    code = "document"

    def __init__(self, problems: list[LocatedProblem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


def join_path(path: KeyPath) -> str:
    """Return a path as it is shown to people, as in a.b[0]; "." for the whole."""
    shown = ""
    for part in path:
        shown += f"[{part}]" if isinstance(part, int) else f".{part}"
    return shown.lstrip(".") or "."
