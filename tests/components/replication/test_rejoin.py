import shutil
from contextlib import AsyncExitStack, asynccontextmanager

import curio

from bitterntiller.components import control, links, replication
from bitterntiller.components.settings.load import load_settings
from bitterntiller.core.clock import RuntimeClock
from bitterntiller.daemon.process import make_runtime
from tests.cli.builders import free_port
from tests.components.settings.builders import settings_value, write_settings

HOSTS = ("a", "b", "c")
PATIENCE = 30.0


def write_hosts(folder):
    """Write the settings of three control hosts; return the files by host."""
    ports = {host: [free_port() for _ in range(3)] for host in HOSTS}
    addresses = [f"127.0.0.1:{ports[host][1]}" for host in HOSTS]
    files = {}
    for host in HOSTS:
        (folder / host).mkdir()
        names = ("caller", "internal", "operator")
        listen = zip(names, (f"127.0.0.1:{port}" for port in ports[host]), strict=True)
        value = settings_value(
            host=host,
            roles=["control"],
            listen=dict(listen),
            control={"addresses": addresses, "bootstrap": list(HOSTS)},
            data_folder="data",
        )
        files[host] = write_settings(folder / host, value)
    return files


@asynccontextmanager
async def running(file):
    """Run links and control of a host; yield the function that describes control."""
    runtime = make_runtime(load_settings(file), RuntimeClock())
    async with runtime.stack:
        await links.async_setup(runtime, runtime.links)
        coordinator = await control.async_setup(runtime, replication.async_setup)
        yield coordinator.describe


async def async_until(describes, condition):
    """Wait until the log of some host meets a condition; return that log."""
    async with curio.timeout_after(PATIENCE):
        while True:
            for describe in describes:
                log = describe()["log"]
                if condition(log):
                    return log
            await curio.sleep(0.05)


def is_whole(log):
    return log["survives_losses"] == 1 and len(log["members"]) == 3


async def async_lose_and_return(files):
    async with AsyncExitStack() as stack:
        kept = [await stack.enter_async_context(running(files[key])) for key in "ab"]
        async with running(files["c"]) as third:
            before = await async_until([*kept, third], is_whole)
        shutil.rmtree(files["c"].parent / "data")
        await async_until(kept, lambda log: log["survives_losses"] == 0)
        async with running(files["c"]) as third:
            return before, await async_until([*kept, third], is_whole)


def replica_of(log, host):
    (member,) = (item for item in log["members"] if item["host"] == host)
    assert member["voter"]
    return member["replica"]


def test_host_with_an_empty_disk_becomes_a_voter_again(tmp_path):
    """A host restarts with an empty disk after its disk was lost.

    It stayed a learner, and the further losses survived stayed 0, so that the next
    loss stopped control. The learner knew no member of the log, and therefore had no
    address for its replies to the leader.
    """
    files = write_hosts(tmp_path)
    before, after = curio.run(async_lose_and_return, files)
    assert replica_of(before, "c") != replica_of(after, "c")
    assert replica_of(before, "a") == replica_of(after, "a")
