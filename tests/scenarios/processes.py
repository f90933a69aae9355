"""Processes of a scenario: start, observe and signal them by process id."""

import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
KILL_TIMEOUT_S = 5.0
PORTS = (12_000, 32_000)

_RANDOM = (
    random.SystemRandom()
)  # not the global generator, which a plugin seeds for each test
_reserved: list[socket.socket] = []


def free_port() -> int:
    """Return a free loopback port, reserved until this process exits.

    It lies below the ephemeral range: an outgoing connection could take a port of that
    range before the started process listens on it. The socket stays bound, so that a
    concurrent test run can't get the same port; servers that set SO_REUSEADDR, as all
    servers here do, can still listen on it.
    """
    while True:
        port = _RANDOM.randrange(*PORTS)
        sock = socket.socket()
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            sock.close()
            continue
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reserved.append(sock)
        return port


class Process:
    """A process that writes to files, which survive its restarts.

    log gets what it writes to standard error, events what it writes to standard output.
    """

    def __init__(self, name: str, module: str, arguments: list[str], folder: Path):
        self.name = name
        self.log = folder / f"{name}.log"
        self.events = folder / f"{name}.events"
        self.command = [sys.executable, "-m", module, *arguments]
        self._environment: dict[str, str] = {}
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The id of the current or last process."""
        assert self._popen is not None, f"{self.name} was not started"
        return self._popen.pid

    def start(self) -> None:
        """Start the process, or restart it after it ended."""
        environment = os.environ | {"PYTHONPATH": str(ROOT)} | self._environment
        with self.log.open("ab") as log, self.events.open("ab") as events:
            self._popen = subprocess.Popen(
                self.command, cwd=ROOT, env=environment, stdout=events, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        os.kill(self.pid, number)

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        if self._popen is None or self._popen.poll() is not None:
            return
        self.signal(signal.SIGKILL)
        self._popen.wait(KILL_TIMEOUT_S)

    def exit_code(self) -> int | None:
        """Return the exit code, None while the process runs."""
        return self._popen.poll() if self._popen is not None else None

    def owns_socket(self, names: set[str]) -> bool:
        """Return whether the process has one of the named sockets open."""
        try:
            found = [os.readlink(f.path) for f in os.scandir(f"/proc/{self.pid}/fd")]
        except OSError:
            return False
        return not names.isdisjoint(found)


def socket_names_between(local: int, remote: int) -> set[str]:
    """Return the /proc names of TCP sockets with a local port and a remote one.

    The local port alone doesn't tell connections apart: the kernel gives it to several
    of them, as long as they lead elsewhere.
    """
    # The table has thousands of lines on a busy machine, and is read for each new
    # connection of a proxy, so lines are filtered by text before they are split.
    ends = (f":{local:04X}", f":{remote:04X}")
    table = Path("/proc/net/tcp").read_text()
    lines = (line.split() for line in table.splitlines() if ends[0] in line)
    return {
        f"socket:[{item[9]}]"
        for item in lines
        if item[1].endswith(ends[0]) and item[2].endswith(ends[1])
    }


def log_tail(process: Process, lines: int = 30) -> str:
    """Return the last lines of a process's log, for the report of a failure."""
    text = process.log.read_text(errors="replace") if process.log.exists() else ""
    tail = "\n".join(text.splitlines()[-lines:])
    return f"--- {process.name} (exit code {process.exit_code()})\n{tail}"


def value_at(document: Any, path: str) -> Any:
    """Return the value at a dotted path in a JSON document, None if there is none."""
    for part in path.split("."):
        if isinstance(document, list) and part.isdigit():
            document = dict(enumerate(document)).get(int(part))
        elif isinstance(document, dict):
            document = document.get(part)
        else:
            return None
    return document
