"""The regular flush of the metrics."""

import curio

from bitterntiller.components.metrics import const
from bitterntiller.components.metrics.client import StatsdMetrics


async def async_flush_regularly(metrics: StatsdMetrics) -> None:
    """Flush once per period until cancelled, then close."""
    try:
        while True:
            await curio.sleep(const.FLUSH_PERIOD)
            metrics.flush()
    finally:
        metrics.close()
