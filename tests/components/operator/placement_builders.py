"""Owners of pools as an operator port meets them, and configurations."""

from types import SimpleNamespace
from typing import Any

from bitterntiller.components.config.models import (
    Config,
    Quota,
    Route,
    RouteKind,
    Selector,
    Share,
)
from bitterntiller.components.dispatch.coordinator import DispatchCoordinator
from bitterntiller.components.dispatch.placement_server import PlacementServer
from bitterntiller.components.dispatch.quotas import QuotaState
from bitterntiller.components.links.frames import pack, unpack
from bitterntiller.components.operator.models import PlacementRequest
from bitterntiller.components.operator.placement import PlacementFinder
from bitterntiller.core.interfaces import Ownership
from bitterntiller.protocol import messages
from tests.components.dispatch import fakes
from tests.components.dispatch import messages_builders as build

OWNER = Ownership("core-1", "127.0.0.1:7", 3)


def query(**changes: Any) -> PlacementRequest:
    """Return the query of a small request to the only pool."""
    found = PlacementRequest("foresters", "/v1/chat", "", 200, 50)
    return found._replace(**changes)


def routed_config() -> Config:
    """Return a configuration whose only route leads to the pool, with a quota."""
    route = Route(
        name="chat",
        host="api.test",
        prefix="/v1/",
        kind=RouteKind.STREAM,
        shares=(Share(build.POOL, 2.0),),
        timeout=20.0,
        objective=0.5,
        target_output_interval=0.25,
        patience=2.0,
        max_attempts=1,
        rank=1,
        public=False,
    )
    config = build.config()
    workspace = config.workspaces_by_name["foresters"]
    tier = config.tiers_by_name["gold"]._replace(name="0.1", selector=Selector())
    return config._replace(
        routes_by_host={"api.test": {"/v1/": route}},
        tiers_by_name={"0.1": tier},
        workspaces_by_name={
            "foresters": workspace._replace(quota=Quota(10.0, 5.0, False, 1))
        },
    )


def quota(workspace: str, _now: float) -> QuotaState:
    """Return a quota of which 40 units are left."""
    assert workspace == "foresters"
    return QuotaState(40.0, 7.0, 100.0, 100.0, 10.0, 50.0)


async def async_owner(config: Config) -> DispatchCoordinator:
    """Return the dispatch role of a host that owns the pool, with one engine."""
    runtime = fakes.FakeRuntime()
    coordinator = fakes.coordinator(runtime, fakes.FakeDirectory())
    coordinator._config = SimpleNamespace(config=config, version=1)
    coordinator._sync_ownership(runtime.clock.now())
    await coordinator.async_on_announce("e1", build.announce("e1", 4))
    return coordinator


def server(coordinator: DispatchCoordinator, valid: bool = True) -> PlacementServer:
    """Return the answers of an owner, which may have lost its lease."""
    lease = SimpleNamespace(valid=lambda: valid)
    return PlacementServer(coordinator, lease, coordinator._clock, quota)


class Stream:
    """A connection to an owner that replies at once, or with bytes that are given."""

    def __init__(self, owner: PlacementServer | None, reply: bytes) -> None:
        self._owner = owner
        self._reply = reply
        self.queries: list[Any] = []

    async def sendall(self, data: bytes) -> None:
        self.queries.append(unpack(data[4:]).message)
        if self._owner is not None:
            self._reply = pack(self._owner.reply(self.queries[-1]))

    async def recv(self, size: int) -> bytes:
        found, self._reply = self._reply[:size], self._reply[size:]
        return found

    async def close(self) -> None:
        self._reply = b""


class StreamLinks:
    """Opens connections to an owner, or raises what is given."""

    def __init__(
        self,
        owner: PlacementServer | None = None,
        reply: bytes = b"",
        error: Exception | None = None,
    ) -> None:
        self.stream = Stream(owner, reply)
        self._error = error

    async def async_open_stream(self, address: str, purpose: str) -> Stream:
        assert (address, purpose) == (OWNER.address, "placement")
        if self._error is not None:
            raise self._error
        return self.stream


def earlier_release() -> StreamLinks:
    """Return the links to an owner that has no handler of such connections."""
    fault = messages.Fault(code=404, text="no handler of 'placement' connections")
    return StreamLinks(reply=pack(fault))


def finder(
    links: Any, config: Config | None, owner: Ownership | None = OWNER
) -> PlacementFinder:
    """Return the finder of a host with this configuration and owner of its pool."""
    view = SimpleNamespace(config=config, version=1)
    directory = SimpleNamespace(owner=lambda _pool: owner)
    return PlacementFinder("edge-1", links, view, directory)
