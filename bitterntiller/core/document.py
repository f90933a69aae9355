"""JSON documents with comments, read so that each value's line is known."""

import json
import math
from pathlib import Path
from typing import Any, NamedTuple

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

from bitterntiller.core.errors import CodedError

MAX_DEPTH = 64

GRAMMAR = r"""
?start: value
?value: object | array | STRING | NUMBER | TRUE | FALSE | NULL
object: "{" [pair ("," pair)*] "}"
array: "[" [value ("," value)*] "]"
pair: STRING ":" value

TRUE: "true"
FALSE: "false"
NULL: "null"
STRING: /"(?:[^"\\\x00-\x1f]|\\["\\\/bfnrt]|\\u[0-9a-fA-F]{4})*"/
NUMBER: /-?(?:0|[1-9][0-9]*)(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?/
LINE_COMMENT: /\/\/[^\n]*/
BLOCK_COMMENT: /\/\*(?:[^*]|\*(?!\/))*\*\//
WHITESPACE: /[ \t\r\n]+/

%ignore LINE_COMMENT
%ignore BLOCK_COMMENT
%ignore WHITESPACE
"""

KeyPath = tuple[str | int, ...]

_PARSER = Lark(
    GRAMMAR, parser="lalr", maybe_placeholders=False, propagate_positions=True
)


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


class Document(NamedTuple):
    """The value of a document, and the line of each key by its path."""

    file: str
    value: Any
    lines_by_path: dict[KeyPath, int]

    def line(self, path: KeyPath) -> int:
        """Return the line of a key, or of the nearest key around it."""
        while path and path not in self.lines_by_path:
            path = path[:-1]
        return self.lines_by_path.get(path, 1)

    def locate(self, problem: Problem) -> LocatedProblem:
        """Add file and line to a problem."""
        line = self.line(problem.path)
        return LocatedProblem(self.file, line, join_path(problem.path), problem.text)


def join_path(path: KeyPath) -> str:
    """Return a path as it is shown to people, as in a.b[0]; "." for the whole."""
    shown = ""
    for part in path:
        shown += f"[{part}]" if isinstance(part, int) else f".{part}"
    return shown.lstrip(".") or "."


def read_document(path: Path) -> Document:
    """Read a file of JSON with comments; raise DocumentError."""
    try:
        text = path.read_bytes().decode()
    except UnicodeDecodeError as error:
        line = error.object[: error.start].count(b"\n") + 1
        raise _fault(str(path), line, "not UTF-8") from error
    except OSError as error:
        raise _fault(str(path), 1, f"can't be read: {error.strerror}") from error
    return parse_document(text, str(path))


def parse_document(text: str, file: str) -> Document:
    """Parse JSON with comments; raise DocumentError that names file and line."""
    try:
        tree = _PARSER.parse(text)
    except UnexpectedInput as error:
        raise _fault(file, _line_of(error, text), _explain(error)) from error
    builder = _Builder(file)
    value = builder.build(tree, ())
    if builder.problems:
        raise DocumentError(builder.problems)
    return Document(file, value, builder.lines_by_path)


def _fault(file: str, line: int, text: str) -> DocumentError:
    return DocumentError([LocatedProblem(file, line, ".", text)])


def _line_of(error: UnexpectedInput, text: str) -> int:
    if isinstance(error, UnexpectedToken) and error.token.type == "$END":
        return text.count("\n") + 1
    return error.line


def _explain(error: UnexpectedInput) -> str:
    if isinstance(error, UnexpectedCharacters):
        return f"unexpected character at column {error.column}"
    if not isinstance(error, UnexpectedToken):
        return "the document ends too early"
    if error.token.type == "$END":
        return "the document ends too early"
    history = error.token_history or []
    after_comma = bool(history) and history[-1].type == "COMMA"
    if after_comma and error.token.type in ("RBRACE", "RSQB"):
        return f"a comma before {error.token} is not allowed"
    return f"unexpected {str(error.token)[:40]} at column {error.column}"


class _Builder:
    """Turns the syntax tree into plain values and notes the lines."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.lines_by_path: dict[KeyPath, int] = {}
        self.problems: list[LocatedProblem] = []

    def build(self, node: Tree | Token, path: KeyPath) -> Any:
        """Return the value of a node that stands at a path."""
        line = node.line if isinstance(node, Token) else node.meta.line
        self.lines_by_path.setdefault(path, line)
        if isinstance(node, Token):
            return self._scalar(node, path)
        if len(path) >= MAX_DEPTH:
            self._report(path, f"nested deeper than {MAX_DEPTH}")
            return None
        if node.data == "array":
            return self._array(node, path)
        return self._object(node, path)

    def _array(self, node: Tree, path: KeyPath) -> list[Any]:
        values = []
        for index, child in enumerate(node.children):
            values.append(self.build(child, (*path, index)))
        return values

    def _object(self, node: Tree, path: KeyPath) -> dict[str, Any]:
        values: dict[str, Any] = {}
        for pair in node.children:
            token, child = pair.children
            key = self._scalar(token, path)
            key_path = (*path, key)
            duplicate = key in values
            self.lines_by_path[key_path] = token.line
            if duplicate:
                self._report(key_path, "given twice")
            values[key] = self.build(child, key_path)
        return values

    def _scalar(self, token: Token, path: KeyPath) -> Any:
        value = json.loads(token)
        if isinstance(value, float) and not math.isfinite(value):
            self._report(path, "a number out of range")
        if isinstance(value, str) and not _is_unicode(value):
            self._report(path, "a string with half of a surrogate pair")
        return value

    def _report(self, path: KeyPath, text: str) -> None:
        line = self.lines_by_path.get(path, 1)
        self.problems.append(LocatedProblem(self.file, line, join_path(path), text))


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
