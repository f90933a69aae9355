"""The product's own processes on loopback addresses, started as the platform does.

The commands are those of deploy/system.toml. Each host has a loopback address of its
own, so that the ports are the same on all hosts, as on the platform.
"""

import http.client
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from typing import Any, Self

ROOT = Path(__file__).resolve().parents[2]
CONTROL_PORT = 8229
FRONT_PORT = 8221
READY_PORT = 8224
METRICS_PORT = 9464
INTERNAL_PORT = 7600
ENGINE_PORT = 8486
PATIENCE = 25.0
EXIT_ENDED = 143

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_slack_ms": 250,
    "max_skew_ms": 5000,
    "strict_revoke": "true",
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 52,
    "quota_window_s": 8,
    "quota_overage": 0.1,
    "quota_tolerance": 140000,
    "recovery_s": 12,
    "event_delay_ms": 120,
    "reuse_window_s": 10,
}
"""The bounds of the site zaf-canopy."""

CONTRACTS = "base,drain,config,cost,retry,recover,engine,stream,tenants,quota"


class CannotRunError(Exception):
    """Raised where the case can't be set up; the script exits with 2."""


class Record:
    """record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line."""
        with self._lock:
            at = time.monotonic() - self._began
            self._file.write(f"{at:8.3f}  {text}\n")
            self._file.flush()


def _free_subnet() -> str:
    """Return the first three bytes of loopback addresses whose ports are free."""
    rng = random.SystemRandom()
    ports = (CONTROL_PORT, FRONT_PORT, READY_PORT, INTERNAL_PORT, METRICS_PORT)
    for _ in range(50):
        subnet = f"127.{rng.randrange(1, 255)}.{rng.randrange(256)}"
        try:
            for number in (1, 9, 100):
                for port in (*ports, ENGINE_PORT):
                    with socket.socket() as sock:
                        sock.bind((f"{subnet}.{number}", port))
        except OSError:
            continue
        return subnet
    raise CannotRunError("no free loopback addresses")


