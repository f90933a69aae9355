"""Processes of the platform on loopback addresses, with simulated engines."""

import http.client
import json
import random
import shutil
import signal
import sys
import threading
import time
import uuid
from contextlib import ExitStack
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, Self

from bitterntiller_platform.wire import SETTINGS_VARIABLE

from tests.platform.builders import KEY, document, route
from tests.scenarios.processes import ROOT, Process

# Not the global generator: a plugin seeds that one for each test.
_RANDOM = random.SystemRandom()

SUBNET = f"127.{_RANDOM.randrange(1, 255)}.{_RANDOM.randrange(256)}"
"""Loopback addresses of this test run; the ports of the platform are fixed."""

CONTROL_IPS = (f"{SUBNET}.1", f"{SUBNET}.2", f"{SUBNET}.3")
ENTRY_IP = f"{SUBNET}.9"
CONTROL_PORT = 8229
ENTRY_PORT = 8221
ENGINE_PORT = 8486
SERVICE = "map"
HEALTH_PATH = "/healthz"
BEAT_SECONDS = 0.3
ASK_TIMEOUT = 3.0
PATIENCE = 20.0


class _EngineServer(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that break: hosts are killed on purpose."""


class Engine:
    """An engine of one version; fails is the fraction of requests that it fails."""

    service = SERVICE
    slots = 4

    def __init__(self, name: str, ip: str, version: str, fails: float) -> None:
        self.name = name
        self.version = version
        self.fails = fails
        self.state = "ready"
        self.runs: list[float] = []
        self.checks = 0
        self.bodies_by_request: dict[str, bytes] = {}
        self.requests: list[str] = []
        self.request_times: list[float] = []
        self._ip = ip
        self._stopped = threading.Event()
        engine = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                engine.respond(self)

            def do_POST(self) -> None:
                engine.respond(self)

            def log_message(self, format: str, *args: Any) -> None:
                pass

        self._server = _EngineServer((ip, ENGINE_PORT), Handler)
        for target in (self._server.serve_forever, self._beat):
            threading.Thread(target=target, daemon=True).start()

    def respond(self, handler: BaseHTTPRequestHandler) -> None:
        """Respond to a request as engines of the platform do."""
        if handler.path == HEALTH_PATH:
            self.respond_to_check(handler)
            return
        length = int(handler.headers.get("Content-Length", 0))
        body = handler.rfile.read(length)
        self.runs.append(time.monotonic())
        self.record_request(handler.headers["X-Attempt-Id"])
        self.bodies_by_request[handler.headers["X-Attempt-Id"]] = body
        time.sleep(0.05)
        failed = random.random() < self.fails
        handler.send_response(500 if failed else 200)
        handler.send_header("X-Attempt-Id", handler.headers["X-Attempt-Id"])
        handler.send_header("X-Engine-Signature", "signed")
        handler.send_header("Content-Length", "4")
        handler.end_headers()
        handler.wfile.write(b"tile")

    def drain(self) -> None:
        """Announce that the engine leaves."""
        self.state = "draining"

    def may_announce(self) -> bool:
        """Whether it announces itself at present."""
        return True

    def record_request(self, request_id: str) -> None:
        """Record a request that has arrived to be run."""
        self.requests.append(request_id)
        self.request_times.append(time.monotonic())

    def requests_since(self, at: float) -> int:
        """Return how many requests arrived since a time of the monotonic clock."""
        return sum(found >= at for found in self.request_times)

    def respond_to_check(self, handler: BaseHTTPRequestHandler) -> None:
        """Respond to a health check."""
        self.checks += 1
        handler.send_response(200)
        handler.send_header("X-Instance-Id", self.name)
        handler.send_header("Content-Length", "0")
        handler.end_headers()

    @property
    def ended(self) -> bool:
        """Whether the engine was closed; responses in progress may still look."""
        return self._stopped.is_set()

    def close(self) -> None:
        """Stop at once without draining."""
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def _changing(self, sequence: int) -> dict[str, Any]:
        return {"state": self.state, "version": self.version, "seq": sequence}

    def _beat(self) -> None:
        body = {
            "service": self.service,
            "address": f"{self._ip}:{ENGINE_PORT}",
            "zone": "bole",
            "batch_slots": self.slots,
            "cold_remaining_ms": 0,
        }
        sequence = 0
        while not self._stopped.wait(BEAT_SECONDS):
            if not self.may_announce():
                continue
            sequence += 1
            for ip in CONTROL_IPS:
                path = f"/-/instances/{self.name}"
                if ask(ip, "PUT", path, body | self._changing(sequence))[0] == 200:
                    break


class PlatformProcess(Process):
    """A process of the platform, with its settings file in the environment.

    tree is the folder of the code that it runs.
    """

    def __init__(
        self, name: str, settings: Path, folder: Path, tree: Path = ROOT
    ) -> None:
        super().__init__(name, "", [], folder)
        self.events = self.log
        self.command = [sys.executable, str(tree / "platform/start.py")]
        self._environment = {
            SETTINGS_VARIABLE: str(settings),
            "PYTHONPATH": str(tree),
        }


class Fleet:
    """Control hosts and entry hosts, which are killed on exit."""

    contracts = "base,config,rollout"
    tree = ROOT

    def __init__(
        self,
        folder: Path,
        control_ips: tuple[str, ...] = CONTROL_IPS,
        entry_ips: tuple[str, ...] = (ENTRY_IP,),
        configuration: dict[str, Any] | None = None,
    ) -> None:
        self.control_ips = control_ips
        self.entry_ips = entry_ips
        self.seeds = CONTROL_IPS
        self._configuration = configuration or _configuration()
        self._folder = folder
        self._stack = ExitStack()
        self._calling = threading.Event()
        self._lock = threading.Lock()
        self.calls: list[tuple[float, int]] = []
        self.process_by_ip: dict[str, Process] = {}

    def __enter__(self) -> Self:
        with ExitStack() as failed:
            failed.callback(self.stop)
            self.start(self.entry_ips + self.control_ips)
            self.configure()
            failed.pop_all()
        return self

    def start(self, ips: tuple[str, ...]) -> None:
        """Start the processes of some hosts for the first time."""
        for ip in ips:
            path = self._settings_path(ip)
            path.write_text(self._settings(ip, bootstrap=True))
            self._data_folder(ip).mkdir()
            process = self._process(ip, path)
            self._stack.callback(process.kill)
            process.start()
            self.process_by_ip[ip] = process

    def _process(self, ip: str, settings: Path) -> Process:
        return PlatformProcess(ip, settings, self._folder, self.tree)

    def configure(self) -> None:
        """Apply the configuration, as soon as a control host accepts it."""
        self.until(
            lambda: self.order("PUT", "/-/config", self._configuration)[0] == 200
        )

    def __exit__(self, *details: object) -> None:
        self.stop()

    def stop(self) -> None:
        """End the calls and kill all processes."""
        self._calling.clear()
        self._stack.close()

    def restart_all(self, lost_disks: tuple[str, ...] = ()) -> None:
        """Kill all processes at one moment and start them again at once.

        The hosts in lost_disks start with an empty data folder.
        """
        for process in self.process_by_ip.values():
            process.signal(signal.SIGKILL)
        for ip, process in self.process_by_ip.items():
            process.kill()
            self._settings_path(ip).write_text(self._settings(ip, bootstrap=False))
            if ip in lost_disks:
                shutil.rmtree(self._data_folder(ip))
                self._data_folder(ip).mkdir()
        for process in self.process_by_ip.values():
            process.start()

    def restart(self, ip: str) -> None:
        """Kill a process and start it again at once, not for the first time."""
        self.process_by_ip[ip].kill()
        self._settings_path(ip).write_text(self._settings(ip, bootstrap=False))
        self.process_by_ip[ip].start()

    def engine(self, name: str, number: int, version: str, fails: float = 0) -> Engine:
        """Start an engine on its own address."""
        made = Engine(name, f"{SUBNET}.{100 + number}", version, fails)
        self.own(made)
        return made

    def own(self, engine: Engine) -> None:
        """Close an engine on exit."""
        self._stack.callback(engine.close)

    def order(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Call the control hosts in turn until one responds without a server error."""
        found = (0, None)
        for ip in self.control_ips:
            found = ask(ip, method, path, body)
            if 0 < found[0] < 500:
                break
        return found

    def call(self, threads: int) -> None:
        """Send requests in a loop from several threads until the context exits."""
        self._calling.set()
        for _ in range(threads):
            threading.Thread(target=self._call, daemon=True).start()

    def _call(self) -> None:
        while self._calling.is_set():
            headers = {
                "Host": "trees.example",
                "Authorization": f"Token {KEY}",
                "X-Attempt-Id": uuid.uuid4().hex,
                "X-Deadline-Ms": "3000",
            }
            at = time.monotonic()
            ip = self.entry_ips[0]
            status, _ = ask(ip, "GET", "/tiles/1", None, headers, ENTRY_PORT)
            with self._lock:
                self.calls.append((at, status))
            time.sleep(0.02)

    def until(self, condition: Any) -> None:
        """Wait until a condition holds; raise AssertionError after PATIENCE seconds."""
        until = time.monotonic() + PATIENCE
        while not condition():
            assert time.monotonic() < until, "not in time"
            time.sleep(0.05)

    def _data_folder(self, ip: str) -> Path:
        return self._folder / f"data-{ip}"

    def _settings_path(self, ip: str) -> Path:
        return self._folder / f"{ip}.conf"

    def _settings(self, ip: str, bootstrap: bool) -> str:
        is_control = ip in self.control_ips
        name = ip.replace(".", "-")
        lines = {
            "node_name": name,
            "ip": ip,
            "zone": "bole",
            "region": "addis",
            "port_range": "7600,7615",
            "seed_nodes": ",".join(f"{item}:{CONTROL_PORT}" for item in self.seeds),
            "bootstrap": str(bootstrap).lower(),
            "serves": "control" if is_control else "edge",
            "heartbeat_ms": int(BEAT_SECONDS * 1000),
            "contracts": self.contracts,
            "fault_tolerance.machines": len(self.control_ips) // 2,
            "bounds.exposure_fraction": 0.1,
            "bounds.exposure_tolerance": 50,
            "bounds.config_apply_ms": 2500,
            "bounds.revoke_ms": 5000,
            "limits.memory_mb": 200,
            "limits.max_fds": 4096,
        }
        if is_control:
            lines["listen_addrs.control_plane"] = f"{ip}:{CONTROL_PORT}"
            lines["data_dir"] = str(self._data_folder(ip))
        else:
            lines["listen_addrs.front_addr"] = f"{ip}:{ENTRY_PORT}"
            lines["listen_addrs.ready"] = f"{ip}:8224"
        return "".join(f"{key}={value}\n" for key, value in lines.items())


def ask(
    ip: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    port: int = CONTROL_PORT,
    timeout: float = ASK_TIMEOUT,
) -> tuple[int, Any]:
    """Return status and JSON of a response; status 0 if there is none.

    A body of bytes is sent as it is, any other one as JSON.
    """
    connection = http.client.HTTPConnection(ip, port, timeout)
    data = body if body is None or isinstance(body, bytes) else json.dumps(body)
    try:
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        text = response.read()
    except (OSError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()
    try:
        return response.status, json.loads(text)
    except ValueError:
        return response.status, None


def _configuration() -> dict[str, Any]:
    tiles = route(
        name="r-2", path_prefix="/tiles/", route_kind="idempotent", service=SERVICE
    )
    return document(tiles)
