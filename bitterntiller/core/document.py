"""JSON documents with comments that can report the line of each key."""

import json
import math
import re
from functools import cached_property
from pathlib import Path
from typing import Any

from bitterntiller.core.problems import (
    DocumentError,
    KeyPath,
    LocatedProblem,
    Problem,
    join_path,
)

_STRING_OR_COMMENT = re.compile(
    r'("(?:[^"\\]|\\.)*")|//[^\n]*|/\*.*?\*/',
    re.DOTALL,
)


class Document:
    """The value of a document and, by path, the line of each key."""

    def __init__(self, file: str, text: str, value: Any) -> None:
        self.file = file
        self.value = value
        self._text = text

    @cached_property
    def lines_by_path(self) -> dict[KeyPath, int]:
        """The lines of all keys, counted from 1."""
        from bitterntiller.core.positions import find_positions

        return find_positions(self._text, self.file).lines_by_path

    def line(self, path: KeyPath) -> int:
        """Return the line of a key, or of its nearest enclosing key."""
        while path and path not in self.lines_by_path:
            path = path[:-1]
        return self.lines_by_path.get(path, 1)

    def locate(self, problem: Problem) -> LocatedProblem:
        """Add file and line to a problem."""
        line = self.line(problem.path)
        return LocatedProblem(self.file, line, join_path(problem.path), problem.text)


def read_document(path: Path) -> Document:
    """Read a JSON file with comments; raise DocumentError."""
    try:
        text = path.read_bytes().decode()
    except UnicodeDecodeError as error:
        line = error.object[: error.start].count(b"\n") + 1
        raise _document_error(str(path), line, "not UTF-8") from error
    except OSError as error:
        raise _document_error(
            str(path), 1, f"can't be read: {error.strerror}"
        ) from error
    return parse_document(text, str(path))


def parse_document(text: str, file: str) -> Document:
    """Parse JSON with comments; raise DocumentError with file and line."""
    try:
        return Document(file, text, _parse(text))
    except (ValueError, RecursionError):
        raise _explain(text, file) from None


def _parse(text: str) -> Any:
    """Return the parsed value; raise ValueError for an invalid text."""
    bare = _STRING_OR_COMMENT.sub(lambda found: found[1] or " ", text)
    value = json.loads(
        bare,
        object_pairs_hook=_reject_duplicate_keys,
        parse_float=_parse_finite,
        parse_constant=_reject_constant,
    )
    # The parser accepts an unpaired surrogate, which UTF-8 messages can't encode.
    json.dumps(value, ensure_ascii=False).encode()
    return value


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        raise ValueError("a key given twice")
    return value


def _parse_finite(digits: str) -> float:
    value = float(digits)
    if not math.isfinite(value):
        raise ValueError("a number out of range")
    return value


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not JSON")


def _explain(text: str, file: str) -> DocumentError:
    from bitterntiller.core.positions import find_positions

    problems = find_positions(text, file).problems
    return DocumentError(problems or [LocatedProblem(file, 1, ".", "not JSON")])


def _document_error(file: str, line: int, text: str) -> DocumentError:
    return DocumentError([LocatedProblem(file, line, ".", text)])
