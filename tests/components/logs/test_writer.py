"""Tests of structured log lines."""

import json
import os
import select

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


def test_burst_of_one_kind_is_limited_and_counted(pipe):
    """A repeating event must not crowd out lines of other kinds."""
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


def test_stopped_reader_does_not_block_the_writer(pipe):
    """A host must keep serving if nobody reads its standard output."""
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


def test_closed_standard_output_raises_no_error(pipe):
    reading, writing = os.pipe()
    os.close(reading)
    writer = LineWriter("bole-1", ManualClock(), FakeMetrics(), writing)
    writer.write("sent", {})
    writer.flush()
    os.close(writing)


def test_each_write_is_complete_lines_within_the_atomic_size_of_a_pipe(
    pipe, monkeypatch
):
    """A write must not exceed what a pipe accepts atomically.

    A busy owner wrote the lines of a quarter of a second at once, about 30 KB. The log
    collector kept 8 KB of each write, so that two thirds of the lines were missing and
    some were truncated.
    """
    writings = []
    write = os.write

    def kept(fd: int, data: bytes) -> int:
        writings.append(data)
        return write(fd, data)

    monkeypatch.setattr(os, "write", kept)
    writer = LineWriter("bole-1", ManualClock(), FakeMetrics(), pipe[1])
    for number in range(100):
        writer.write("sent", {"request": f"r{number}", "text": "x" * 300})
    writer.flush()
    assert len(read(pipe[0])) == 100
    assert max(len(data) for data in writings) <= select.PIPE_BUF
    assert all(data.endswith(b"\n") for data in writings)
    assert len(writings) <= 1.2 * sum(map(len, writings)) / select.PIPE_BUF + 1


def flushed(writer: LineWriter, fd: int) -> list[dict]:
    """Flush a writer until empty, since a pipe holds only a part; return the lines."""
    lines = []
    writer.flush()
    while more := read(fd):
        lines += more
        writer.flush()
    return lines


def logged_requests(pipe, requests: int, seconds: int) -> set[str]:
    """Return the requests of the last second that a host logs at a rate of requests."""
    clock = ManualClock()
    writer = LineWriter("bole-1", clock, FakeMetrics(), pipe[1])
    lines = []
    for second in range(seconds):
        for number in range(requests):
            writer.write("granted", {"request": f"r{second}-{number}"})
        clock.advance(1.0)
        lines += flushed(writer, pipe[0])
    last = f"r{seconds - 1}-"
    requests = [line["request"] for line in lines if line["event"] == "granted"]
    return {request for request in requests if request.startswith(last)}


def test_busy_host_logs_a_sample_of_requests_with_all_their_lines(pipe):
    """All hosts must log the same sample of the requests.

    An owner handles more requests per second than it may log. If each host dropped
    other lines, the logs of most requests would be incomplete.
    """
    all_of_them = logged_requests(pipe, const.REQUEST_LINES_PER_SECOND // 2, 4)
    many = logged_requests(pipe, 4 * const.REQUEST_LINES_PER_SECOND, 4)
    more = logged_requests(pipe, 16 * const.REQUEST_LINES_PER_SECOND, 4)
    assert len(all_of_them) == const.REQUEST_LINES_PER_SECOND // 2
    assert 0.5 <= len(many) / const.REQUEST_LINES_PER_SECOND <= 1.2
    shared = {request for request in more if request in many}
    assert shared == {
        request
        for request in more
        if int(request.partition("-")[2]) < 4 * const.REQUEST_LINES_PER_SECOND
    }


def test_change_of_the_sample_is_logged(pipe):
    clock = ManualClock()
    metrics = FakeMetrics()
    writer = LineWriter("bole-1", clock, metrics, pipe[1])
    for _ in range(4 * const.REQUEST_LINES_PER_SECOND):
        writer.write("granted", {"request": "r1"})
    clock.advance(1.0)
    assert flushed(writer, pipe[0])[-1]["part"] == 0.25
    for _ in range(2):
        clock.advance(1.0)
        writer.flush()
    assert [line["part"] for line in read(pipe[0])] == [1.0]
