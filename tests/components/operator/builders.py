"""Builders of operators' requests, and fakes of the components behind the port."""

from types import SimpleNamespace

from bitterntiller.components.http.models import HttpRequest
from bitterntiller.components.metrics.client import StatsdMetrics
from bitterntiller.components.operator.coordinator import OperatorCoordinator

KEY = b"operator-key"


class FakeControl:
    """Returns a fixed reply to each message, or raises it; records the messages."""

    def __init__(self, reply=None):
        self.reply = reply
        self.messages = []

    async def async_call_leader(self, message, timeout):
        self.messages.append(message)
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply


def operator_request(method, path, body=b"", key=KEY, **headers):
    lines = [(b"authorization", b"Bearer " + key)]
    lines += [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    return HttpRequest(method, path, "", lines, body)


class FakeCrashes:
    """Has crashes of one request; records what was cleared and blocked."""

    KNOWN = 0xABC

    def __init__(self):
        self.cleared = []
        self.blocked = []

    def describe(self):
        crash = {"upstream": "e1", "incarnation": "1", "seconds_ago": 2.0}
        item = {"quarantined_for": 3.0, "crashes": [crash]}
        return {"requests_by_fingerprint": {f"{self.KNOWN:016x}": item}}

    def has_crashes(self, fingerprint):
        return fingerprint == self.KNOWN

    def is_blocked(self, fingerprint):
        return fingerprint in [found for found, _ in self.blocked]

    async def async_block(self, fingerprint, seconds):
        self.blocked.append((fingerprint, seconds))

    async def async_release(self, fingerprint):
        self.cleared.append(fingerprint)


def operator_port(reply=None, placements=None):
    control = FakeControl(reply)
    metrics = StatsdMetrics(None, "")
    dump = {"host": "a"}
    crashes = FakeCrashes()
    coordinator = OperatorCoordinator(
        KEY, control, lambda: dump, metrics, crashes, placements
    )
    return SimpleNamespace(
        coordinator=coordinator,
        control=control,
        metrics=metrics,
        dump=dump,
        crashes=crashes,
    )
