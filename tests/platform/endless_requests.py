"""A process of callers that send bytes without end and read nothing.

The process keeps some connections of each kind open at each host, and ends after a
time. Standard output gets a JSON line for each connection: kind, host and seconds that
it was open.
"""

import argparse
import itertools
import json
import os
import socket
import sys
import threading
import time
from typing import NamedTuple

from tests.platform.endless_bytes import Request, request_pieces
from tests.platform.endless_engine import send_until_closed
from tests.platform.processes import ENTRY_PORT

CONNECT_TIMEOUT = 1.0
PAUSE_SECONDS = 0.1
"""Time before a caller whose connection was closed opens the next one."""


class Arguments(NamedTuple):
    """The command line: connections is how many there are at each host."""

    ips: tuple[str, ...]
    kinds: tuple[Request, ...]
    connections: int
    slow: bool
    seconds: float

    def to_list(self) -> list[str]:
        """Return the arguments as they stand on the command line."""
        return [
            f"--ips={','.join(self.ips)}",
            f"--kinds={','.join(self.kinds)}",
            f"--connections={self.connections}",
            f"--seconds={self.seconds}",
            *(["--slow"] if self.slow else []),
        ]


def parse_arguments(words: list[str]) -> Arguments:
    """Return the arguments of a command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ips", required=True)
    parser.add_argument("--kinds", required=True)
    parser.add_argument("--connections", required=True, type=int)
    parser.add_argument("--seconds", required=True, type=float)
    parser.add_argument("--slow", action="store_true")
    found = vars(parser.parse_args(words))
    found["ips"] = tuple(found["ips"].split(","))
    found["kinds"] = tuple(map(Request, found["kinds"].split(",")))
    return Arguments(**found)


class Sender(threading.Thread):
    """Keeps one connection to a host open, and sends on it."""

    def __init__(self, ip: str, kind: Request, slow: bool) -> None:
        super().__init__(daemon=True)
        self._ip = ip
        self._kind = kind
        self._slow = slow
        self._opened: float | None = None

    def run(self) -> None:
        """Open one connection after another."""
        while True:
            address = (self._ip, ENTRY_PORT)
            try:
                connection = socket.create_connection(address, CONNECT_TIMEOUT)
            except OSError:
                time.sleep(PAUSE_SECONDS)
                continue
            with connection:
                connection.settimeout(None)
                self._opened = time.monotonic()
                pieces = request_pieces(self._kind, self._slow)
                send_until_closed(connection, pieces, self._slow)
                self.report()
            time.sleep(PAUSE_SECONDS)

    def report(self) -> None:
        """Report the connection that was or is open, if there is one."""
        opened, self._opened = self._opened, None
        if opened is not None:
            line = json.dumps([self._kind, self._ip, time.monotonic() - opened])
            os.write(sys.stdout.fileno(), line.encode() + b"\n")


def main() -> None:
    """Run the callers of the command line."""
    arguments = parse_arguments(sys.argv[1:])
    kinds = itertools.islice(itertools.cycle(arguments.kinds), arguments.connections)
    senders = [
        Sender(ip, kind, arguments.slow) for kind in kinds for ip in arguments.ips
    ]
    for sender in senders:
        sender.start()
    time.sleep(arguments.seconds)
    for sender in senders:
        sender.report()


if __name__ == "__main__":
    main()
