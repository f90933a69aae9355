"""Tests of reading files of JSON lines."""

import json
from pathlib import Path

import pytest

from tests.scenarios.json_lines import read_json_lines


def test_a_line_that_is_being_written_is_not_read(tmp_path: Path) -> None:
    path = tmp_path / "e1.record"
    lines = [json.dumps({"kind": "run", "number": number}) for number in range(2)]
    data = "".join(line + "\n" for line in lines).encode()
    found = []
    for size in range(len(data) + 1):
        path.write_bytes(data[:size])
        found.append(len(read_json_lines(path)))
    first = len(lines[0]) + 1
    assert found == [0] * first + [1] * (len(data) - first) + [2]


def test_a_file_that_does_not_exist_has_no_lines(tmp_path: Path) -> None:
    assert read_json_lines(tmp_path / "none.record") == []


def test_a_whole_line_that_is_not_json_is_an_error(tmp_path: Path) -> None:
    path = tmp_path / "e1.record"
    path.write_bytes(b'{"kind": "run"\n{"kind": "done"}\n')
    with pytest.raises(json.JSONDecodeError):
        read_json_lines(path)
