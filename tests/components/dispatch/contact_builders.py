"""An owner of one upstream that hears from entry hosts, or doesn't."""

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