class Host:
    """One process of the product: its settings file, its folder and its pid."""

    def __init__(self, fleet: "Fleet", name: str, ip: str, role: str) -> None:
        self.name = name
        self.ip = ip
        self.role = role
        self._fleet = fleet
        self._folder = fleet.folder / name
        self._folder.mkdir()
        self._settings = self._folder / "boot.conf"
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def log(self) -> Path:
        """The file of what the process writes."""
        return self._folder / "log"

    def start(self, bootstrap: bool = False) -> None:
        """Start the process with the command of the deploy file."""
        self._settings.write_text(self._fleet.settings(self, bootstrap))
        command = shlex.split(self._fleet.commands[self.role])
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["BITTERNTILLER_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self._popen = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def data_dir(self) -> Path:
        """The folder on the host's disk."""
        return self._folder / "data"

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self._popen is not None
        self._popen.send_signal(number)

    def wait(self, seconds: float) -> int | None:
        """Return the exit code, None if the process runs on."""
        assert self._popen is not None
        try:
            return self._popen.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def exit_code(self) -> int | None:
        """Return the exit code, None while the process runs."""
        return None if self._popen is None else self._popen.poll()

    def kill(self) -> None:
        """End the process at once."""
        if self._popen is None or self._popen.poll() is not None:
            return
        self._popen.send_signal(signal.SIGCONT)
        self._popen.kill()
        self._popen.wait(5)


class Fleet:
    """Hosts of control and entry hosts; all are ended on exit."""

    def __init__(
        self,
        controls: int = 3,
        entries: int = 1,
        contracts: str = CONTRACTS,
        limits: dict[str, Any] | None = None,
        heartbeat_ms: int = 1200,
    ) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.commands = {name: role["run"] for name, role in deploy["roles"].items()}
        self.subnet = _free_subnet()
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.heartbeat_ms = heartbeat_ms
        self._contracts = contracts
        self._limits = limits or {}
        self.controls = [
            Host(self, f"core-{n}", f"{self.subnet}.{n}", "control")
            for n in range(1, controls + 1)
        ]
        self.entries = [
            Host(self, f"edge-{n}", f"{self.subnet}.{8 + n}", "entry")
            for n in range(1, entries + 1)
        ]

    def __enter__(self) -> Self:
        # Ended by a signal, the script ends its processes too.
        for number in (signal.SIGTERM, signal.SIGHUP):
            signal.signal(number, lambda *_: sys.exit(EXIT_ENDED))
        try:
            for host in (*self.controls, *self.entries):
                host.start(bootstrap=True)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *details: object) -> None:
        for host in (*self.controls, *self.entries):
            host.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            target = Path(keep)
            target.mkdir(parents=True, exist_ok=True)
            for host in (*self.controls, *self.entries):
                if host.log.exists():
                    (target / f"{host.name}.log").write_bytes(host.log.read_bytes())
        self._temporary.cleanup()

    def settings(self, host: Host, bootstrap: bool) -> str:
        """Return the settings file of a host, in the platform's format."""
        is_control = host.role == "control"
        seeds = [f"{item.ip}:{CONTROL_PORT}" for item in self.controls[:3]]
        lines: dict[str, Any] = {
            "node_name": host.name,
            "role": host.role,
            "machine_class": "core" if is_control else "edge",
            "serves": "control" if is_control else "edge",
            "ip": host.ip,
            "zone": "bole",
            "region": "addis",
            "zones.bole": "addis",
            "port_range": f"{INTERNAL_PORT},{INTERNAL_PORT + 15}",
            "seed_nodes": ",".join(seeds),
            "bootstrap": str(bootstrap).lower(),
            "failure_counted": str(is_control).lower(),
            "limits.cpu_fraction": 0.537,
            "limits.cpu_cores": 2,
            "limits.memory_mb": 300,
            "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0,
            "limits.disk_mb": 128 if is_control else 0,
            "discovery": "registration",
            "entrypoint": "virtual_ip",
            "heartbeat_ms": self.heartbeat_ms,
            "contracts": self._contracts,
            "fault_tolerance.machines": (len(self.controls) - 1) // 2,
            "fault_tolerance.zones": 0,
            "fault_tolerance.regions": 0,
            "config_mode": "highest",
        }
        lines |= {f"bounds.{key}": value for key, value in BOUNDS.items()}
        lines |= self._limits
        if is_control:
            host.data_dir.mkdir(exist_ok=True)
            lines["listen_addrs.control_plane"] = f"{host.ip}:{CONTROL_PORT}"
            lines["data_dir"] = str(host.data_dir)
        else:
            lines["listen_addrs.front_addr"] = f"{host.ip}:{FRONT_PORT}"
            lines["listen_addrs.ready"] = f"{host.ip}:{READY_PORT}"
        return "".join(f"{key}={value}\n" for key, value in lines.items())

    def order(self, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
        """Call the hosts of control in turn until one gives a clear response."""
        found = (0, b"")
        for host in self.controls:
            found = call(host.ip, CONTROL_PORT, method, path, body, timeout=1.5)
            if 0 < found[0] < 500:
                break
        return found

    def configure(self, document: dict[str, Any]) -> None:
        """Send a configuration until it is acknowledged."""
        self.until(
            lambda: self.order("PUT", "/-/config", document)[0] == 200, "configuration"
        )

    def wait_ready(self) -> None:
        """Wait until all entry hosts say that they are ready."""
        for host in self.entries:
            self.until(
                lambda ip=host.ip: (
                    call(ip, READY_PORT, "GET", "/-/readyz", timeout=1.0)[0] == 200
                ),
                f"{host.name} ready",
            )

    def until(self, condition: Any, what: str) -> None:
        """Wait until a condition holds; raise CannotRunError after PATIENCE seconds."""
        until = time.monotonic() + PATIENCE
        while not condition():
            if time.monotonic() >= until:
                raise CannotRunError(f"not in time: {what}")
            time.sleep(0.05)

    def ended(self) -> list[str]:
        """Return the hosts whose processes have ended."""
        hosts = (*self.controls, *self.entries)
        return [host.name for host in hosts if host.exit_code() is not None]


def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, bytes]:
    """Return status and body of a response on a new connection; 0 without one."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    data = body if isinstance(body, bytes) or body is None else json.dumps(body)
    try:
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict:
    """Return a route of a configuration."""
    return {
        "name": name,
        "hostname": "trees.example",
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "session_affinity": False,
        "stream_resume": False,
        **more,
    }


KEY = "i9n73hh2b9wu3fexd9dn"


def configuration(
    version: int, routes: list[dict], services: list[dict], **more: Any
) -> dict:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "route_table": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
        **more,
    }


def plain_service(name: str) -> dict:
    """Return a plain service of a configuration."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 96,
        "protocol": "h1",
        "tls": False,
    }


def engine_service(name: str) -> dict:
    """Return a service of model engines of a configuration."""
    engine = {
        "batch_slots": 11,
        "kv_capacity": 609264,
        "kv_token_bytes": 18432,
        "link_mbps": 88000.0,
        "stride": 5,
        "model_list": [{"name": "m"}],
    }
    return {**plain_service(name), "max_connections": 360, "engine_id": engine}
