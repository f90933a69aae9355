"""The silence of an entry host says nothing about the upstreams that it uses."""

import pytest

from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.host_contacts import HostContacts
from bitterntiller.components.dispatch.models import Granted
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import completion, request, upstream

NOW = 1000.0
HOST, OTHER_HOST = "bole-1", "yeka-1"
OUTPUT = 50


class Owner:
    """A scheduler of one upstream, with the contacts of two hosts and a clock."""

    def __init__(self) -> None:
        self.now = NOW
        self.contacts = HostContacts()
        self.scheduler = PoolScheduler(REGISTERED_PARAMETERS, contacts=self.contacts)
        self.scheduler.announce(upstream(slots=8), self.now)
        for number in range(10):
            self.serve(f"served-{number}")

    def hear(self, host: str, incarnation: str = "1") -> None:
        self.contacts.record(host, incarnation, self.now)

    def send(self, name: str, host: str) -> float:
        """Grant a request and begin it; return the seconds that it is expected to take.

        They are those for a request of its size at this moment.
        """
        asked = request(
            name,
            entry_host=host,
            output_tokens=OUTPUT,
            arrived=self.now,
            deadline=self.now + 60,
        )
        [decision] = self.scheduler.register(asked, self.now)
        assert isinstance(decision, Granted)
        self.scheduler.started(name, self.now)
        return decision.basis.expected

    def serve(self, name: str) -> None:
        """Send a request, let it take a second, and end it."""
        self.send(name, OTHER_HOST)
        self.now += 0.1
        self.scheduler.progress(name, 1, self.now, first=0.1)
        self.now += 0.9
        done = completion(name, output_tokens=OUTPUT, first_token=0.1, total=1.0)
        self.scheduler.finished(done, self.now)

    def wait(self, seconds: float, *heard: str, incarnation: str = "1") -> None:
        """Let time pass while some hosts are heard from."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.25
            for host in heard:
                self.hear(host, incarnation)
            self.scheduler.tick(self.now)


def expected_after_loss(output: int, *heard: str, incarnation: str = "1") -> float:
    """Return how many times as long a request is expected to take as before.

    Before, a host sends a request, and is heard from for the last time when the request
    has brought some output.
    """
    owner = Owner()
    owner.hear(HOST)
    before = owner.send("lost", HOST)
    if output:
        owner.now += 0.1
        owner.scheduler.progress("lost", output, owner.now, first=0.1)
    owner.hear(HOST)
    owner.wait(5.0, *heard, incarnation=incarnation)
    owner.scheduler.cancel("lost", owner.now)
    return owner.send("next", OTHER_HOST) / before


@pytest.mark.parametrize("output", [0, 10])
def test_requests_of_a_lost_host_do_not_make_their_upstream_slow(output: int):
    """The requests of killed hosts were learned as overdue at idle upstreams."""
    assert expected_after_loss(output, OTHER_HOST) == pytest.approx(1.0, rel=0.05)


@pytest.mark.parametrize("output", [0, 10])
def test_requests_of_the_process_before_do_not_make_their_upstream_slow(output: int):
    """A host that was started again seemed to have the requests of before."""
    found = expected_after_loss(output, HOST, OTHER_HOST, incarnation="2")
    assert found == pytest.approx(1.0, rel=0.05)


@pytest.mark.parametrize("output", [0, 10])
def test_overdue_requests_of_a_host_that_is_heard_are_learned(output: int):
    """An upstream that slows down reports nothing until its work ends."""
    assert expected_after_loss(output, HOST, OTHER_HOST) > 1.2


def test_contact_begins_anew_with_another_process():
    contacts = HostContacts()
    assert contacts.heard_at(HOST, NOW, NOW + 9) == NOW + 9
    contacts.record(HOST, "1", NOW)
    contacts.record(HOST, "1", NOW + 1)
    assert contacts.heard_at(HOST, NOW - 5, NOW + 9) == NOW + 1
    contacts.record(HOST, "2", NOW + 4)
    contacts.record(HOST, "2", NOW + 5)
    assert contacts.heard_at(HOST, NOW, NOW + 9) == NOW + 1
    assert contacts.heard_at(HOST, NOW + 4, NOW + 9) == NOW + 5
    assert contacts.heard_at(OTHER_HOST, NOW, NOW + 9) == NOW + 9
