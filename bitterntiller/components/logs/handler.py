"""A logging handler that writes records as structured lines."""

import logging

from bitterntiller.components.logs.const import KIND_RECORD
from bitterntiller.components.logs.coordinator import LineWriter

_QUIET_LIBRARY = "curio"


class _LineHandler(logging.Handler):
    """Passes records to a writer, with the traceback as a field."""

    def __init__(self, writer: LineWriter) -> None:
        super().__init__(logging.INFO)
        self._writer = writer
        self._formatter = logging.Formatter()

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        fields = {
            "level": record.levelname.lower(),
            "text": record.getMessage(),
            "where": f"{record.module}:{record.lineno}",
        }
        if record.exc_info:
            fields["traceback"] = self._formatter.formatException(record.exc_info)
        self._writer.write(KIND_RECORD, fields)


def set_up_handler(writer: LineWriter) -> None:
    """Send all log records of this process to the writer only."""
    root = logging.getLogger()
    handler = _LineHandler(writer)
    for logger in (root, logging.getLogger("absl")):
        logger.handlers = [handler]
        logger.setLevel(logging.INFO)
    logging.getLogger("absl").propagate = False
    # curio warns if an operation completes just as its timeout expires, which is a
    # frequent and harmless race here.
    logging.getLogger(_QUIET_LIBRARY).setLevel(logging.ERROR)
