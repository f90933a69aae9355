from bitterntiller.core.memory import HeldBytes, MemoryHolders, resident_bytes
from tests.components.control.builders import CountingMetrics


class GaugeMetrics(CountingMetrics):
    def __init__(self):
        super().__init__()
        self.gauges_by_name = {}

    def gauge(self, name, value):
        self.gauges_by_name[name] = value


def test_most_bytes_of_a_part_stay_after_it_has_shrunk():
    held = [5, 9, 2]
    holders = MemoryHolders()
    holders.add("log", lambda: held[0], 10)
    holders.measure()
    held.pop(0)
    holders.measure()
    held.pop(0)
    assert holders.measure() == {"log": HeldBytes(2, 9, 10)}


def test_parts_and_the_process_are_reported_as_gauges():
    metrics = GaugeMetrics()
    holders = MemoryHolders()
    holders.add("log", lambda: 7)
    holders.report(metrics)
    assert metrics.gauges_by_name["memory.held.log"] == 7
    assert metrics.gauges_by_name["memory.most.log"] == 7
    assert metrics.gauges_by_name["memory.resident"] > 1024 * 1024


def test_resident_size_grows_with_what_the_process_holds():
    before = resident_bytes()
    held = bytearray(32 * 1024 * 1024)
    held[::4096] = b"x" * len(held[::4096])
    assert resident_bytes() - before > 16 * 1024 * 1024
