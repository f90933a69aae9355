"""Names and bounds of structured log lines."""

import select

STDOUT = 1

ATTR_TIME = "time"
ATTR_HOST = "host"
ATTR_KIND = "event"
ATTR_SEQUENCE = "n"
ATTR_REQUEST = "request"

KIND_DROPPED = "lines-dropped"
KIND_RECORD = "record"
KIND_SAMPLING = "sampling"

FLUSH_PERIOD = 0.25
"""Seconds between two writings of what has gathered."""

MAX_WRITE_BYTES = select.PIPE_BUF
"""Bytes of one writing, which has whole lines only. A pipe takes as much at once or not
at all, and whoever reads it by blocks gets the lines whole: of writings of 30 KB each a
collector was seen to keep 8 KB, which lost two thirds of an owner's lines."""

REQUEST_LINES_PER_SECOND = 400
"""Lines about requests that a host writes, averaged over a second or two; an owner of a
pool would write a thousand and more. Above it only a sample of the requests is told,
with all of their lines: the same one on all hosts, by a hash of their ids."""

MAX_HALVINGS = 10
"""The least part of the requests that is told, as halvings."""

SAMPLE_SECONDS = 1.0
"""How long lines are counted before the sample changes."""

LINES_PER_SECOND = 200
"""Lines of one kind a second, averaged over BURST_SECONDS, that name no request.

A storm of one kind then can't drown the others, nor fill a disk by the hour.
"""

BURST_SECONDS = 2.0

MAX_BUFFERED_BYTES = 256 * 1024
"""Bytes that wait for a reader of standard output that does not keep up."""

METRIC_DROPPED = "logs.dropped"
METRIC_LEFT_OUT = "logs.left_out"
METRIC_BYTES = "logs.bytes"
