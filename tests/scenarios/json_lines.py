"""Reads files of JSON lines while another process appends to them."""

import json
from pathlib import Path
from typing import Any


def read_json_lines(path: Path) -> list[dict[str, Any]]:
    """Return the documents of all whole lines, none if the file does not exist.

    A write that crosses a page of the file can be seen in part by a reader, so a last
    line without its line feed is still being written.
    """
    if not path.exists():
        return []
    whole, _, _ = path.read_bytes().rpartition(b"\n")
    return [json.loads(line) for line in whole.splitlines()]
