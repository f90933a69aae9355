"""When the metrics are sent."""

import curio

from bitterntiller.components.metrics import const
from bitterntiller.components.metrics.client import StatsdMetrics


async def async_flush_regularly(metrics: StatsdMetrics) -> None:
    """Flush once a period until cancelled, and close at the end."""
    try:
        while True:
            await curio.sleep(const.FLUSH_PERIOD)
            metrics.flush()
    finally:
        metrics.close()
