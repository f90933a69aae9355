"""Decisions and changes of belief, told as structured lines of the log.

The product only emits events; where a deployment wants them, whoever wires the process
sets a writer. Without one they are dropped, so that emitting costs next to nothing.
"""

from typing import Any, Protocol


class EventWriter(Protocol):
    """Takes events and writes them without ever blocking."""

    def write(self, kind: str, fields: dict[str, Any]) -> None:
        """Take one event; may drop it when there are too many."""
        ...


_writer: EventWriter | None = None


def set_writer(writer: EventWriter | None) -> None:
    """Have events written by this writer, or dropped."""
    global _writer
    _writer = writer


def emit(kind: str, **fields: Any) -> None:
    """Tell an event; kind names the decision, fields what decided it."""
    if _writer is not None:
        _writer.write(kind, fields)
