"""When a new deployment confirms its first command."""

import curio

from bitterntiller.components.replication import formation

from .builders import deployed

PROPOSE_SECONDS = 6.0


def voters(host) -> int:
    return sum(member["voter"] for member in host.log.status()["members"])


def test_first_command_is_confirmed_by_the_full_membership_only(tmp_path):
    """Confirmed by three of five hosts, it was lost with the disks of two of them."""

    async def run():
        async with deployed(tmp_path, "abc", spare="de", voters=5) as deployment:
            leader = await deployment.leader()
            proposal = await curio.spawn(
                leader.log.async_propose, b"x", PROPOSE_SECONDS
            )
            await curio.sleep(0.5)
            for name in "de":
                await deployment.start(name)
            assert (await proposal.join()).status == "committed"
            assert voters(leader) == 5

    curio.run(run)


def test_first_command_is_confirmed_without_hosts_that_stay_away(tmp_path, monkeypatch):
    """A deployment with fewer hosts than its settings want must take changes."""
    monkeypatch.setattr(formation, "FORMATION_TIMEOUT", 1.0)

    async def run():
        async with deployed(tmp_path, "abc", spare="de", voters=5) as deployment:
            leader = await deployment.leader()
            early = await leader.log.async_propose(b"x", 0.1)
            assert early.status == "unknown"
            late = await leader.log.async_propose(b"x", PROPOSE_SECONDS)
            assert late.status == "committed"
            assert leader.machine.commands == ["x"]
            again = await leader.log.async_propose(b"y", 0.5)
            assert again.status == "committed"
            await deployment.stop(leader.runtime.settings.host)
            leader = await deployment.leader()
            assert (await leader.log.async_propose(b"z", 0.5)).status == "committed"

    curio.run(run)
