"""Structured log lines: bounded, and never waited for."""

import json
import os

import pytest

from bitterntiller.components.logs import const
from bitterntiller.components.logs.coordinator import LineWriter
from bitterntiller.core.clock import ManualClock
from tests.components.entry.fakes import FakeMetrics


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


def read(fd: int) -> list[dict]:
    try:
        data = os.read(fd, 1 << 22)
    except BlockingIOError:
        return []
    return [json.loads(line) for line in data.splitlines()]


def test_each_event_is_one_line_with_its_host_and_number(pipe):
    writer = LineWriter("bole-1", ManualClock(), FakeMetrics(), pipe[1])
    writer.write("sent", {"request": "r1", "left": 1.5})
    writer.write("ended", {"request": "r1", "odd": {1, 2}})
    writer.flush()
    first, second = read(pipe[0])
    assert (first["event"], first["host"], first["n"]) == ("sent", "bole-1", 1)
    assert (first["request"], first["left"]) == ("r1", 1.5)
    assert second["n"] == 2


def test_storm_of_one_kind_is_cut_and_counted(pipe):
    """A fault that repeats drowns the lines that explain it."""
    clock = ManualClock()
    writer = LineWriter("bole-1", clock, FakeMetrics(), pipe[1])
    for number in range(5000):
        writer.write("storm", {"number": number})
    writer.write("rare", {})
    writer.flush()
    lines = read(pipe[0])
    kinds = [line["event"] for line in lines]
    allowed = int(const.LINES_PER_SECOND * const.BURST_SECONDS)
    assert kinds.count("storm") == allowed
    assert kinds.count("rare") == 1
    assert lines[-1]["by_kind"] == {"storm": 5000 - allowed}
    clock.advance(1.0)
    writer.write("storm", {})
    writer.flush()
    assert [line["event"] for line in read(pipe[0])] == ["storm"]


def test_reader_that_has_stopped_blocks_nobody(pipe):
    """A host stops serving because nobody reads its standard output."""
    clock = ManualClock()
    metrics = FakeMetrics()
    writer = LineWriter("bole-1", clock, metrics, pipe[1])
    for _ in range(100):
        clock.advance(10.0)
        for _ in range(300):
            writer.write("sent", {"text": "x" * 200})
        writer.flush()
    assert metrics.counts[const.METRIC_DROPPED] > 0
    kept = sum(len(line) for line in writer._lines)
    assert kept <= 2 * const.MAX_BUFFERED_BYTES
    while read_some(pipe[0]):
        writer.flush()
    writer.write("after", {})
    writer.flush()
    assert read_some(pipe[0]).endswith(b'"event":"after"}\n')


def read_some(fd: int) -> bytes:
    try:
        return os.read(fd, 1 << 22)
    except BlockingIOError:
        return b""


def test_closed_standard_output_ends_nothing(pipe):
    reading, writing = os.pipe()
    os.close(reading)
    writer = LineWriter("bole-1", ManualClock(), FakeMetrics(), writing)
    writer.write("sent", {})
    writer.flush()
    os.close(writing)
