"""The last acknowledged number of a numbered series, for each receiver."""

MAX_RECEIVERS = 16
"""Receivers that are stored; one that was dropped is sent the whole series again.

Pool owners and counting hosts are few, but each restart adds a receiver.
"""


class AcknowledgedPositions:
    """The number of the last item that each receiver has acknowledged."""

    def __init__(self) -> None:
        self._position_by_receiver: dict[str, int] = {}

    def position(self, receiver: str) -> int:
        """Return the last number that a receiver acknowledged, 0 for none."""
        return self._position_by_receiver.get(receiver, 0)

    def record(self, receiver: str, upto: int) -> None:
        """Record that a receiver acknowledged all items up to a number."""
        self._position_by_receiver[receiver] = upto
        while len(self._position_by_receiver) > MAX_RECEIVERS:
            oldest = next(iter(self._position_by_receiver))
            self._position_by_receiver.pop(oldest)
