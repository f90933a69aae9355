import socket

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitterntiller.components.metrics import const
from bitterntiller.components.metrics.client import StatsdMetrics, metric_name
from bitterntiller.components.metrics.coordinator import async_flush_regularly
from bitterntiller.components.metrics.models import BOUNDS, Histogram
from bitterntiller.components.settings.models import Address


@pytest.fixture
def server():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        yield server


def metrics_to(server):
    return StatsdMetrics(Address(*server.getsockname()), "b")


def test_counts_are_summed_and_sent_once(server):
    metrics = metrics_to(server)
    metrics.count("requests", 2)
    metrics.count("requests")
    metrics.timing("queue_wait", 0.25)
    metrics.gauge("connections", 7)
    metrics.flush()
    assert server.recv(2000) == (
        b"b.requests:3|c\nb.queue_wait:250.000000|ms\nb.connections:7|g"
    )
    metrics.close()
    assert server.recv(2000) == b"b.connections:7|g"
    assert metrics.snapshot()["counters"] == {"requests": 3}


def test_datagrams_stay_within_their_limit(server):
    metrics = metrics_to(server)
    for index in range(200):
        metrics.count(f"requests.{index}")
    metrics.flush()
    received = 0
    while received < 200:
        data = server.recv(5000)
        assert len(data) <= const.MAX_DATAGRAM_BYTES
        received += data.count(b"|c")


def test_flush_does_not_block_on_a_full_buffer(monkeypatch):
    """A flush must not block if the send buffer is full.

    With a stalled network, sendto() would block the only thread of the process and with
    it all requests of the host.
    """
    metrics = StatsdMetrics(Address("127.0.0.1", 9), "b")
    sends = []

    class FullSocket:
        def sendto(self, data, flags, address):
            sends.append(flags)
            raise BlockingIOError

        def close(self):
            pass

    metrics._client._sock.close()
    monkeypatch.setattr(metrics._client, "_sock", FullSocket())
    metrics.count("requests")
    metrics.flush()
    metrics.close()
    assert sends == [socket.MSG_DONTWAIT]


def test_names_and_unsent_timings_are_bounded(monkeypatch):
    monkeypatch.setattr(const, "MAX_NAMES", 3)
    monkeypatch.setattr(const, "MAX_UNSENT_TIMINGS", 2)
    metrics = StatsdMetrics(Address("127.0.0.1", 9), "b")
    for index in range(5):
        metrics.count(f"c{index}")
        metrics.gauge(f"g{index}", 1)
        metrics.timing("t", 0.1)
    found = metrics.snapshot()
    metrics.close()
    lost = 2 + 2 + 3  # counters, gauges, timings not sent
    expected = {"c0": 1, "c1": 1, "c2": 1, const.METRIC_DROPPED_METRICS: lost}
    assert found["counters"] == expected
    assert list(found["gauges"]) == ["g0", "g1", "g2"]
    assert found["timers"]["t"]["count"] == 5


def test_name_parts_with_special_characters_are_escaped():
    name = metric_name("requests", "canopy.llm", "a:1|c\nb", "done")
    assert name == "requests.canopy_llm.a_1_c_b.done"


@given(st.lists(st.floats(0, BOUNDS[-1]), min_size=1, max_size=50))
def test_quantile_is_at_most_a_quarter_too_high(durations):
    histogram = Histogram()
    for seconds in durations:
        histogram.add(seconds)
    durations.sort()
    true = durations[(len(durations) - 1) // 2]
    assert true <= histogram.quantile(0.5) <= max(true * 1.2501, BOUNDS[0])
    assert histogram.summary()["max"] == durations[-1]


def test_cancelling_the_task_sends_the_rest(server):
    async def async_main():
        task = await curio.spawn(async_flush_regularly(metrics))
        await curio.sleep(0)
        metrics.count("requests")
        await task.cancel()

    metrics = metrics_to(server)
    curio.run(async_main)
    assert server.recv(2000) == b"b.requests:1|c"
