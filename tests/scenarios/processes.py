"""The processes of a scenario: started here, watched here, ended by their ids."""

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

_RANDOM = random.SystemRandom()  # not the one that a plugin seeds for each test
_reserved: list[socket.socket] = []


def free_port() -> int:
    """Return a loopback port that nothing has, reserved for as long as this runs.

    Ports of the range that the system gives to outgoing connections would be
    taken by one of those before the process that is told this one listens. The
    socket stays bound, so that another run of the tests can't draw the port; one
    that reuses addresses, as all servers here do, can still listen at it.
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
    """One process; its output goes to a log file that is kept."""

    def __init__(self, name: str, module: str, arguments: list[str], folder: Path):
        self.name = name
        self.log = folder / f"{name}.log"
        self._command = [sys.executable, "-m", module, *arguments]
        self._environment: dict[str, str] = {}
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The id of the process that runs or ran last."""
        assert self._popen is not None, f"{self.name} was not started"
        return self._popen.pid

    def start(self) -> None:
        """Start it, once more if it has ended."""
        environment = os.environ | {"PYTHONPATH": str(ROOT)} | self._environment
        with self.log.open("ab") as log:
            self._popen = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal, by the process's id."""
        os.kill(self.pid, number)

    def kill(self) -> None:
        """End it at once and wait until it is gone."""
        if self._popen is None or self._popen.poll() is not None:
            return
        self.signal(signal.SIGKILL)
        self._popen.wait(KILL_TIMEOUT_S)

    def exit_code(self) -> int | None:
        """Return how it ended, None while it runs."""
        return self._popen.poll() if self._popen is not None else None

    def owns_socket(self, names: set[str]) -> bool:
        """Tell whether it has open one of the sockets with these names."""
        try:
            found = [os.readlink(f.path) for f in os.scandir(f"/proc/{self.pid}/fd")]
        except OSError:
            return False
        return not names.isdisjoint(found)


def socket_names_at_port(port: int) -> set[str]:
    """Return the names of the TCP sockets of this machine with a local port."""
    # The table has thousands of lines when much else runs here, and is read for
    # each new connection of a proxy.
    local = f":{port:04X}"
    table = Path("/proc/net/tcp").read_text()
    lines = (line.split() for line in table.splitlines() if local in line)
    return {f"socket:[{item[9]}]" for item in lines if item[1].endswith(local)}


def log_tail(process: Process, lines: int = 30) -> str:
    """Return the tail of a process's log, for the report of a failure."""
    text = process.log.read_text(errors="replace") if process.log.exists() else ""
    tail = "\n".join(text.splitlines()[-lines:])
    return f"--- {process.name} (exit code {process.exit_code()})\n{tail}"


def value_at(document: Any, path: str) -> Any:
    """Return what stands at a dotted path in a document, None when nothing does."""
    for part in path.split("."):
        if isinstance(document, list) and part.isdigit():
            document = dict(enumerate(document)).get(int(part))
        elif isinstance(document, dict):
            document = document.get(part)
        else:
            return None
    return document
