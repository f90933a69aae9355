"""Starts the project's programs by the deploy file, and plays engines and callers."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[2]
CONTROL_PORT, ENTRY_PORT, READY_PORT, ENGINE_PORT = 8229, 8221, 8224, 8486
BEAT_SECONDS = 1.2
KEY = "key-of-foresters"
HOST = "trees.example"

Message = tuple[str, dict[str, str], bytes]


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._path = path
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now():8.3f} {text}")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self) -> None:
        """Write the lines to the record's file."""
        self._path.write_text("\n".join(self.lines) + "\n")


class Answer(NamedTuple):
    """An answer: its status (0 without one), headers, body, and whether it is whole."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


async def async_read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    fields = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in fields}


async def async_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk of a body, empty for the last one."""
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readline()
    return data


async def async_read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding") == "chunked":
        parts = []
        while part := await async_chunk(reader):
            parts.append(part)
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def async_ask(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 3.0,
) -> Answer:
    """Send a request on a connection of its own and return the answer."""
    parts: list[bytes] = []
    status, found = 0, {}
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port, limit=2**22)
            writer.write(request_head(method, path, headers or {}, len(body)) + body)
            first, found = await async_read_head(reader)
            status = int(first.split()[1])
            if found.get("transfer-encoding") == "chunked":
                while part := await async_chunk(reader):
                    parts.append(part)
            else:
                parts.append(await async_read_body(reader, found))
        return Answer(status, found, b"".join(parts), True)
    except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
        return Answer(status, found, b"".join(parts), False)
    finally:
        if writer is not None:
            writer.close()


def request_head(method: str, path: str, headers: dict[str, str], size: int) -> bytes:
    """Return the head of a request."""
    fields = {"Host": HOST, "Content-Length": str(size), **headers}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def caller_headers(deadline_ms: int, **extra: str) -> dict[str, str]:
    """Return a caller's headers, with an id of its own."""
    headers = {
        "X-Attempt-Id": uuid.uuid4().hex[:16],
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
    }
    return headers | {name.replace("_", "-"): value for name, value in extra.items()}


class Request(NamedTuple):
    """A request at an engine."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def id(self) -> str:
        """The id of the requester's attempt."""
        return self.headers.get("x-attempt-id", "")


Handler = Callable[[Request], Awaitable[bool]]
"""Answers a request; returns whether the channel is kept."""


def answer_head(request: Request, *lines: str, status: str = "200 OK") -> bytes:
    """Return the head of an engine's answer, with the lines that it adds."""
    head = [
        f"HTTP/1.1 {status}",
        f"X-Attempt-Id: {request.id}",
        "X-Engine-Signature: 3e1b.07",
        *lines,
    ]
    return "\r\n".join(head).encode() + b"\r\n\r\n"


def whole_answer(request: Request, body: bytes, *lines: str) -> bytes:
    """Return an engine's answer with a length."""
    return answer_head(request, f"Content-Length: {len(body)}", *lines) + body


