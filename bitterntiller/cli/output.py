"""Format output as JSON, tables and indented trees."""

import json
import sys
from collections.abc import Callable, Iterator, Sequence
from typing import Any


def print_json(value: Any) -> None:
    """Print a value as JSON on standard output."""
    print(json.dumps(value, indent=2))


def print_value(value: Any, as_json: bool, describe: Callable[[Any], str]) -> None:
    """Print a value as JSON, or as text formatted by describe."""
    if as_json:
        print_json(value)
    else:
        print(describe(value))


def print_error(text: str) -> None:
    """Print a line on standard error."""
    print(text, file=sys.stderr)


def format_table(head: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return a table with a header row; columns are as wide as their longest cell."""
    lines = [tuple(head), *(tuple(map(_format_scalar, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(_join(line, widths) for line in lines)


def _join(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return "  ".join(padded).rstrip()


def _format_scalar(value: Any) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def format_tree(value: Any, indent: str = "") -> str:
    """Return a JSON value as an indented tree, one scalar per line."""
    return "\n".join(_tree_lines(value, indent))


def _tree_lines(value: Any, indent: str) -> Iterator[str]:
    if isinstance(value, dict):
        pairs = list(value.items())
    elif isinstance(value, list):
        pairs = [("", item) for item in value]
    else:
        yield indent + _format_scalar(value)
        return
    for key, item in pairs:
        head = f"{indent}{key}:" if key else f"{indent}-"
        if isinstance(item, dict | list) and item:
            yield head
            yield from _tree_lines(item, indent + "  ")
        else:
            shown = "none" if isinstance(item, dict | list) else _format_scalar(item)
            yield f"{head} {shown}"
