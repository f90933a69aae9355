"""How far each of several listeners has been told a numbered series."""

MOST_LISTENERS = 16
"""Listeners that are remembered; one that was forgotten is told the whole series again.
Owners of pools and counting hosts are few, and a new one comes with each restart."""


class AcknowledgedPositions:
    """The number of the last item that each listener has surely heard."""

    def __init__(self) -> None:
        self._upto_by_listener: dict[str, int] = {}

    def upto(self, listener: str) -> int:
        """Return the number up to which a listener has been told, 0 for none."""
        return self._upto_by_listener.get(listener, 0)

    def note(self, listener: str, upto: int) -> None:
        """Note that a listener has answered for all up to a number."""
        self._upto_by_listener[listener] = upto
        while len(self._upto_by_listener) > MOST_LISTENERS:
            oldest = next(iter(self._upto_by_listener))
            self._upto_by_listener.pop(oldest)
