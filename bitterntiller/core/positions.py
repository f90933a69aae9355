"""Find the line of each key in a JSON document with comments, or its errors.

This is separate from core.document so that a process with valid files never loads the
parser.
"""

import json
import math
from typing import Any, NamedTuple

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

from bitterntiller.core.problems import KeyPath, LocatedProblem, join_path

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

_PARSER = Lark(
    GRAMMAR, parser="lalr", maybe_placeholders=False, propagate_positions=True
)


class Positions(NamedTuple):
    """Value, lines of keys (from 1, by path) and problems of a document."""

    value: Any
    lines_by_path: dict[KeyPath, int]
    problems: list[LocatedProblem]


def find_positions(text: str, file: str) -> Positions:
    """Parse a text; its errors are returned in the result, not raised."""
    try:
        tree = _PARSER.parse(text)
    except UnexpectedInput as error:
        line = _line_of(error, text)
        return Positions(None, {}, [LocatedProblem(file, line, ".", _explain(error))])
    builder = _Builder(file)
    value = builder.build(tree, ())
    return Positions(value, builder.lines_by_path, builder.problems)


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
    last = error.token_history[-1] if error.token_history else None
    after_comma = last is not None and last.type == "COMMA"
    if after_comma and error.token.type in ("RBRACE", "RSQB"):
        return f"a comma before {error.token} is not allowed"
    return f"unexpected {str(error.token)[:40]} at column {error.column}"


class _Builder:
    """Converts the syntax tree to plain values and records the lines of keys."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.lines_by_path: dict[KeyPath, int] = {}
        self.problems: list[LocatedProblem] = []

    def build(self, node: Tree | Token, path: KeyPath) -> Any:
        """Return the value of the node at a path."""
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
        try:
            value = json.loads(token)
        except ValueError:  # an integer of thousands of digits
            value = math.inf
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
