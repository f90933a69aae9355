"""Operators and callers of a scenario that go on in threads of their own."""

import hashlib
import http.client
import json
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from standins.answers import digest
from tests.scenarios import builders
from tests.scenarios.caller import Call

Ask = Callable[..., tuple[int, Any, dict[str, str]]]
"""Deployment.ask: port, method, target, document and headers to an answer."""

DECIDED = (200, 409, 422)
PATIENCE_S = 40.0
PAUSE_S = 0.05
CALL_DEADLINE_MS = "8000"


class Put:
    """One change, always sent with the same id, base version and document."""

    def __init__(self, change_id: str, base: int, config: dict[str, Any]) -> None:
        self.change_id = change_id
        self.base = base
        self.config = config
        self.heard: list[tuple[int, int]] = []

    @property
    def headers(self) -> dict[str, str]:
        """The headers of the PUT but for the key."""
        return {"If-Match": f'"{self.base}"', "Idempotency-Key": self.change_id}

    def send(self, ask: Ask, port: int) -> int:
        """Send it and note a decided answer; return the status, 0 for none."""
        status, body, _ = ask(port, "PUT", "/v1/config", self.config, self.headers)
        if status in DECIDED:
            self.heard.append((status, body["version"] if status == 200 else 0))
        return status

    def send_until_decided(self, ask: Ask, ports: list[int]) -> None:
        """Send it at one port after the other."""
        until = time.monotonic() + PATIENCE_S
        count = 0
        while self.send(ask, ports[count % len(ports)]) not in DECIDED:
            count += 1
            if time.monotonic() > until:
                raise TimeoutError(f"{self.change_id} is not decided")
            time.sleep(PAUSE_S)

    def send_unheard(self, port: int) -> None:
        """Send it and close the connection before an answer can come."""
        connection = http.client.HTTPConnection("127.0.0.1", port, 5.0)
        fields = {"Authorization": "Bearer operator-key", **self.headers}
        body = json.dumps(self.config)
        connection.request("PUT", "/v1/config", body, fields)
        assert connection.sock is not None
        connection.sock.shutdown(socket.SHUT_RDWR)
        connection.close()

    @property
    def steady(self) -> bool:
        """Whether it was decided, and all answers say the same."""
        return len(set(self.heard)) == 1


