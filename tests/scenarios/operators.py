"""Operators that change and read the configuration beside a scenario."""

import hashlib
import http.client
import json
import socket
import time
from collections.abc import Callable
from typing import Any

from tests.scenarios.background import TASK_TIMEOUT_S, BackgroundTask

SendRequest = Callable[..., tuple[int, Any, dict[str, str]]]
"""Type of Deployment.send_request."""

DECIDED_STATUSES = (200, 409, 422)
PAUSE_S = 0.05


class ChangeRequest:
    """A configuration change; each copy has the same id, base version and document.

    responses holds the status and version of each decided response.
    """

    def __init__(self, change_id: str, base: int, config: dict[str, Any]) -> None:
        self.change_id = change_id
        self.base = base
        self.config = config
        self.responses: list[tuple[int, int]] = []

    @property
    def headers(self) -> dict[str, str]:
        """The request headers without the authorization."""
        return {"If-Match": f'"{self.base}"', "Idempotency-Key": self.change_id}

    def send(self, send_request: SendRequest, port: int) -> int:
        """Send the change once and return the status, 0 without a response."""
        status, body, _ = send_request(
            port, "PUT", "/v1/config", self.config, self.headers
        )
        if status in DECIDED_STATUSES:
            self.responses.append((status, body["version"] if status == 200 else 0))
        return status

    def send_until_decided(self, send_request: SendRequest, ports: list[int]) -> None:
        """Send the change to the ports in turn until it is decided."""
        until = time.monotonic() + TASK_TIMEOUT_S
        count = 0
        while (
            self.send(send_request, ports[count % len(ports)]) not in DECIDED_STATUSES
        ):
            count += 1
            if time.monotonic() > until:
                raise TimeoutError(f"{self.change_id} is not decided")
            time.sleep(PAUSE_S)

    def send_and_disconnect(self, port: int) -> None:
        """Send the change and close the connection before a response can arrive.

        A host that the next step of a scenario kills may refuse or break the connection
        meanwhile; then there is no response either, and the change is sent again later.
        """
        connection = http.client.HTTPConnection("127.0.0.1", port, 5.0)
        fields = {"Authorization": "Bearer operator-key", **self.headers}
        body = json.dumps(self.config)
        try:
            connection.request("PUT", "/v1/config", body, fields)
        except ConnectionError:
            return
        assert connection.sock is not None
        connection.sock.shutdown(socket.SHUT_RDWR)
        connection.close()

    @property
    def is_consistent(self) -> bool:
        """Whether the change was decided, with the same result in all responses."""
        return len(set(self.responses)) == 1


class ChangeSeries(BackgroundTask):
    """An operator that makes a series of changes, each adding a workspace."""

    def __init__(
        self,
        send_request: SendRequest,
        ports: list[int],
        name: str,
        count: int,
        pause: float,
    ) -> None:
        super().__init__()
        self._send_request = send_request
        self._ports = ports
        self._name = name
        self._count = count
        self._pause = pause
        self.puts: list[ChangeRequest] = []
        self.start([self._run])

    def _run(self) -> None:
        version, config = self._read()
        for number in range(self._count):
            if self.stopping:
                return
            name = f"{self._name}-{number}"
            token = hashlib.sha256(name.encode()).hexdigest()
            added = {"token_sha256": [token], "tier": "gold", "services": []}
            workspaces = config["workspaces"] | {name: added}
            config = config | {"workspaces": workspaces}
            put = ChangeRequest(name, version, config)
            self.puts.append(put)
            put.send_until_decided(
                self._send_request, self._ports[number % len(self._ports) :]
            )
            version = put.responses[-1][1]
            time.sleep(self._pause)

    def _read(self) -> tuple[int, dict[str, Any]]:
        for port in self._ports:
            status, body, _ = self._send_request(port, "GET", "/v1/config")
            if status == 200:
                return body["version"], body["config"]
        raise TimeoutError("no host returned the configuration")

    def resend(self, ports: list[int]) -> None:
        """Send every change once more, newest first."""
        for number, put in enumerate(reversed(self.puts)):
            put.send_until_decided(
                self._send_request, ports[number % len(ports) :] + ports
            )

    @property
    def accepted(self) -> int:
        """Number of accepted changes."""
        return sum(
            bool(put.responses) and put.responses[0][0] == 200 for put in self.puts
        )

    @property
    def steady(self) -> bool:
        """Whether each change has a single outcome."""
        return all(put.is_consistent for put in self.puts)

    @property
    def consecutive(self) -> bool:
        """Whether the versions of the accepted changes have no gaps."""
        found = [put.responses[0][1] for put in self.puts if put.responses[0][0] == 200]
        return found == list(range(found[0], found[0] + len(found)))

    @property
    def kept(self) -> bool:
        """Whether the configuration contains all accepted changes."""
        names = {put.change_id for put in self.puts if put.responses[0][0] == 200}
        return names <= self._read()[1]["workspaces"].keys()


