"""Keys and limits of structured log lines."""

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
"""Seconds between writes of buffered lines."""

MAX_WRITE_BYTES = select.PIPE_BUF
"""Bytes of one write, which contains only complete lines.

A pipe accepts this many bytes atomically, so that a collector that reads in blocks gets
complete lines. One collector kept only 8 KB of each write of 30 KB, which lost two
thirds of an owner's lines.
"""

REQUEST_LINES_PER_SECOND = 400
"""Lines about requests that a host writes, averaged over one or two seconds.

A pool owner would write 1000 or more. Above the limit only a sample of the requests is
logged, with all of their lines. The sample depends on a hash of the request id, so that
it is the same on all hosts.
"""

MAX_HALVINGS = 10
"""Limit of the sampling: at least 0.5 ** MAX_HALVINGS of the requests are logged."""

SAMPLE_SECONDS = 1.0
"""Seconds for which lines are counted before the sample changes."""

LINES_PER_SECOND = 200
"""Lines per second of each event kind, averaged over BURST_SECONDS.

This applies to lines without a request id. It keeps a burst of one kind from crowding
out the others and from filling a disk within hours.
"""

BURST_SECONDS = 2.0

MAX_BUFFERED_BYTES = 256 * 1024
"""Bytes that are buffered for a slow reader of standard output."""

METRIC_DROPPED = "logs.dropped"
METRIC_LEFT_OUT = "logs.left_out"
METRIC_BYTES = "logs.bytes"
