"""Replicas with real folders and time, links replaced by calls."""

import os
import shutil

import curio

from bitterntiller.components.replication import coordinator, storage
from bitterntiller.protocol import messages

from .builders import deployed


def test_a_single_host_commits_and_keeps_its_log(tmp_path):
    async def run():
        async with deployed(tmp_path, "a") as deployment:
            host = await deployment.leader()
            result = await host.log.async_propose(b"x", 2.0)
            assert (result.status, result.result) == ("committed", b"1")
            assert host.log.leader() == str(deployment.address("a"))
            await deployment.stop("a")
            host = await deployment.start("a")
            await deployment.leader()
            assert host.machine.commands == ["x"]

    curio.run(run)


def test_commands_outlive_their_leader(tmp_path):
    """An operator's change was accepted, then the leader's host stops.

    Another host leads within seconds and has the change; the first comes back
    and follows.
    """

    async def run():
        async with deployed(tmp_path, "abc") as deployment:
            old = await deployment.leader()
            assert (await old.log.async_propose(b"x", 2.0)).status == "committed"
            name = old.runtime.settings.host
            await deployment.stop(name)
            new = await deployment.leader()
            assert (await new.log.async_propose(b"y", 2.0)).status == "committed"
            back = await deployment.start(name)
            await deployment.until(lambda: back.machine.commands == ["x", "y"])
            refused = await back.log.async_propose(b"z", 1.0)
            assert refused.status == "not-leader"
            assert refused.leader == new.log.leader()

    curio.run(run)


def test_a_cut_off_leader_commits_nothing_and_confirms_nothing(tmp_path):
    """A host behind a cut goes on answering operators from an old state.

    Its proposal must end as unknown, its confirmation as None, while the others
    elect a leader; after the cut it follows that one.
    """

    async def run():
        async with deployed(tmp_path, "abc") as deployment:
            old = await deployment.leader()
            old.runtime.links.cut = True
            assert (await old.log.async_propose(b"lost", 3.0)).status == "unknown"
            assert await old.log.async_confirm(0.5) is None
            new = await deployment.leader()
            assert new is not old
            assert (await new.log.async_propose(b"kept", 2.0)).status == "committed"
            old.runtime.links.cut = False
            await deployment.until(lambda: old.machine.commands == ["kept"])

    curio.run(run)


def test_a_lost_disk_is_replaced_and_a_second_loss_survived(tmp_path):
    """A host comes back with an empty disk, and then another one dies.

    It joins under a new identity; the repair is reported done only when one more
    loss is survived again. After the second loss nothing accepted is missing.
    """

    async def run():
        async with deployed(tmp_path, "abc", snapshot_entries=5) as deployment:
            leader = await deployment.leader()
            for number in range(12):
                await leader.log.async_propose(b"%d" % number, 2.0)
            lost = next(n for n in "abc" if deployment.hosts[n] is not leader)
            await deployment.stop(lost)
            assert (await leader.log.async_propose(b"12", 2.0)).status == "committed"
            await deployment.until(lambda: leader.log.status()["survives_losses"] == 0)
            shutil.rmtree(tmp_path / lost)
            await deployment.start(lost)
            await _async_until_repaired(deployment, leader, lost)
            leader = await deployment.leader()
            assert leader.log.status()["survives_losses"] == 1
            await deployment.stop(leader.runtime.settings.host)
            new = await deployment.leader()
            expected = [str(number) for number in range(13)]
            await deployment.until(lambda: new.machine.commands == expected)

    curio.run(run)


