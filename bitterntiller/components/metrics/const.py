"""Limits, paths and names of the metrics component."""

DEFAULT_PREFIX = "bitterntiller"
FLUSH_PERIOD = 1.0
MAX_DATAGRAM_BYTES = 1400
MAX_NAMES = 5000
MAX_UNSENT_TIMINGS = 10000

PATH_METRICS = "/metrics"
PATH_STATE = "/state"

METRIC_DROPPED_METRICS = "metrics.dropped"