class Engine:
    """An engine that announces itself and answers by its handler."""

    def __init__(
        self,
        fleet: "Fleet",
        service: str,
        number: int,
        handler: Handler,
        slots: int = 8,
    ) -> None:
        self.ip = f"{fleet.subnet}.{100 + number}"
        self.name = f"i-{service}-{number}"
        self.state = "ready"
        self.open_connections = 0
        self.reaches_control = True
        self.last_status = 0
        self._fleet, self._service, self._slots = fleet, service, slots
        self._handler = handler
        self._sequence = 0

    async def async_start(self) -> None:
        """Listen, and announce the engine until the fleet ends."""
        server = await asyncio.start_server(
            self._async_serve, self.ip, ENGINE_PORT, backlog=512, limit=2**22
        )
        self._fleet.own(server.close)
        self._fleet.spawn(self._async_announce())

    async def _async_announce(self) -> None:
        while True:
            self._sequence += 1
            fields = {
                "service": self._service,
                "address": f"{self.ip}:{ENGINE_PORT}",
                "zone": "bole",
                "version": "v1",
                "batch_slots": self._slots,
                "state": self.state,
                "cold_remaining_ms": 0,
                "seq": self._sequence,
            }
            if self.reaches_control:
                path = f"/-/instances/{self.name}"
                answer = await self._fleet.async_control("PUT", path, fields)
                self.last_status = answer.status
            await asyncio.sleep(BEAT_SECONDS)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open_connections += 1
        try:
            while True:
                first, headers = await async_read_head(reader)
                method, path, _ = first.split(" ")
                if path in ("/healthz", "/-/report"):
                    writer.write(self._own_answer(path))
                    continue
                body = b""
                if "x-early" not in headers:
                    body = await async_read_body(reader, headers)
                request = Request(method, path, headers, body, reader, writer)
                if not await self._handler(request):
                    break
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            return
        finally:
            self.open_connections -= 1
            writer.close()

    def _own_answer(self, path: str) -> bytes:
        report = {"phase": "combined", "model_list": [], "queued": 0, "active": 0}
        body = json.dumps(report).encode() if path == "/-/report" else b""
        head = f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.name}\r\n"
        head += "Content-Type: application/json\r\n"
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Fleet:
    """Processes of the project, of which some serve control and some requesters."""

    def __init__(
        self,
        record: Record,
        control: int = 3,
        edges: int = 1,
        **settings: Any,
    ) -> None:
        draw = random.SystemRandom()
        self.subnet = f"127.{draw.randrange(10, 250)}.{draw.randrange(1, 250)}"
        self.control_ips = [f"{self.subnet}.{n}" for n in range(1, 1 + control)]
        self.edge_ips = [f"{self.subnet}.{n}" for n in range(21, 21 + edges)]
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="bitterntiller-case-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.settings = settings
        self._stack = contextlib.ExitStack()
        self._tasks: list[asyncio.Task[Any]] = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._run = {
            role["serves"][0]: role["run"].split() for role in deploy["roles"].values()
        }

    async def __aenter__(self) -> "Fleet":
        for ip in self.control_ips + self.edge_ips:
            self.start(ip, bootstrap=True)
        return self

    async def __aexit__(self, *details: object) -> None:
        for task in self._tasks:
            task.cancel()
        self._stack.close()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def own(self, close: Callable[[], Any]) -> None:
        """Call something at the end."""
        self._stack.callback(close)

    def spawn(self, work: Any) -> "asyncio.Task[Any]":
        """Run a task until the end."""
        task = asyncio.create_task(work)
        self._tasks.append(task)
        return task

    def start(self, ip: str, bootstrap: bool = False) -> None:
        """Start the process of a machine."""
        serves = "control" if ip in self.control_ips else "edge"
        path = self.folder / f"{ip}.conf"
        path.write_text(self._settings_text(ip, serves, bootstrap))
        if serves == "control":
            (self.folder / f"data-{ip}").mkdir(exist_ok=True)
        command = [sys.executable, *self._run[serves][1:]]
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BITTERNTILLER_SETTINGS": str(path),
        }
        with (self.folder / f"{ip}.log").open("ab") as log:
            self.processes[ip] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, ip: str, number: int) -> None:
        """Send a signal to the process of a machine."""
        self.record.add(f"signal {signal.Signals(number).name} to {ip}")
        self.processes[ip].send_signal(number)

    def _settings_text(self, ip: str, serves: str, bootstrap: bool) -> str:
        seeds = ",".join(f"{item}:{CONTROL_PORT}" for item in self.control_ips[:3])
        lines: dict[str, Any] = {
            "node_name": f"{serves}-{ip.rpartition('.')[2]}",
            "role": "control" if serves == "control" else "entry",
            "machine_class": "core" if serves == "control" else "edge",
            "serves": serves,
            "ip": ip,
            "zone": "bole",
            "region": "addis",
            "zones.bole": "addis",
            "port_range": "7600,7615",
            "seed_nodes": seeds,
            "bootstrap": str(bootstrap).lower(),
            "heartbeat_ms": int(1000 * BEAT_SECONDS),
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants",
            "fault_tolerance.machines": len(self.control_ips) // 2,
            "limits.memory_mb": 300,
            "limits.max_fds": 4100,
            "bounds.contact_window_ms": 3000,
            "bounds.drain_ms": 2000,
            "bounds.grace_s": 8,
            "bounds.config_apply_ms": 2000,
            "bounds.revoke_ms": 5000,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.budget_window_s": 10,
            "bounds.budget_extra": 52,
        }
        if serves == "control":
            lines["listen_addrs.control_plane"] = f"{ip}:{CONTROL_PORT}"
            lines["data_dir"] = self.folder / f"data-{ip}"
        else:
            lines["listen_addrs.front_addr"] = f"{ip}:{ENTRY_PORT}"
            lines["listen_addrs.ready"] = f"{ip}:{READY_PORT}"
        lines |= {name.replace("__", "."): item for name, item in self.settings.items()}
        return "".join(f"{name}={value}\n" for name, value in lines.items())

    async def async_control(
        self, method: str, path: str, document: Any = None, timeout: float = 1.0
    ) -> Answer:
        """Call the control machines in turn, until one answers without a 5xx."""
        body = b"" if document is None else json.dumps(document).encode()
        headers = {"Content-Type": "application/json"}
        found = Answer(0, {}, b"", False)
        for ip in random.sample(self.control_ips, len(self.control_ips)):
            found = await async_ask(
                ip, CONTROL_PORT, method, path, headers, body, timeout
            )
            if found.whole and found.status < 500:
                break
        return found

    async def async_configure(self, document: dict[str, Any]) -> None:
        """Send a configuration until it is acknowledged."""
        async with asyncio.timeout(25):
            while True:
                answer = await self.async_control("PUT", "/-/config", document, 3.0)
                if answer.status == 200:
                    return
                await asyncio.sleep(0.2)

    async def async_until_served(self, method: str, path: str) -> None:
        """Wait until each machine serves a request."""
        async with asyncio.timeout(25):
            for ip in self.edge_ips:
                while True:
                    answer = await async_ask(
                        ip, ENTRY_PORT, method, path, caller_headers(3000), b"warm"
                    )
                    if answer.status == 200:
                        break
                    await asyncio.sleep(0.2)