def test_another_host_takes_the_place_of_a_dead_one_by_command(tmp_path):
    """A host is gone for good, and one more loss would end control.

    A spare host joins as a learner and changes nothing by itself; the command
    replaces the dead one, and then another loss is survived.
    """

    async def run():
        async with deployed(tmp_path, "abc", spare="d") as deployment:
            leader = await deployment.leader()
            await leader.log.async_propose(b"x", 2.0)
            dead = next(n for n in "abc" if deployment.hosts[n] is not leader)
            await deployment.stop(dead)
            spare = await deployment.start("d")
            await deployment.until(lambda: spare.machine.commands == ["x"])
            await curio.sleep(0.5)
            assert leader.log.status()["survives_losses"] == 0
            await _async_until_repaired(deployment, leader, dead, "d")
            voters = [m["host"] for m in leader.log.status()["members"] if m["voter"]]
            assert sorted(voters) == sorted(set("abcd") - {dead})
            await deployment.stop(leader.runtime.settings.host)
            assert (await deployment.leader()).machine.commands == ["x"]

    curio.run(run)


async def _async_until_repaired(deployment, leader, host, add=None) -> None:
    """Ask the leader for a repair until it is done, for ten seconds.

    All replicas share one process here. When the machine stops it for half a second the
    leader has heard no quorum and leads no more until it is elected again.
    """
    repair = messages.Repair(remove=host, add=add or host, address="")
    links = leader.runtime.links
    async with curio.timeout_after(10):
        while True:
            if not leader.log.leader():
                await curio.sleep(0.05)
                continue
            reply = await links.async_call(leader.log.leader(), repair, 1.0)
            if reply.status == "done":
                return
            assert reply.status == "running"
            await curio.sleep(0.05)


def test_an_old_copy_of_a_folder_gets_a_new_identity(tmp_path):
    """A backup of a data folder is put back, and accepted changes vanish.

    The others remember a later start of that replica, so the copy gives up its
    identity, joins as a learner and replaces the old one.
    """

    async def run():
        async with deployed(tmp_path, "abc") as deployment:
            leader = await deployment.leader()
            name = next(n for n in "abc" if deployment.hosts[n] is not leader)
            shutil.copytree(tmp_path / name, tmp_path / "copy")
            await leader.log.async_propose(b"x", 2.0)
            old = deployment.hosts[name].log.status()["replica"]
            await deployment.until(lambda: deployment.hosts[name].machine.commands)
            await deployment.stop(name)
            shutil.rmtree(tmp_path / name)
            shutil.copytree(tmp_path / "copy", tmp_path / name)
            back = await deployment.start(name)
            await _async_until_repaired(deployment, leader, name)
            assert back.log.status()["replica"] != old
            assert back.machine.commands == ["x"]

    curio.run(run)


def test_a_failed_sync_stops_the_process(tmp_path, monkeypatch):
    """The disk is full or broken, and a change would be said to be accepted.

    The proposal ends as unknown, the process is told to stop, and no later sync
    is tried, since it could succeed without the lost data.
    """

    async def run():
        async with deployed(tmp_path, "a") as deployment:
            host = await deployment.leader()
            calls = []

            def fail(fd):
                calls.append(fd)
                raise OSError(28, "No space left on device")

            monkeypatch.setattr(storage.os, "fdatasync", fail)
            assert (await host.log.async_propose(b"x", 2.0)).status == "unknown"
            assert host.runtime.failure.code == "storage-failed"
            assert (await host.log.async_propose(b"y", 1.0)).status == "not-leader"
            assert len(calls) == 1
            monkeypatch.undo()

    curio.run(run)
    assert os.path.exists(tmp_path / "a" / "replication" / "identity")


def test_few_large_entries_are_cut_from_the_log_too(tmp_path, monkeypatch):
    """A host takes minutes to start: its log holds hundreds of megabytes.

    Claims come in groups, so that ten thousand entries, after which the log is cut,
    are more than a million claims. The bytes of the log count as well.
    """
    monkeypatch.setattr(coordinator, "SNAPSHOT_BYTES", 4000)

    async def run():
        async with deployed(tmp_path, "a", snapshot_entries=10_000) as deployment:
            host = await deployment.leader()
            for _ in range(6):
                await host.log.async_propose(b"x" * 1000, 2.0)
            assert host.log.status()["snapshot_index"] > 0

    curio.run(run)
