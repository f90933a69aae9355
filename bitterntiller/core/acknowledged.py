"""Up to which number each of several receivers has acknowledged a series."""

MAX_RECEIVERS = 16
"""Receivers that are remembered; one that was forgotten is sent the whole series again.
Owners of pools and counting hosts are few, and a new one comes with each restart."""


class AcknowledgedPositions:
    """The number of the last item that each receiver has acknowledged."""

    def __init__(self) -> None:
        self._position_by_receiver: dict[str, int] = {}

    def position(self, receiver: str) -> int:
        """Return the number up to which a receiver has acknowledged, 0 for none."""
        return self._position_by_receiver.get(receiver, 0)

    def record(self, receiver: str, upto: int) -> None:
        """Note that a receiver has acknowledged all up to a number."""
        self._position_by_receiver[receiver] = upto
        while len(self._position_by_receiver) > MAX_RECEIVERS:
            oldest = next(iter(self._position_by_receiver))
            self._position_by_receiver.pop(oldest)
