"""Hosts on a fake network that remember streams, and the views that they use."""

from types import SimpleNamespace
from typing import Any, NamedTuple

from bitterntiller.components.config.models import Config, Route, RouteKind, Share
from bitterntiller.components.stream_versions.candidates import StreamCandidates
from bitterntiller.components.stream_versions.coordinator import (
    StreamVersionCoordinator,
)
from bitterntiller.components.stream_versions.finder import StreamFinder
from bitterntiller.components.stream_versions.holder import StreamHolder
from bitterntiller.components.stream_versions.leader_query import LeaderQuery
from bitterntiller.components.stream_versions.memory import StreamMemory
from bitterntiller.components.stream_versions.recorder import StreamRecorder
from bitterntiller.core.clock import ManualClock
from bitterntiller.protocol import messages
from tests.components.control.builders import (
    CountingMetrics,
    FakeLinks,
    FakeNetwork,
    LinkDownError,
)

CONTROL_HOSTS = ("c1", "c2", "c3")
POOL = "llm"


def route(*services: str, name: str = "r-1") -> Route:
    """Return a resumable route to some services, the pool POOL without any."""
    shares = tuple(Share(service, 1.0) for service in services or (POOL,))
    return Route(
        name=name,
        host="trees.example",
        prefix="/trees/",
        kind=RouteKind.RESUMABLE,
        shares=shares,
        timeout=10.0,
        objective=1.0,
        target_output_interval=0.0,
        patience=2.0,
        max_attempts=2,
        rank=0,
        public=False,
    )


class ConfigView:
    """A configuration of one route, which a test changes."""

    def __init__(self) -> None:
        self.version = 0
        self.set(route())

    def set(self, changed: Route) -> None:
        self.version += 1
        routes = {changed.host: {changed.prefix: changed}}
        self.config = Config(self.version, {}, {}, {}, {}, routes_by_host=routes)


class Upstreams:
    """Lists of upstreams, which a test changes."""

    def __init__(self, *versions: str) -> None:
        self.version = 0
        self.set(*versions)

    def set(self, *versions: str) -> None:
        self.version += 1
        self.by_name = {
            f"u-{version}": SimpleNamespace(pool=POOL, labels={"version": version})
            for version in versions
        }


class Leader:
    """A leader of control that knows the versions of services, or does not reply.

    led_to has the services to which the route led lately.
    """

    def __init__(self, **versions: tuple[str, ...]) -> None:
        self.versions_by_service = versions
        self.led_to: tuple[str, ...] = ()
        self.replies = True
        self.asked = 0

    async def async_call_leader(self, message: Any, timeout: float) -> Any:
        self.asked += 1
        if not self.replies:
            return None
        services = [
            messages.ServiceVersions(
                pool=pool, versions=list(self.versions_by_service.get(pool, ()))
            )
            for pool in sorted({*message.pools, *self.led_to})
        ]
        return messages.GetVersionsReply(status="ok", leader="", services=services)


class ForgivingLinks(FakeLinks):
    """Links whose sends fail quietly, as those of a process do."""

    async def async_send(self, address: str, message: Any) -> bool:
        handlers = self._network.handlers_by_address.get(address, {})
        if address in self._network.cut or type(message) not in handlers:
            return False
        await handlers[type(message)](self._host, message)
        return True

    async def async_call(self, address: str, message: Any, timeout: float) -> Any:
        try:
            return await super().async_call(address, message, timeout)
        except LinkDownError as error:
            raise link_error(str(error)) from error


def link_error(text: str) -> Exception:
    from bitterntiller.components.links.errors import LinkError

    return LinkError(text)


class Host(NamedTuple):
    """A host with its part, and the task that sends its records."""

    coordinator: StreamVersionCoordinator
    recorder: StreamRecorder


class Fleet:
    """Control hosts that remember streams, and entry hosts that relay them."""

    def __init__(self, *versions: str, leader: Leader | None = None) -> None:
        self.clock = ManualClock()
        self.network = FakeNetwork()
        self.metrics = CountingMetrics()
        self.config = ConfigView()
        self.upstreams = Upstreams(*versions)
        self.leader = leader or Leader(**{POOL: versions})
        self.directory = SimpleNamespace(hosts_by_name={})
        for name in CONTROL_HOSTS:
            self.start_control(name, "1")

    def start_control(self, name: str, incarnation: str) -> None:
        """Start a control host, with nothing remembered."""
        holder = StreamHolder(StreamMemory(self.clock.now()), self.clock)
        links = ForgivingLinks(self.network, name, name)
        links.handle(messages.BegunStreams, holder.async_on_begun)
        links.handle(messages.FindStream, holder.async_on_find)
        host = SimpleNamespace(
            address=name, incarnation=incarnation, roles=("control",), zone=""
        )
        self.directory.hosts_by_name = self.directory.hosts_by_name | {name: host}

    def entry(self, name: str) -> Host:
        """Return a new process of an entry host."""
        listen = SimpleNamespace(peer_address=name)
        runtime: Any = SimpleNamespace(
            clock=self.clock,
            links=ForgivingLinks(self.network, name, name),
            metrics=self.metrics,
            settings=SimpleNamespace(listen=listen),
        )
        memory = StreamMemory(self.clock.now())
        candidates = StreamCandidates(self.config, self.upstreams)
        query = LeaderQuery(self.clock, self.leader, candidates)
        recorder = StreamRecorder(runtime, memory, self.directory, candidates, query)
        finder = StreamFinder(runtime, memory, self.directory, query)
        return Host(StreamVersionCoordinator(memory, recorder, finder), recorder)
