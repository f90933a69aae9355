"""Replicas with real folders and clocks, linked by function calls."""

import os
import shutil

import curio

from bitterntiller.components.replication import storage
from bitterntiller.components.settings.models import Limits
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


def test_commands_survive_the_loss_of_the_leader(tmp_path):
    """The leader's host stops after an operator's change was accepted.

    Another host must lead within seconds and have the change; the first host must
    follow it after its restart.
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


def test_a_partitioned_leader_commits_nothing_and_confirms_nothing(tmp_path):
    """A partitioned leader must not serve operators from old state.

    Its proposal must end as unknown and its confirmation as None while the others
    elect a leader; after the partition it must follow the new leader.
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
    """A host restarts with an empty disk, and then another host fails.

    It joins under a new identity; the repair must be reported as done only once one
    more failure is tolerated again. After the second failure no accepted command may
    be missing.
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


def test_a_command_replaces_a_failed_host(tmp_path):
    """A host has failed permanently, and one more failure would stop control.

    A spare host joins as a learner, which alone must change nothing; the command
    replaces the failed host, and then another failure is tolerated.
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
            assert _voters(leader) == set("abc")
            # A leader that was paused has lost its quorum until it is in contact again.
            await deployment.until(lambda: leader.log.status()["survives_losses"] == 0)
            await _async_until_repaired(deployment, leader, dead, "d")
            assert _voters(leader) == set("abcd") - {dead}
            await deployment.stop(leader.runtime.settings.host)
            assert (await deployment.leader()).machine.commands == ["x"]

    curio.run(run)


def _voters(host) -> set[str]:
    return {m["host"] for m in host.log.status()["members"] if m["voter"]}


async def _async_until_repaired(deployment, leader, host, add=None) -> None:
    """Request a repair from the leader until it is done, for up to ten seconds.

    All replicas share one process here. If the machine pauses it for half a second, the
    leader has lost contact with its quorum and steps down until it is elected again.
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
    """A data folder is restored from a backup, which must not lose accepted changes.

    The others have recorded a later start of that replica, so the copy retires its
    identity, joins as a learner and replaces the old identity.
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
    """A change must not be reported as accepted if its sync failed.

    The proposal ends as unknown, the process is stopped, and no later sync is
    attempted, since it could succeed without the lost data.
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


def test_few_large_entries_are_compacted_too(tmp_path):
    """A host took minutes to start because its log held hundreds of megabytes.

    Commands hold groups of claims, so the ten thousand entries after which the log was
    compacted are more than a million claims. The bytes of the log must count as well.
    """
    limits = Limits(memory_bytes=16 * 4000)

    async def run():
        async with deployed(
            tmp_path, "a", snapshot_entries=10_000, limits=limits
        ) as deployment:
            host = await deployment.leader()
            for _ in range(6):
                await host.log.async_propose(b"x" * 1000, 2.0)
            assert host.log.status()["snapshot_index"] > 0

    curio.run(run)
