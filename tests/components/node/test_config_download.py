"""Large configurations that a node loads from control in parts."""

import random
import zlib

import curio
import pytest

from bitterntiller.components.control.config_copies import ConfigCopies
from bitterntiller.components.control.configuration import ConfigurationState
from bitterntiller.components.control.const import MAX_CONFIG_COPIES
from bitterntiller.components.node.config_download import (
    ConfigDownload,
    LoadedConfig,
)
from bitterntiller.components.node.errors import DamagedConfigError
from bitterntiller.core.clock import ManualClock
from bitterntiller.protocol import messages
from tests.components.control.builders import (
    FakeNetwork,
    LinkDownError,
    make_change,
    make_control,
    make_node,
)

ADDRESS = "10.0.0.1:7000"


def make_text(seed, size=200_000):
    return random.Random(seed).randbytes(size // 2).hex().encode()


class FakeConfiguration:
    def __init__(self, version, text):
        self.version = version
        self.text = text


class PartLinks:
    """Replies with the parts of a replica; the calls in lost get no reply."""

    def __init__(self, copies):
        self.copies = copies
        self.offsets = []
        self.lost = set()

    async def async_call(self, address, message, timeout):
        self.offsets.append(message.offset)
        if len(self.offsets) in self.lost:
            raise LinkDownError("no reply")
        return self.copies.part(message)


def announced(copy):
    return messages.ConfigCopy(
        version=copy.version, size=len(copy.data), digest=copy.digest
    )


def load(links, *copies, clock=None):
    download = ConfigDownload(links, clock or ManualClock(), 0.8)

    async def run():
        return [
            await download.async_continue(announced(copy), ADDRESS) for copy in copies
        ]

    return curio.run(run)


def test_lost_part_is_the_only_one_that_is_loaded_again():
    copies = ConfigCopies()
    copy = copies.latest(FakeConfiguration(3, make_text(1)))
    links = PartLinks(copies)
    links.lost = {3}
    assert load(links, copy, copy) == [None, LoadedConfig(3, make_text(1))]
    assert len(links.offsets) == len(set(links.offsets)) + 1


def test_load_ends_although_the_configuration_changes_meanwhile():
    """
    Guards against a load that starts again at each change, and never ends while changes
    come faster than it takes.
    """
    copies = ConfigCopies()
    copy = copies.latest(FakeConfiguration(1, make_text(1)))
    links = PartLinks(copies)
    links.lost = {2}
    for version in range(2, MAX_CONFIG_COPIES + 1):
        newer = copies.latest(FakeConfiguration(version, make_text(version)))
    assert load(links, copy, newer) == [None, LoadedConfig(1, make_text(1))]


def test_load_begins_with_the_latest_version_if_the_first_is_no_longer_kept():
    copies = ConfigCopies()
    copy = copies.latest(FakeConfiguration(1, make_text(1)))
    links = PartLinks(copies)
    for version in range(2, MAX_CONFIG_COPIES + 2):
        newer = copies.latest(FakeConfiguration(version, make_text(version)))
    loaded = LoadedConfig(newer.version, make_text(newer.version))
    assert load(links, copy, newer) == [None, loaded]


def test_copy_of_another_replica_continues_the_load():
    """Guards against a load that starts again when another host becomes leader."""
    first, second = ConfigCopies(), ConfigCopies()
    copy = first.latest(FakeConfiguration(5, make_text(1)))
    assert second.latest(FakeConfiguration(5, make_text(1))) == copy
    links = PartLinks(first)
    links.lost = {2}
    download = ConfigDownload(links, ManualClock(), 0.8)

    async def run():
        assert await download.async_continue(announced(copy), ADDRESS) is None
        links.copies = second
        return await download.async_continue(announced(copy), "10.0.0.2:7000")

    assert curio.run(run) == LoadedConfig(5, make_text(1))
    assert links.offsets.count(0) == 1


def test_part_of_another_document_under_the_same_version_is_refused():
    """Guards against a document joined from the parts of two leaders."""
    ours, other = ConfigCopies(), ConfigCopies()
    copy = ours.latest(FakeConfiguration(5, make_text(1)))
    other.latest(FakeConfiguration(5, make_text(2)))
    links = PartLinks(other)
    assert load(links, copy) == [None]
    assert links.offsets == [0]


def test_damaged_copy_is_not_used():
    copies = ConfigCopies()
    copy = copies.latest(FakeConfiguration(3, make_text(1)))
    links = PartLinks(copies)
    damaged = copy.data[:-1] + bytes([copy.data[-1] ^ 1])
    copies._by_version[3] = copy._replace(data=damaged)
    with pytest.raises(DamagedConfigError):
        load(links, copy)


def test_heartbeats_go_on_during_a_long_load():
    """Guards against a host whose pools are reassigned while it loads."""
    copies, clock = ConfigCopies(), ManualClock()
    copy = copies.latest(FakeConfiguration(3, make_text(1)))
    links = PartLinks(copies)
    call = links.async_call

    async def async_call(address, message, timeout):
        clock.advance(0.5)
        return await call(address, message, timeout)

    links.async_call = async_call
    assert load(links, copy, clock=clock) == [None]
    assert len(links.offsets) == 2


def test_node_without_the_feature_gets_the_whole_document():
    """Guards against hosts of an earlier release that can't load parts."""

    async def run():
        clock, network = ManualClock(), FakeNetwork()
        control, _ = make_control(clock, network)
        await control.async_start(tick=False)
        async with control._runtime.stack:
            text = make_text(1).decode()
            change = make_change("c1", 0, {"filler": text})
            await control.async_change("operator", change)
            heartbeat = make_node(clock, network).make_heartbeat()
            new = await control.async_heartbeat("kirkos-1", heartbeat)
            assert (new.config, new.copy.version) == (None, 1)
            heartbeat.loads_parts = None
            old = await control.async_heartbeat("kirkos-1", heartbeat)
            assert (old.copy, len(old.config) > len(text)) == (None, True)

    curio.run(run)


def test_host_that_is_back_after_weeks_gets_a_lease():
    """Guards against an age of its version that no message can carry."""

    async def run():
        clock, network = ManualClock(), FakeNetwork()
        control, _ = make_control(clock, network)
        await control.async_start(tick=False)
        async with control._runtime.stack:
            node = make_node(clock, network)
            await control.async_change("operator", make_change("c1", 0, {"number": 1}))
            assert await node.async_send_heartbeat()
            await control.async_change("operator", make_change("c2", 1, {"number": 2}))
            clock.advance(40 * 24 * 3600)
            assert await node.async_send_heartbeat()
            assert (node.config.version, node.lease.valid()) == (2, True)

    curio.run(run)


def test_age_of_a_version_counts_from_its_first_successor():
    """Guards against a time limit that starts again with each further change."""
    configuration = ConfigurationState()
    for number, time_ms in ((1, 1000), (2, 2000), (3, 3500)):
        change = make_change(f"c{number}", number - 1, {"number": number})
        configuration.apply(change, time_ms)
    ages = [configuration.superseded_at_ms(version) for version in (0, 1, 2, 3)]
    assert ages == [1000, 2000, 3500, None]
    assert zlib.decompress(ConfigCopies().latest(configuration).data) == (
        configuration.text
    )
