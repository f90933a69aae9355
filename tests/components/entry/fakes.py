"""Fakes of the entry role's dependencies, and builders for requests and grants."""

import hashlib
from collections import Counter
from typing import Any

from bitterntiller.components.config.models import (
    Config,
    Selector,
    Service,
    Tier,
    Workspace,
)
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.models import (
    ActiveRequest,
    Estimate,
    GrantReceived,
    IdentifiedRequest,
    PreparedRequest,
    ReceivedRequest,
)
from bitterntiller.components.http.models import RequestHead
from bitterntiller.components.settings.models import Timings
from bitterntiller.core.clock import ManualClock

TOKEN = "token-wards"
SERVICE = Service("registry", "plain", ("/bonds",), (), Selector(), {})
TIER = Tier("gold", 0, 30_000, Selector())
WORKSPACE = Workspace(
    name="wards",
    token_sha256=(hashlib.sha256(TOKEN.encode()).hexdigest(),),
    tier="gold",
    services=("registry",),
    selector=Selector(),
    labels={},
)


class FakeMetrics:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def count(self, name: str, by: int = 1) -> None:
        self.counts[name] += by

    def timing(self, name: str, seconds: float) -> None:
        pass

    def gauge(self, name: str, value: float) -> None:
        pass


class FakeLinks:
    """Records each sent message and advances the clock for it."""

    def __init__(self, clock: ManualClock, seconds: float = 0.0) -> None:
        self.sent: list[Any] = []
        self._clock = clock
        self._seconds = seconds

    async def async_send(self, address: str, message: Any) -> bool:
        self._clock.advance(self._seconds)
        self.sent.append(message)
        return True


class FakeLease:
    def __init__(self) -> None:
        self.held = True

    def valid(self) -> bool:
        return self.held


class FakeDirectory:
    def owner(self, pool: str) -> None:
        return None


class FakeExchange:
    """Records the response to a caller: its status, its body and how it ended."""

    def __init__(self) -> None:
        self.status = 0
        self.started = False
        self.body = b""
        self.end = "open"

    async def async_start(self, status: int, headers: Any) -> None:
        self.status = status
        self.started = True

    async def async_send(self, data: bytes) -> None:
        self.body += data

    def keeps_up(self) -> bool:
        return True

    async def async_finish(self) -> None:
        self.end = "whole"

    async def async_cut(self) -> None:
        self.end = "cut"


class FakeConfig:
    """A view of the configuration, which a test can replace while a request waits."""

    def __init__(self) -> None:
        self.version = 0
        self.in_force_since = 0.0
        self.config: Config | None = None

    def put(self, workspace: Workspace | None) -> None:
        """Apply a newer version with one workspace or none."""
        self.version += 1
        workspaces = {workspace.name: workspace} if workspace else {}
        tokens = dict.fromkeys(workspace.token_sha256, workspace) if workspace else {}
        self.config = Config(
            version=self.version,
            services_by_name={SERVICE.name: SERVICE},
            tiers_by_name={TIER.name: TIER},
            workspaces_by_name=workspaces,
            workspaces_by_token=tokens,
        )


class FakeControl:
    """A control client that returns a preset reply to each message."""

    def __init__(self) -> None:
        self.reply: Any = None
        self.messages: list[Any] = []

    async def async_call_leader(self, message: Any, timeout: float) -> Any:
        self.messages.append(message)
        return self.reply


def context(clock: ManualClock, links: FakeLinks) -> Context:
    return Context(
        host="a",
        timings=Timings(upstream_connect=1.0, upstream_idle=1.0),
        clock=clock,
        metrics=FakeMetrics(),
        links=links,
        lease=FakeLease(),
        config=FakeConfig(),
        directory=FakeDirectory(),
        control=FakeControl(),
    )


def active_request(clock: ManualClock, method: str = "POST") -> ActiveRequest:
    head = RequestHead(method, "/bonds", [], b"1.1")
    now = clock.now()
    received = ReceivedRequest("r1", head, TOKEN, "", None, "", now)
    deadline = now + 30
    identified = IdentifiedRequest(received, WORKSPACE, SERVICE, TIER, deadline, False)
    return ActiveRequest(PreparedRequest(identified, b"{}", Estimate(1, 1, (), False)))


def grant(clock: ManualClock, address: str) -> GrantReceived:
    until = clock.now() + 1.0
    return GrantReceived("registry", 1, "p1", address, until, "127.0.0.1:1")
