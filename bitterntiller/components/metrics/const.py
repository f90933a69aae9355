"""Bounds on what is kept of the metrics, and the metrics about them."""

DEFAULT_PREFIX = "bitterntiller"
FLUSH_PERIOD = 1.0
MAX_DATAGRAM_BYTES = 1400
MAX_NAMES = 5000
MAX_UNSENT_TIMINGS = 10000

PATH_METRICS = "/metrics"
PATH_STATE = "/state"

METRIC_DROPPED_METRICS = "metrics.dropped"
