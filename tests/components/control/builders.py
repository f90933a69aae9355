"""Builders of settings, messages and fakes for tests of control and node."""

import json

from bitterntiller.components.config.models import Config
from bitterntiller.components.control.coordinator import ControlCoordinator
from bitterntiller.components.control.state import ControlState
from bitterntiller.components.node.coordinator import NodeCoordinator
from bitterntiller.components.settings.models import (
    Address,
    Control,
    Keys,
    Limits,
    Listen,
    Settings,
    Timings,
)
from bitterntiller.core.errors import CodedError
from bitterntiller.core.interfaces import ProposalResult
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import decode, encode, messages


class LinkDownError(CodedError):
    code = "link-failed"


class CountingMetrics:
    def __init__(self):
        self.counts_by_name = {}

    def count(self, name, by=1):
        self.counts_by_name[name] = self.counts_by_name.get(name, 0) + by

    def timing(self, name, seconds):
        pass

    def gauge(self, name, value):
        pass


class FakeNetwork:
    """Message handlers by address; addresses in cut are unreachable."""

    def __init__(self):
        self.handlers_by_address = {}
        self.cut = set()

    async def async_deliver(self, sender, address, message):
        handlers = self.handlers_by_address.get(address, {})
        if address in self.cut or type(message) not in handlers:
            raise LinkDownError(f"no way to {address}")
        copy = decode(type(message), encode(message))
        reply = await handlers[type(message)](sender, copy)
        return decode(type(reply), encode(reply))


class FakeLinks:
    def __init__(self, network, host, address):
        self._network = network
        self._host = host
        self._handlers = network.handlers_by_address.setdefault(address, {})

    def handle(self, cls, handler):
        self._handlers[cls] = handler
        return lambda: self._handlers.pop(cls, None)

    async def async_send(self, address, message):
        await self.async_call(address, message, 1.0)
        return True

    async def async_call(self, address, message, timeout):
        return await self._network.async_deliver(self._host, address, message)


class FakeLog:
    """A log of one replica; a test sets its quorum and leadership."""

    def __init__(self, state, address="10.0.0.1:7000"):
        self.state = state
        self.address = address
        self.leads = True
        self.quorum = True
        self.term = 1
        self.index = 0
        self.lose_replies = False

    async def async_propose(self, command, timeout):
        if not self.leads:
            return ProposalResult("not-leader", b"", self.address)
        if not self.quorum:
            return ProposalResult("unknown", b"", "")
        self.index += 1
        result = self.state.apply(self.index, command)
        if self.lose_replies:
            return ProposalResult("unknown", b"", "")
        return ProposalResult("committed", result, self.address)

    async def async_confirm(self, timeout):
        return self.index if self.leads and self.quorum else None

    def is_leader(self):
        return self.leads

    def leader(self):
        return self.address

    async def async_wait_for_leader(self, timeout):
        return

    def status(self):
        return {"term": self.term, "commit_index": self.index}


def make_settings(host="kirkos-1", number=1, control=(1,), timings=None, **fields):
    def at(port):
        return Address(f"10.0.0.{number}", port)

    return Settings(
        host=host,
        zone="kirkos",
        region="addis",
        roles=("entry", "dispatch"),
        listen=Listen(caller=at(80), internal=at(7000), operator=at(81)),
        keys=Keys(b"operator", b"internal", b"upstream"),
        control=Control(
            addresses=tuple(Address(f"10.0.0.{item}", 7000) for item in control),
            bootstrap=(host,),
        ),
        data_folder=fields.get("data_folder"),
        statsd=None,
        limits=Limits(),
        timings=timings or Timings(),
    )


def make_runtime(clock, network=None, **fields):
    settings = make_settings(**fields)
    address = str(settings.listen.internal)
    links = FakeLinks(network or FakeNetwork(), settings.host, address)
    runtime = Runtime(settings, clock, CountingMetrics())
    runtime.links = links
    return runtime


def parse_any(document, version):
    """Parse like the config component, but reject only documents marked as bad."""
    if document.get("bad"):
        raise CodedError("bad is set")
    return Config(version, document.get("services", {}), {}, {}, {})


def make_control(clock, network=None, state=None, **fields):
    runtime = make_runtime(clock, network, **fields)
    state = state or ControlState()
    log = FakeLog(state)
    return ControlCoordinator(runtime, log, state, parse_any), log


def make_node(clock, network=None, **fields):
    return NodeCoordinator(make_runtime(clock, network, **fields), parse_any)


def make_document(*services, **fields):
    return {"services": {name: {"kind": "engine"} for name in services}, **fields}


def make_change(change_id, base_version, document):
    config = json.dumps(document).encode()
    return messages.Change(
        change_id=change_id, base_version=base_version, config=config
    )


def make_heartbeat(host="kirkos-1", incarnation="a", **fields):
    values = {
        "host": host,
        "incarnation": incarnation,
        "address": f"{host}:7000",
        "zone": "kirkos",
        "roles": ["entry", "dispatch"],
        "config_version": 0,
        "directory_version": 0,
        "draining": False,
    }
    return messages.Heartbeat(**{**values, **fields})


def make_claim(action="take", key="k", request_id="r1", **fields):
    values = {
        "action": action,
        "workspace": "foresters",
        "key": key,
        "digest": "d",
        "host": "kirkos-1",
        "incarnation": "a",
        "upstream": "",
        "request_id": request_id,
        "outcome": "",
        "http_status": 0,
        "address": "kirkos-1:7000",
    }
    return messages.Claim(**{**values, **fields})


def make_command(time_ms=0, changes_ms=-1, claims_ms=-1, **content):
    return encode(
        messages.Command(
            time_ms=time_ms,
            forget_changes_ms=changes_ms,
            forget_claims_ms=claims_ms,
            **content,
        )
    )


def make_assignment(pool="llm", host="kirkos-1", incarnation="a", expected_epoch=0):
    return messages.Assignment(
        pool=pool,
        host=host,
        incarnation=incarnation,
        address=f"{host}:7000" if host else "",
        expected_epoch=expected_epoch,
    )


def apply(state, index, **fields):
    """Apply a command and return its decoded messages.CommandResult."""
    return decode(messages.CommandResult, state.apply(index, make_command(**fields)))
