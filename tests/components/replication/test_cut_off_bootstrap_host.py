"""A bootstrap host that was cut off while the first membership was formed."""

import shutil

import curio
import pytest

from bitterntiller.protocol import messages

from . import builders
from .builders import Deployment, FakeLinks


@pytest.mark.parametrize("lost", ["ac", "a"])
def test_cut_off_bootstrap_host_forms_no_second_deployment(tmp_path, monkeypatch, lost):
    """Two of three bootstrap hosts lost their disks, and it began a second log."""
    fresh, first = set(), [True]
    deployment = Deployment(tmp_path, "abc", spare="de", voters=5)
    names = {str(deployment.address(name)): name for name in "abcde"}
    call, real = FakeLinks.async_call, builders.Control

    async def async_call(self, address, message, timeout):
        reply = await call(self, address, message, timeout)
        if first[0] and self.host == "a" and isinstance(message, messages.Join):
            if reply.status == "fresh":
                fresh.add(names[address])
            if fresh >= {"b", "c"}:
                deployment.hosts["b"].runtime.links.cut = True
        return reply

    def control(addresses, bootstrap, *rest):
        # As on the platform: three seeds, and bootstrap only at the first start.
        return real(addresses[:3], bootstrap if first[0] else (), *rest)

    monkeypatch.setattr(FakeLinks, "async_call", async_call)
    monkeypatch.setattr(builders, "Control", control)

    async def run():
        try:
            for name in "abc":
                await deployment.start(name)
            leader = await deployment.leader()
            cut = deployment.hosts["b"].runtime.links
            assert cut.cut
            first[0] = False
            for name in "de":
                await deployment.start(name)
            result = await leader.log.async_propose(b"x", 8.0)
            assert result.status == "committed"
            for name in lost:
                await deployment.stop(name)
                shutil.rmtree(tmp_path / name)
            for name in lost:
                await deployment.start(name)
            cut.cut = False
            await curio.sleep(9.0)
            leaders = [h for h in deployment.hosts.values() if h.log.is_leader()]
            assert leaders or len(lost) > 1
            assert all(h.machine.commands == ["x"] for h in leaders)
        finally:
            for name in list(deployment.hosts):
                await deployment.stop(name)

    curio.run(run)
