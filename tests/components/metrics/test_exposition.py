"""Tests of the text exposition format."""

from bitterntiller.components.metrics.client import StatsdMetrics
from bitterntiller.components.metrics.exposition import render


def test_counters_gauges_and_histograms():
    metrics = StatsdMetrics(None, "x")
    metrics.count("entry.refused.gold.shed", 3)
    metrics.gauge("node.lease.valid", 1)
    for seconds in (0.01, 0.02, 4.0):
        metrics.timing("entry.queue_wait.gold", seconds)
    lines = render(metrics, "b").decode().splitlines()
    assert "b_entry_refused_gold_shed_total 3" in lines
    assert "b_node_lease_valid 1" in lines
    assert "b_entry_queue_wait_gold_seconds_count 3" in lines
    assert "b_entry_queue_wait_gold_seconds_sum 4.030000" in lines
    buckets = [line for line in lines if "_bucket" in line]
    counts = [int(line.split()[-1]) for line in buckets]
    assert counts == sorted(counts)
    assert counts[-1] == 3
    assert 2 in counts