class ConcurrentChanges(BackgroundTask):
    """Two operators that change the same base version at two hosts.

    Both send after the same delay in seconds. Unless reads_response, each disconnects
    before its first response.
    """

    def __init__(
        self,
        send_request: SendRequest,
        ports: list[int],
        name: str,
        after: float,
        reads_response: bool,
    ) -> None:
        super().__init__()
        self._after = after
        self._reads_response = reads_response
        self._send_request = send_request
        status, body, _ = send_request(ports[0], "GET", "/v1/config")
        assert status == 200, f"status {status}"
        self._puts = [
            ChangeRequest(
                f"{name}-{port}", body["version"], self._changed(body["config"], port)
            )
            for port in ports
        ]
        pairs = zip(self._puts, ports, strict=True)
        self.start([lambda put=p, port=q: self._run(put, port) for p, q in pairs])

    def _run(self, put: ChangeRequest, port: int) -> None:
        time.sleep(self._after)
        if self._reads_response:
            put.send(self._send_request, port)
        else:
            put.send_and_disconnect(port)

    def _changed(self, config: dict[str, Any], number: int) -> dict[str, Any]:
        gold = config["tiers"]["gold"] | {"deadline_ms": number}
        return config | {"tiers": config["tiers"] | {"gold": gold}}

    def resend(self, ports: list[int]) -> None:
        """Send both changes again to each host."""
        for port in ports:
            for put in self._puts:
                put.send_until_decided(self._send_request, [port, *ports])

    @property
    def winners(self) -> int:
        """Number of changes accepted in any response."""
        return sum(any(h[0] == 200 for h in put.responses) for put in self._puts)

    @property
    def conflicts(self) -> int:
        """Number of changes with a conflict in any response."""
        return sum(any(h[0] == 409 for h in put.responses) for put in self._puts)

    @property
    def steady(self) -> bool:
        """Whether each change has a single outcome."""
        return all(put.is_consistent for put in self._puts)


class ConfigRead(BackgroundTask):
    """One read of the configuration; a frozen host may respond to it later."""

    def __init__(self, send_request: SendRequest, port: int) -> None:
        super().__init__()
        self._send_request = send_request
        self._port = port
        self.status = 0
        self.version = 0
        self.start([self._run])

    def _run(self) -> None:
        self.status, body, _ = self._send_request(self._port, "GET", "/v1/config")
        if self.status == 200:
            self.version = body["version"]


class VersionWatch(BackgroundTask):
    """Polls the configuration version of a host."""

    def __init__(self, send_request: SendRequest, port: int) -> None:
        super().__init__()
        self._send_request = send_request
        self._port = port
        self.versions: list[int] = []
        self.start([self._run])

    def _run(self) -> None:
        while not self.stopping:
            _, body, _ = self._send_request(self._port, "GET", "/v1/state")
            if isinstance(body, dict):
                version = body["components"]["node"]["config_version"]
                if version > 0:
                    self.versions.append(version)
            time.sleep(PAUSE_S)

    @property
    def falls(self) -> int:
        """Number of times the version decreased."""
        pairs = zip(self.versions, self.versions[1:], strict=False)
        return sum(later < earlier for earlier, later in pairs)
