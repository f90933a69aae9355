"""The metrics' section of the state dump."""

from bitterntiller.components.metrics.client import StatsdMetrics
from bitterntiller.core.interfaces import Diagnostics


def make_diagnostics(metrics: StatsdMetrics) -> Diagnostics:
    """Return the diagnostics of these metrics."""
    return metrics.snapshot
