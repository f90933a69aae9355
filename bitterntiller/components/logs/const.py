"""Names and bounds of structured log lines."""

STDOUT = 1

ATTR_TIME = "time"
ATTR_HOST = "host"
ATTR_KIND = "event"
ATTR_SEQUENCE = "n"

KIND_DROPPED = "lines-dropped"
KIND_RECORD = "record"

FLUSH_PERIOD = 0.25
"""Seconds between two writings of what has gathered; each costs one system call."""

LINES_PER_SECOND = 200
"""Lines of one kind a second, averaged over BURST_SECONDS.

An entry host serves some tens of requests a second with two or three lines of a kind
for each; a storm of one kind then can't drown the others, nor fill a disk by the hour.
"""

BURST_SECONDS = 2.0

MAX_BUFFERED_BYTES = 256 * 1024
"""Bytes that wait for a reader of standard output that does not keep up."""

METRIC_DROPPED = "logs.dropped"
METRIC_BYTES = "logs.bytes"
