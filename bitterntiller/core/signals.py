"""Operating system signals as events of the curio loop."""

import signal
import socket

import curio


class SignalReceiver:
    """Receives the given signals while it is open.

    The interpreter writes each signal number to a socket that the loop reads, so that
    no code of the process runs inside a signal handler.
    """

    def __init__(self, *numbers: signal.Signals) -> None:
        self._numbers = numbers
        self._handlers_by_number: dict[signal.Signals, object] = {}

    async def __aenter__(self) -> "SignalReceiver":
        reading, self._writing = socket.socketpair()
        self._writing.setblocking(False)
        self._reading = curio.io.Socket(reading)
        self._fd_before = signal.set_wakeup_fd(self._writing.fileno())
        for number in self._numbers:
            before = signal.signal(number, lambda *_: None)
            self._handlers_by_number[number] = before
        return self

    async def __aexit__(self, *_error: object) -> None:
        signal.set_wakeup_fd(self._fd_before)
        for number, handler in self._handlers_by_number.items():
            signal.signal(number, handler)
        await self._reading.close()
        self._writing.close()

    async def async_get(self) -> int:
        """Wait for the next signal and return its number."""
        while True:
            data = await self._reading.recv(1)
            if data and data[0] in self._numbers:
                return data[0]
