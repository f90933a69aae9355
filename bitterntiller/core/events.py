"""Events for structured logging: decisions and state changes.

The product only emits events. A deployment that wants them sets a writer when it sets
up the process; without one, events are dropped at almost no cost.
"""

from typing import Any, Protocol


class EventWriter(Protocol):
    """Writes events without blocking."""

    def write(self, kind: str, fields: dict[str, Any]) -> None:
        """Write one event; it may be dropped if there are too many."""
        ...


_writer: EventWriter | None = None


def set_writer(writer: EventWriter | None) -> None:
    """Set the writer of all events; None drops them."""
    global _writer
    _writer = writer


def emit(kind: str, **fields: Any) -> None:
    """Emit an event; kind names the decision, fields give its inputs."""
    if _writer is not None:
        _writer.write(kind, fields)
