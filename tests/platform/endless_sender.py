"""A process that sends bytes without end on the connections of engines.

Engines that are threads hand their connections to it, so that it is seen at once when a
host closes one, however busy the engines' own process is.
"""

import json
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

from tests.platform.endless_bytes import Response, response_pieces
from tests.platform.endless_engine import send_until_closed
from tests.platform.engine_process import is_closed
from tests.scenarios.processes import ROOT

MAX_JOB_BYTES = 4096
MAX_TIME_BYTES = 64
PAUSED, GOES_ON = b"p", b"g"
PAUSE_POLL_SECONDS = 0.01
END_SECONDS = 5.0


class Job(NamedTuple):
    """What is sent in place of the response to a request.

    Events hold the data, and their ids follow after.
    """

    kind: Response
    slow: bool
    request_id: str
    after: int
    data: str

    def pieces(self) -> Iterator[bytes]:
        """Return the pieces of the response."""
        data = self.data.encode()
        return response_pieces(
            self.kind, self.request_id, self.slow, after=self.after, data=data
        )


class Sender:
    """The process, as the engines use it."""

    def __init__(self) -> None:
        self._channel, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        with theirs:
            number = theirs.fileno()
            self._process = subprocess.Popen(
                [sys.executable, "-m", __name__, str(number)],
                cwd=ROOT,
                pass_fds=[number],
            )

    def send(
        self, job: Job, connection: socket.socket, is_paused: Callable[[], bool]
    ) -> float:
        """Send until the other side closes; return the time when it did.

        Nothing is sent while is_paused() is true.
        """
        control, theirs = socket.socketpair()
        with control:
            with theirs:
                files = [connection.fileno(), theirs.fileno()]
                socket.send_fds(self._channel, [json.dumps(job).encode()], files)
            control.settimeout(PAUSE_POLL_SECONDS)
            paused = False
            while True:
                try:
                    return float(control.recv(MAX_TIME_BYTES) or time.monotonic())
                except TimeoutError:
                    pass
                if is_paused() != paused:
                    paused = not paused
                    control.send(PAUSED if paused else GOES_ON)

    def close(self) -> None:
        """End the process."""
        self._channel.close()
        try:
            self._process.wait(END_SECONDS)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()


def _send(job: Job, files: list[int]) -> None:
    connection, control = (socket.socket(fileno=number) for number in files)
    with connection, control:
        pieces = _unpaused(job.pieces(), connection, control)
        send_until_closed(connection, pieces, job.slow)
        control.send(str(time.monotonic()).encode())


def _unpaused(
    pieces: Iterator[bytes], connection: socket.socket, control: socket.socket
) -> Iterator[bytes]:
    """Yield pieces while the engine isn't paused, until the other side closes."""
    paused = False
    for piece in pieces:
        while paused := _is_paused(control, paused):
            if is_closed(connection):
                return
            time.sleep(PAUSE_POLL_SECONDS)
        yield piece


def _is_paused(control: socket.socket, paused: bool) -> bool:
    """Return whether the engine is paused, by what it said last or was before."""
    try:
        said = control.recv(MAX_TIME_BYTES, socket.MSG_DONTWAIT)
    except BlockingIOError:
        return paused
    return said[-1:] == PAUSED


def main() -> None:
    """Send on the connections that arrive on the channel of the command line."""
    channel = socket.socket(fileno=int(sys.argv[1]))
    while True:
        data, files, *_ = socket.recv_fds(channel, MAX_JOB_BYTES, 2)
        if not data:
            return
        kind, *rest = json.loads(data)
        job = Job(Response(kind), *rest)
        threading.Thread(target=_send, args=(job, files), daemon=True).start()


if __name__ == "__main__":
    main()
