"""What replicas hold while large commands come fast, in bytes."""

import curio
import pytest

from bitterntiller.components.settings.models import Limits

from .builders import LastMachine, deployed

LIMITS = Limits(memory_bytes=8 * 1024 * 1024, disk_bytes=64 * 1024 * 1024)
LOG_BYTES = LIMITS.memory_bytes // 8
COMMAND = b"c" * 50_000
COUNT = 80
AT_ONCE = 6


async def async_propose_all(deployment, count=COUNT):
    """Commit that many commands, several at once, whoever leads."""
    left = list(range(count))

    async def propose_some():
        while left:
            number = left.pop()
            command = COMMAND + b"%d" % number
            while True:
                leader = await deployment.leader()
                result = await leader.log.async_propose(command, 2.0)
                if result.status == "committed":
                    break

    async with curio.TaskGroup() as group:
        for _ in range(AT_ONCE):
            await group.spawn(propose_some)


async def async_watch(deployment, most):
    """Record what each part of each host holds at most, by host and name."""
    while True:
        for name, host in deployment.hosts.items():
            for part, held in host.runtime.memory.measure().items():
                key = (name, part)
                most[key] = max(most.get(key, 0), held.now)
        await curio.sleep(0.002)


@pytest.mark.parametrize("down", ["", "c"])
def test_log_in_memory_stays_within_its_bytes(tmp_path, down):
    """Control hosts were killed over their memory: 1000 entries of any size stayed."""

    async def run():
        async with deployed(
            tmp_path, "abc", limits=LIMITS, machine=LastMachine
        ) as deployment:
            await deployment.leader()
            if down:
                await deployment.stop(down)
            most = {}
            watch = await curio.spawn(async_watch, deployment, most)
            await async_propose_all(deployment)
            await watch.cancel()
            for name in deployment.hosts:
                assert most[name, "replication.log"] <= LOG_BYTES + len(COMMAND)

    curio.run(run)


def test_what_was_read_at_the_start_is_not_kept(tmp_path):
    """A restarted host kept all entries of its old log for as long as it ran."""

    async def run():
        async with deployed(
            tmp_path, "a", limits=LIMITS, machine=LastMachine
        ) as deployment:
            await deployment.leader()
            await async_propose_all(deployment, 8)
            await deployment.stop("a")
            host = await deployment.start("a")
            await deployment.leader()
            held_by_name = host.runtime.memory.measure()
            assert host.machine.count == 8
            assert held_by_name["replication.restored"].now == 0
            assert held_by_name["replication.log"].now <= LOG_BYTES

    curio.run(run)


def test_commands_beyond_the_room_are_refused_while_a_quorum_is_away(tmp_path):
    """Commands piled up in memory, up to 20000 of any size, while none was committed.

    They are refused with a status of their own; small ones still have room, and no
    command is lost once the quorum is back.
    """

    async def run():
        async with deployed(
            tmp_path, "abc", limits=LIMITS, machine=LastMachine
        ) as deployment:
            leader = await deployment.leader()
            others = [h for h in deployment.hosts.values() if h is not leader]
            for other in others:
                other.runtime.links.cut = True
            statuses = []

            async def propose(command):
                result = await leader.log.async_propose(command, 5.0)
                statuses.append(result.status)

            async with curio.TaskGroup() as group:
                for number in range(12):
                    await group.spawn(propose, COMMAND + b"%d" % number)
                    await curio.sleep(0)
                held = leader.runtime.memory.measure()["replication.log"].now
                await group.spawn(propose, b"small")
                await curio.sleep(0.05)
                for other in others:
                    other.runtime.links.cut = False
            assert held <= LIMITS.memory_bytes // 32
            assert statuses.count("full") == 9
            assert statuses.count("committed") == 4
            assert leader.machine.count == 4

    curio.run(run)
