"""Hosts and upstreams of a scenario, and requests to them."""

import http.client
import json
import uuid
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Self

from tests.scenarios import builders
from tests.scenarios.cut_paths import write_cut
from tests.scenarios.json_lines import read_json_lines
from tests.scenarios.processes import Process, free_port, log_tail, socket_names_between
from tests.scenarios.proxy import Proxy

DAEMON = "bitterntiller.cli.daemon"
RUN_WITH_CUTS = "tests.scenarios.run_with_cuts"
ASK_TIMEOUT_S = 5.0


class Host:
    """One bitterntillerd process and its ports."""

    def __init__(self, name: str, options: dict[str, str]) -> None:
        self.name = name
        self.roles = options.pop("roles", "entry,dispatch").split(",")
        self.options = options
        self.ports = {k: free_port() for k in ("caller", "internal", "operator")}
        self.process: Process | None = None
        self.proxy: Proxy | None = None

    @property
    def advertised_port(self) -> int:
        """The internal port that other hosts connect to: that of a proxy, if any."""
        return self.proxy.port if self.proxy else self.ports["internal"]


class Upstream:
    """One stand-in upstream and its ports."""

    def __init__(self, name: str, kind: str, service: str) -> None:
        self.name = name
        self.kind = kind
        self.service = service
        self.port = free_port()
        self.control_port = free_port()
        self.process: Process | None = None


