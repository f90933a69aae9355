"""The search for the leader of control by a node that knows none."""

import curio

from bitterntiller.components.links.errors import LinkUnreachableError
from bitterntiller.components.node.client import ControlClient
from bitterntiller.core.clock import ManualClock
from bitterntiller.protocol import messages

GRANTED = "granted"


def reply(status: str, leader: str = "") -> messages.HeartbeatReply:
    return messages.HeartbeatReply(
        status=status, leader=leader, lease_ms=0, config_version=0, term=0
    )


class FakeLinks:
    """Replies by address after a delay; an address without a reply is unreachable."""

    def __init__(self, answer_by_address):
        self.answer_by_address = answer_by_address
        self.called = []

    async def async_call(self, address, message, timeout):
        self.called.append(address)
        if address not in self.answer_by_address:
            raise LinkUnreachableError(address)
        seconds, answer = self.answer_by_address[address]
        await curio.sleep(seconds)
        return answer


def search(answer_by_address, addresses=("a:1", "b:1", "c:1"), own=""):
    links = FakeLinks(answer_by_address)
    client = ControlClient(links, ManualClock(), list(addresses), 0.5, own)
    found = curio.run(client.async_call_all, "heartbeat", GRANTED, 0.5)
    return found, client, links


def test_leader_is_found_in_one_call():
    """Guards against a host without a lease that calls control hosts one by one.

    The first ones are down, and each costs a timeout during which requests are refused.
    """
    granted = reply(GRANTED)
    found, client, _ = search({"c:1": (0.0, granted), "b:1": (9.0, None)})
    assert found is granted
    assert client.leader == "c:1"


def test_leader_outside_the_settings_is_called():
    """The leader of control is on a host that is not in the settings."""
    granted = reply(GRANTED)
    refused = reply("not-leader", "x:1")
    found, client, links = search({"a:1": (0.0, refused), "x:1": (0.0, granted)})
    assert found is granted
    assert (client.leader, links.called[-1]) == ("x:1", "x:1")


def test_no_host_leads():
    refused = reply("not-leader")
    found, client, _ = search({"a:1": (0.0, refused), "b:1": (0.0, refused)})
    assert found is None
    assert client.leader == "a:1"


def test_control_host_asks_its_own_replica_for_the_leader():
    """All hosts of its settings are down, and it found no leader for good."""
    granted = reply(GRANTED)
    refused = reply("not-leader", "x:1")
    found, _, _ = search({"own:1": (0.0, refused), "x:1": (0.0, granted)}, own="own:1")
    assert found is granted


def test_changed_settings_keep_the_own_replica_and_the_hosts_of_the_directory():
    client = ControlClient(FakeLinks({}), ManualClock(), ["a:1"], 0.5, "own:1")
    client.set_discovered_addresses(["d:1", "a:1"])
    client.set_seed_addresses(["b:1"])
    assert set(client.addresses) >= {"own:1", "d:1", "b:1"}


def test_outdated_hint_does_not_end_the_search():
    """A host that named a lost leader first kept the reply of the next one away."""
    granted = reply(GRANTED)
    outdated = reply("not-leader", "lost:1")
    found, client, _ = search({"a:1": (0.0, outdated), "b:1": (0.05, granted)})
    assert found is granted
    assert client.leader == "b:1"
