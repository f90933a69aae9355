"""Metrics in the Prometheus text exposition format."""

import re
from collections.abc import Iterator

from bitterntiller.components.metrics.client import StatsdMetrics
from bitterntiller.components.metrics.models import BOUNDS, Histogram

_UNSAFE = re.compile(r"[^a-zA-Z0-9_]")
_BOUND_STEP = 4
"""Every fourth bound is exposed, so that each is about 2.4 times the previous one."""


def render(metrics: StatsdMetrics, prefix: str) -> bytes:
    """Return all metrics since the start of the process; durations are in seconds."""
    lines: list[str] = []
    for name, value in sorted(metrics.counts_by_name.items()):
        full = _name(prefix, name, "_total")
        lines += [f"# TYPE {full} counter", f"{full} {value}"]
    for name, value in sorted(metrics.gauges_by_name.items()):
        full = _name(prefix, name)
        lines += [f"# TYPE {full} gauge", f"{full} {value}"]
    for name, histogram in sorted(metrics.timers_by_name.items()):
        lines += _histogram(_name(prefix, name, "_seconds"), histogram)
    return ("\n".join(lines) + "\n").encode()


def _histogram(name: str, histogram: Histogram) -> Iterator[str]:
    yield f"# TYPE {name} histogram"
    cumulative = histogram.cumulative()
    for index in range(_BOUND_STEP - 1, len(BOUNDS), _BOUND_STEP):
        yield f'{name}_bucket{{le="{BOUNDS[index]:.6g}"}} {cumulative[index]}'
    yield f'{name}_bucket{{le="+Inf"}} {cumulative[-1]}'
    yield f"{name}_sum {histogram.total:.6f}"
    yield f"{name}_count {cumulative[-1]}"


def _name(prefix: str, name: str, suffix: str = "") -> str:
    return f"{prefix}_{_UNSAFE.sub('_', name)}{suffix}"
