import pytest

from bench.entry import EntryHosts
from bench.events import EventLoop
from bitterntiller.components.dispatch.models import Granted, Refused
from tests.bench.builders import make_request


class RecordingOwner:
    def __init__(self):
        self.calls = []

    def send(self, call, *arguments):
        self.calls.append((call, *arguments))


class RecordingStation:
    def __init__(self):
        self.submitted = []

    def submit(self, request_id, request):
        self.submitted.append(request_id)


class EntryHostFixture:
    def __init__(self, max_retries=0):
        self.loop = EventLoop()
        self.owner = RecordingOwner()
        self.station = RecordingStation()
        self.hosts = EntryHosts(self.loop, self.owner, 0.001, max_retries)
        self.hosts.upstreams_by_name = {"one": self.station}
        self.hosts.accept(make_request(deadline=10.0))

    def calls(self):
        return [call[0] for call in self.owner.calls]


GRANT = Granted("1-0", "host-0", "one", "", 1)


def test_grant_after_the_caller_disconnected_is_returned():
    """A caller disconnects while the grant for its request is in transit.

    If the request were sent, the engine would compute a prompt without a caller. The
    entry host must return the grant instead.
    """
    setup = EntryHostFixture()
    setup.loop.run(10.0)
    setup.hosts.handle_decision(GRANT)
    setup.loop.run(11.0)
    assert setup.station.submitted == []
    assert setup.owner.calls[-1] == ("returned", "1-0", "expired", False)


def test_second_grant_is_returned():
    setup = EntryHostFixture()
    setup.hosts.handle_decision(GRANT)
    setup.hosts.handle_decision(GRANT)
    setup.loop.run(1.0)
    assert setup.station.submitted == ["1-0"]
    assert setup.calls() == ["register", "started", "returned"]


@pytest.mark.parametrize(("max_retries", "attempts"), [(0, 1), (2, 3)])
def test_refused_caller_retries_a_limited_number_of_times(max_retries, attempts):
    setup = EntryHostFixture(max_retries)
    for tries in range(5):
        refused = Refused(f"1-{tries}", "host-0", "shed", 1.0)
        if refused.request_id in setup.hosts.attempts_by_id:
            setup.hosts.handle_decision(refused)
        setup.loop.run(tries + 1.5)
    assert len(setup.hosts.attempts_by_id) == attempts
    assert setup.calls().count("register") == attempts


def test_refused_caller_does_not_retry_after_its_deadline():
    setup = EntryHostFixture(max_retries=2)
    setup.hosts.handle_decision(Refused("1-0", "host-0", "shed", 11.0))
    setup.loop.run(20.0)
    assert setup.calls() == ["register"]