class Doing:
    """Something that runs in threads until it is through or told to stop."""

    def __init__(self) -> None:
        self.error = ""
        self.stopping = False
        self._threads: list[threading.Thread] = []

    def start(self, runs: list[Callable[[], None]]) -> None:
        """Run each in a thread."""
        for run in runs:
            thread = threading.Thread(target=self._guard, args=(run,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def _guard(self, run: Callable[[], None]) -> None:
        try:
            run()
        except Exception as error:  # told by the next expectation
            self.error = self.error or f"{type(error).__name__}: {error}"

    def stop(self) -> None:
        """Have it end, and wait until it has."""
        self.stopping = True
        for thread in self._threads:
            thread.join(PATIENCE_S)

    def find(self, what: str) -> Any:
        """Return what a scenario may expect, by name."""
        assert not self.error, self.error
        if what == "ended":
            return not any(thread.is_alive() for thread in self._threads)
        return getattr(self, what)


class Burst(Doing):
    """An operator who makes change after change, each adding a workspace."""

    def __init__(
        self, ask: Ask, ports: list[int], name: str, count: int, pause: float
    ) -> None:
        super().__init__()
        self._ask = ask
        self._ports = ports
        self._name = name
        self._count = count
        self._pause = pause
        self.puts: list[Put] = []
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
            put = Put(name, version, config)
            self.puts.append(put)
            put.send_until_decided(self._ask, self._ports[number % len(self._ports) :])
            version = put.heard[-1][1]
            time.sleep(self._pause)

    def _read(self) -> tuple[int, dict[str, Any]]:
        for port in self._ports:
            status, body, _ = self._ask(port, "GET", "/v1/config")
            if status == 200:
                return body["version"], body["config"]
        raise TimeoutError("no host tells the configuration")

    def resend(self, ports: list[int]) -> None:
        """Send every change once more, in the order from the newest."""
        for number, put in enumerate(reversed(self.puts)):
            put.send_until_decided(self._ask, ports[number % len(ports) :] + ports)

    @property
    def accepted(self) -> int:
        """How many changes were accepted."""
        return sum(bool(put.heard) and put.heard[0][0] == 200 for put in self.puts)

    @property
    def steady(self) -> bool:
        """Whether each change has one outcome."""
        return all(put.steady for put in self.puts)

    @property
    def consecutive(self) -> bool:
        """Whether the versions of the accepted changes leave none out."""
        found = [put.heard[0][1] for put in self.puts if put.heard[0][0] == 200]
        return found == list(range(found[0], found[0] + len(found)))

    @property
    def kept(self) -> bool:
        """Whether the configuration has all accepted changes."""
        names = {put.change_id for put in self.puts if put.heard[0][0] == 200}
        return names <= self._read()[1]["workspaces"].keys()


class Race(Doing):
    """Two operators with one base version.

    They send after so many seconds, and lose their first answers unless heard.
    """

    def __init__(
        self, ask: Ask, ports: list[int], name: str, after: float, heard: bool
    ) -> None:
        super().__init__()
        self._after = after
        self._heard = heard
        self._ask = ask
        status, body, _ = ask(ports[0], "GET", "/v1/config")
        assert status == 200, f"status {status}"
        self._puts = [
            Put(f"{name}-{port}", body["version"], self._changed(body["config"], port))
            for port in ports
        ]
        pairs = zip(self._puts, ports, strict=True)
        self.start([lambda put=p, port=q: self._run(put, port) for p, q in pairs])

    def _run(self, put: Put, port: int) -> None:
        time.sleep(self._after)
        if self._heard:
            put.send(self._ask, port)
        else:
            put.send_unheard(port)

    def _changed(self, config: dict[str, Any], number: int) -> dict[str, Any]:
        gold = config["tiers"]["gold"] | {"deadline_ms": number}
        return config | {"tiers": config["tiers"] | {"gold": gold}}

    def resend(self, ports: list[int]) -> None:
        """Send both changes again at each host."""
        for port in ports:
            for put in self._puts:
                put.send_until_decided(self._ask, [port, *ports])

    @property
    def winners(self) -> int:
        """How many were accepted, by any answer."""
        return sum(any(h[0] == 200 for h in put.heard) for put in self._puts)

    @property
    def conflicts(self) -> int:
        """How many heard of a conflict, by any answer."""
        return sum(any(h[0] == 409 for h in put.heard) for put in self._puts)

    @property
    def steady(self) -> bool:
        """Whether each of them always heard the same."""
        return all(put.steady for put in self._puts)


class Read(Doing):
    """One question for the configuration, which a frozen host answers later."""

    def __init__(self, ask: Ask, port: int) -> None:
        super().__init__()
        self._ask = ask
        self._port = port
        self.status = 0
        self.version = 0
        self.start([self._run])

    def _run(self) -> None:
        self.status, body, _ = self._ask(self._port, "GET", "/v1/config")
        if self.status == 200:
            self.version = body["version"]


class Watch(Doing):
    """Looks again and again at the version that a host holds."""

    def __init__(self, ask: Ask, port: int) -> None:
        super().__init__()
        self._ask = ask
        self._port = port
        self.versions: list[int] = []
        self.start([self._run])

    def _run(self) -> None:
        while not self.stopping:
            _, body, _ = self._ask(self._port, "GET", "/v1/state")
            if isinstance(body, dict):
                version = body["components"]["node"]["config_version"]
                if version > 0:
                    self.versions.append(version)
            time.sleep(PAUSE_S)

    @property
    def falls(self) -> int:
        """How often a lower version came after a higher one."""
        pairs = zip(self.versions, self.versions[1:], strict=False)
        return sum(later < earlier for earlier, later in pairs)


class Load(Doing):
    """Callers who send a plain request after the other, some at each host."""

    def __init__(
        self,
        ports: list[int],
        records: Callable[[str], list[Any]],
        name: str,
        each: int,
    ) -> None:
        super().__init__()
        self._records = records
        self._name = name
        self._lock = threading.Lock()
        self._number = 0
        self.calls: list[Call] = []
        self.start([lambda p=port: self._run(p) for port in ports for _ in range(each)])

    def _run(self, port: int) -> None:
        token = builders.TOKENS_BY_WORKSPACE["foresters"]
        headers = {
            "Authorization": f"Bearer {token}",
            "X-Deadline-Ms": CALL_DEADLINE_MS,
        }
        while not self.stopping:
            with self._lock:
                self._number += 1
                name = f"{self._name}-{self._number}"
            body = builders.request_body("/bonds", name, 0)
            call = Call(port, "POST", "/bonds", headers, body)
            call.follow()
            self.calls.append(call)
            time.sleep(PAUSE_S)

    @property
    def outcomes(self) -> dict[str, int]:
        """How many calls ended how, by outcome and reason."""
        return dict(Counter(f"{c.outcome}/{c.reason or ''}" for c in self.calls))

    @property
    def done(self) -> int:
        """How many were answered whole and truly."""
        return sum(call.whole for call in self.calls)

    @property
    def not_done(self) -> int:
        """How many were not."""
        return len(self.calls) - self.done

    @property
    def cut(self) -> int:
        """How many saw their connection break off."""
        return sum(call.cut or call.status is None for call in self.calls)

    @property
    def no_owner(self) -> int:
        """How many were refused because the pool had no owner."""
        return sum(call.reason == "no-owner" for call in self.calls)

    @property
    def unknown(self) -> int:
        """How many heard that it is not known whether they ran."""
        return sum(call.outcome == "unknown" for call in self.calls)

    @property
    def runs_of(self) -> Counter[str]:
        """How often each body ran, by its digest."""
        return Counter(record["digest"] for record in self._records("run"))

    @property
    def twice(self) -> int:
        """How many ran more than once."""
        runs = self.runs_of
        return sum(runs[digest(call.body)] > 1 for call in self.calls)

    @property
    def lies(self) -> int:
        """How many heard not-run though they ran."""
        runs = self.runs_of
        told = [call for call in self.calls if call.outcome == "not-run"]
        return sum(runs[digest(call.body)] > 0 for call in told)