class Deployment:
    """All processes of a scenario; leaving the context kills them."""

    def __init__(self, folder: Path, **timings: float) -> None:
        self.folder = folder
        self._timings = builders.TIMINGS | timings
        self.configured = False
        self.hosts_by_name: dict[str, Host] = {}
        self.upstreams_by_name: dict[str, Upstream] = {}
        self._stack = ExitStack()
        builders.write_keys(folder)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *details: object) -> None:
        self._stack.close()

    def process(self, name: str) -> Process:
        """Return the process of a host or an upstream."""
        found = self.hosts_by_name.get(name) or self.upstreams_by_name[name]
        assert found.process is not None, f"{name} was not started"
        return found.process

    def add_host(self, name: str, options: dict[str, str], proxied: bool) -> None:
        """Add a host without starting it."""
        host = Host(name, options)
        self.hosts_by_name[name] = host
        if proxied:
            host.proxy = Proxy(host.ports["internal"], self._find_host)
            self._stack.callback(host.proxy.close)

    def start_host(self, name: str) -> None:
        """Start or restart a host's process."""
        host = self.hosts_by_name[name]
        if host.process is None:
            path = self.folder / f"{name}.json"
            path.write_text(json.dumps(self._settings(host), indent=1))
            arguments = [str(self._cut_file(name)), DAEMON, "--settings", str(path)]
            host.process = Process(name, RUN_WITH_CUTS, arguments, self.folder)
            self._stack.callback(host.process.kill)
        host.process.start()

    def start_upstream(self, kind: str, name: str, options: dict[str, str]) -> None:
        """Start a stand-in with command-line options by name."""
        service = options.pop("service", "llm" if kind == "engine" else "registry")
        upstream = Upstream(name, kind, service)
        entry_hosts = [h.ports["caller"] for h in self.hosts_by_name.values()]
        fixed = {
            "listen": f"127.0.0.1:{upstream.port}",
            "control": f"127.0.0.1:{upstream.control_port}",
            "name": name,
            "service": service,
            "announce": ",".join(f"127.0.0.1:{port}" for port in entry_hosts),
            "key-file": str(self.folder / "upstream.key"),
            "record": str(self.record_path(name)),
        }
        arguments = [f"--{key}={value}" for key, value in (fixed | options).items()]
        upstream.process = Process(name, f"standins.{kind}", arguments, self.folder)
        self.upstreams_by_name[name] = upstream
        self._stack.callback(upstream.process.kill)
        upstream.process.start()

    def record_path(self, name: str) -> Path:
        """Return the record file of a stand-in."""
        return self.folder / f"{name}.record"

    def records(self, kind: str) -> list[dict[str, Any]]:
        """Return all records of a kind, of all stand-ins."""
        paths = map(self.record_path, self.upstreams_by_name)
        records = [record for path in paths for record in read_json_lines(path)]
        return [record for record in records if record["kind"] == kind]

    def set_cut(self, one: str, other: str, cut: bool) -> None:
        """Cut or heal the connections between two hosts."""
        for name, peer in ((one, other), (other, one)):
            proxy = self.hosts_by_name[name].proxy
            assert proxy is not None, f"{name} is not behind a proxy"
            proxy.set_cut(peer, cut)

    def cut_upstreams(self, name: str, mode: str, upstreams: list[str]) -> None:
        """Cut a host's paths to some upstreams, all if none is named."""
        chosen = upstreams or list(self.upstreams_by_name)
        ports = [self.upstreams_by_name[upstream].port for upstream in chosen]
        write_cut(self._cut_file(name), mode, ports)

    def heal_upstreams(self, name: str) -> None:
        """End the cut of a host's paths to upstreams."""
        self._cut_file(name).unlink()

    def _cut_file(self, name: str) -> Path:
        return self.folder / f"{name}.cut"

    def set_faults(self, name: str, document: dict[str, Any]) -> None:
        """Set the faults of a stand-in; all others are reset."""
        port = self.upstreams_by_name[name].control_port
        status, body, _ = self.send_request(port, "POST", "/v1/faults", document)
        assert status == 200, body

    def apply(self, host: str, config: dict[str, Any]) -> int:
        """Apply a configuration at a host's operator port and return the status."""
        port = self.hosts_by_name[host].ports["operator"]
        status, body, headers = self.send_request(port, "GET", "/v1/config")
        if status != 200:
            return status
        match = {"If-Match": headers.get("etag", f'"{body.get("version", 0)}"')}
        key = {"Idempotency-Key": uuid.uuid4().hex}
        put_status = self.send_request(port, "PUT", "/v1/config", config, match | key)[
            0
        ]
        self.configured = self.configured or put_status == 200
        return put_status

    def is_ready(self, name: str) -> bool:
        """Return whether a host is ready and has a configuration once one was applied.

        A host is ready without a configuration, and receives the first one with its
        next heartbeat.
        """
        ports = self.hosts_by_name[name].ports
        if self.send_request(ports["caller"], "GET", "/readyz")[0] != 200:
            return False
        if not self.configured:
            return True
        status, state, _ = self.send_request(ports["operator"], "GET", "/v1/state")
        return status == 200 and state["components"]["node"]["config_version"] > 0

    def send_request(
        self,
        port: int,
        method: str,
        target: str,
        document: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, Any, dict[str, str]]:
        """Send a request with the operator key; return status, JSON and headers.

        The status is 0 without a response.
        """
        connection = http.client.HTTPConnection("127.0.0.1", port, ASK_TIMEOUT_S)
        body = None if document is None else json.dumps(document)
        fields = {"Authorization": "Bearer operator-key", **(headers or {})}
        try:
            connection.request(method, target, body, fields)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException):
            return 0, None, {}
        finally:
            connection.close()
        try:
            parsed = json.loads(data)
        except ValueError:
            parsed = data.decode(errors="replace")
        return response.status, parsed, {k.lower(): v for k, v in response.getheaders()}

    def log_tails(self) -> str:
        """Return the last lines of all logs."""
        names = [*self.hosts_by_name, *self.upstreams_by_name]
        found = [self.hosts_by_name.get(n) or self.upstreams_by_name[n] for n in names]
        return "\n".join(log_tail(f.process) for f in found if f.process)

    def _find_host(self, local: int, remote: int) -> str:
        """Return the host that connects from a port to another, empty for none."""
        sockets = socket_names_between(local, remote)
        for name, host in self.hosts_by_name.items():
            if host.process is not None and host.process.owns_socket(sockets):
                return name
        return ""

    def _settings(self, host: Host) -> dict[str, Any]:
        replicas = [h for h in self.hosts_by_name.values() if "control" in h.roles]
        control = [replica.advertised_port for replica in replicas]
        changes: dict[str, Any] = {"roles": host.roles, "timings": self._timings}
        if "control" in host.roles:
            changes["data_folder"] = f"data-{host.name}"
        value = builders.settings_value(host.name, host.ports, control, **changes)
        value["control"]["bootstrap"] = [r.name for r in replicas if not r.options]
        if host.proxy is not None:
            value["listen"]["advertised"] = f"127.0.0.1:{host.proxy.port}"
        return value
