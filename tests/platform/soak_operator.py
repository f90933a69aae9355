"""An operator of the platform who changes the configuration, and a single call."""

import random
import threading
import time
import uuid
from typing import NamedTuple

from bitterntiller_platform.wire import PATH_CONFIGURATION

from tests.platform.builders import KEY
from tests.platform.callers import HOST
from tests.platform.processes import ENTRY_PORT, ask
from tests.platform.soak_fleet import TILES, SoakFleet, configuration

OK = 200
POLL_SECONDS = 0.2
BAD_VERSIONS_AHEAD = 1000
"""How much higher the version of an invalid configuration is than the newest."""


class Acknowledged(NamedTuple):
    """A version of the configuration, and when control acknowledged or returned it."""

    at: float
    version: int


class Operator:
    """Changes the configuration, and reads it all the time."""

    def __init__(self, fleet: SoakFleet) -> None:
        self.acknowledged: list[Acknowledged] = [
            Acknowledged(time.monotonic(), fleet.version)
        ]
        self.read: list[Acknowledged] = []
        self.accepted_badly = 0
        self._fleet = fleet
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._poll, daemon=True)
        self._thread.start()

    def change(self, until: float, move: bool = False) -> None:
        """Send a new configuration until it is acknowledged or time is up.

        With move, the route of MOVING leads to its other service in it.
        """
        with self._lock:
            self._fleet.moved ^= move
            self._fleet.version += random.randint(1, 5)
            version = self._fleet.version
            body = configuration(version, bool(version % 2), self._fleet.moved)
            while time.monotonic() < until:
                status, _ = self._fleet.order("PUT", PATH_CONFIGURATION, body)
                if status == OK:
                    self.acknowledged.append(Acknowledged(time.monotonic(), version))
                    return
                time.sleep(POLL_SECONDS)

    def change_badly(self) -> None:
        """Send a configuration that must not be accepted."""
        with self._lock:
            body = configuration(self._fleet.version + BAD_VERSIONS_AHEAD, extra=False)
            body["route_table"][0]["service"] = "none"
            status, _ = self._fleet.order("PUT", PATH_CONFIGURATION, body)
            self.accepted_badly += status == OK

    def stop(self) -> None:
        """Stop reading."""
        self._stopped.set()
        self._thread.join()

    def _poll(self) -> None:
        while not self._stopped.wait(POLL_SECONDS):
            at = time.monotonic()
            status, found = self._fleet.order("GET", PATH_CONFIGURATION)
            if status == OK and isinstance(found, dict):
                self.read.append(Acknowledged(at, found["version"]))


def call_tile(ip: str) -> int:
    """Send a call that may be repeated; return its status."""
    headers = {
        "Host": HOST,
        "Authorization": f"Token {KEY}",
        "X-Attempt-Id": uuid.uuid4().hex,
        "X-Deadline-Ms": "2500",
    }
    return ask(ip, "GET", f"{TILES}1", None, headers, ENTRY_PORT)[0]
