"""Builders of replicas with real data folders, linked by function calls."""

import json
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Any

import curio

from bitterntiller.components import replication
from bitterntiller.components.links.errors import LinkUnreachableError
from bitterntiller.components.settings.models import (
    Address,
    Control,
    Keys,
    Limits,
    Listen,
    Settings,
    Timings,
)
from bitterntiller.core.clock import RuntimeClock
from bitterntiller.core.runtime import Runtime

TIMINGS = Timings(election_min=0.15, election_max=0.3, raft_heartbeat=0.04)


class NoMetrics:
    def count(self, name: str, by: int = 1) -> None: ...

    def timing(self, name: str, seconds: float) -> None: ...

    def gauge(self, name: str, value: float) -> None: ...


class FakeLinks:
    """Carries messages between coordinators in one process."""

    def __init__(self, host: str, address: str, links_by_address: dict) -> None:
        self.host = host
        self.cut = False
        self._links_by_address = links_by_address
        self._handlers: dict[type, Any] = {}
        links_by_address[address] = self

    def handle(self, cls: type, handler: Any) -> Callable[[], None]:
        self._handlers[cls] = handler
        return lambda: self._handlers.pop(cls, None)

    async def async_send(self, address: str, message: Any) -> bool:
        try:
            await self.async_call(address, message, 1.0)
        except LinkUnreachableError:
            return False
        return True

    async def async_call(self, address: str, message: Any, timeout: float) -> Any:
        peer = self._links_by_address.get(address)
        if peer is None or self.cut or peer.cut or type(message) not in peer._handlers:
            raise LinkUnreachableError(address)
        return await peer._handlers[type(message)](self.host, message)


class Machine:
    """State machine whose state is the list of applied commands."""

    def __init__(self) -> None:
        self.commands: list[str] = []

    def apply(self, index: int, command: bytes) -> bytes:
        self.commands.append(command.decode())
        return b"%d" % len(self.commands)

    def snapshot(self) -> bytes:
        return json.dumps(self.commands).encode()

    def restore(self, data: bytes) -> None:
        self.commands = json.loads(data)


class LastMachine:
    """State machine whose state is the number of commands and the last of them."""

    def __init__(self) -> None:
        self.count = 0
        self.last = b""

    def apply(self, index: int, command: bytes) -> bytes:
        self.count += 1
        self.last = command
        return b"%d" % self.count

    def snapshot(self) -> bytes:
        return b"%d:" % self.count + self.last

    def restore(self, data: bytes) -> None:
        count, _, self.last = data.partition(b":")
        self.count = int(count)


class Host:
    def __init__(self, runtime: Runtime, log: Any, machine: Machine) -> None:
        self.runtime = runtime
        self.log = log
        self.machine = machine


class Deployment:
    """Hosts with a data folder each, which can be started and stopped."""

    def __init__(
        self,
        folder,
        names: str,
        snapshot_entries: int = 10000,
        spare: str = "",
        voters: int = 0,
        limits: Limits | None = None,
        machine: Callable[[], Any] = Machine,
    ) -> None:
        self.folder = folder
        self.names = names
        self.spare = spare
        self.snapshot_entries = snapshot_entries
        self.voters = voters
        self.limits = limits or Limits()
        self.machine = machine
        self.links_by_address: dict[str, FakeLinks] = {}
        self.hosts: dict[str, Host] = {}

    def address(self, name: str) -> Address:
        return Address("127.0.0.1", 7000 + ord(name))

    async def start(self, name: str) -> Host:
        address = self.address(name)
        control = Control(
            tuple(self.address(n) for n in self.names + self.spare),
            tuple(self.names),
            self.snapshot_entries,
            self.voters,
        )
        settings = Settings(
            name,
            "bole",
            "addis",
            ("control",),
            Listen(address, address, address),
            Keys(b"", b"", b""),
            control,
            self.folder / name,
            None,
            limits=self.limits,
            timings=TIMINGS,
        )
        runtime = Runtime(settings, RuntimeClock(), NoMetrics())
        runtime.links = FakeLinks(name, str(address), self.links_by_address)
        machine = self.machine()
        await runtime.stack.__aenter__()
        log = await replication.async_setup(runtime, machine)
        self.hosts[name] = Host(runtime, log, machine)
        return self.hosts[name]

    async def stop(self, name: str) -> None:
        self.links_by_address.pop(str(self.address(name)), None)
        await self.hosts.pop(name).runtime.stack.aclose()

    async def leader(self, timeout: float = 8.0) -> Host:
        """Wait for a leader that a quorum confirms, and return its host."""
        async with curio.timeout_after(timeout):
            while True:
                for host in list(self.hosts.values()):
                    leads = host.log.is_leader()
                    if leads and await host.log.async_confirm(0.5) is not None:
                        return host
                await curio.sleep(0.02)

    async def until(self, check: Callable[[], bool], timeout: float = 8.0) -> None:
        async with curio.timeout_after(timeout):
            while not check():
                await curio.sleep(0.02)


@asynccontextmanager
async def deployed(folder, names: str, **options):
    """Start a deployment; at the end stop the hosts that still run."""
    deployment = Deployment(folder, names, **options)
    for name in names:
        await deployment.start(name)
    try:
        yield deployment
    finally:
        for name in list(deployment.hosts):
            await deployment.stop(name)