def route(name: str, prefix: str, service: str, kind: str, **fields: Any) -> Any:
    """Return a route of the configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 15000,
        "target_latency_ms": 400,
        "target_itl_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "stream_resume": kind == "streaming",
        **fields,
    }


def document(version: int, routes: list[Any], **fields: Any) -> dict[str, Any]:
    """Return a configuration with the services of its routes."""
    engine = {
        "batch_slots": 8,
        "kv_capacity": 609264,
        "kv_token_bytes": 18432,
        "link_mbps": 180000.0,
        "stride": 5,
        "model_list": [{"name": "m"}],
    }
    return {
        "version": version,
        "route_table": routes,
        "services": [
            {
                "name": "llm",
                "health_path": "/healthz",
                "max_connections": 360,
                "protocol": "h1",
                "tls": False,
                "engine_id": engine,
            },
            {
                "name": "map",
                "health_path": "/healthz",
                "max_connections": 96,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "foresters", "api_keys": [KEY], "priority": 1}],
        **fields,
    }


def main(play: Callable[[Record, bool], Awaitable[bool]], folder: Path) -> None:
    """Play a case: exit with 1 if the rule broke, 0 if it held, 2 if not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    code = 2
    try:
        code = int(asyncio.run(play(record, trouble)))
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
    record.add(f"exit {code}")
    record.write()
    sys.exit(code)
