import json

import curio

from bitterntiller.components.operator.diagnostics import make_dump
from bitterntiller.components.settings.load import load_settings
from bitterntiller.core.clock import RuntimeClock
from bitterntiller.daemon.process import async_setup_parts, make_runtime
from tests.cli.builders import free_port
from tests.components.settings.builders import settings_value, write_settings


async def async_dump(settings):
    runtime = make_runtime(settings, RuntimeClock())
    async with runtime.stack:
        await async_setup_parts(runtime)
        return make_dump(runtime)()


def test_every_part_of_a_process_describes_itself_without_secrets(tmp_path):
    """An operator looks into a host that owns a pool.

    He would find an error in place of the pools: a module of the dispatch part
    had got the name of the function that describes them, and hidden it.
    """
    listen = {
        key: f"127.0.0.1:{free_port()}" for key in ("caller", "internal", "operator")
    }
    value = settings_value(
        roles=["entry", "dispatch", "control"],
        listen=listen,
        control={"addresses": [listen["internal"]], "bootstrap": ["bole-a"]},
        data_folder="data",
    )
    dump = curio.run(async_dump, load_settings(write_settings(tmp_path, value)))
    shares = dump["components"]
    parts = {"metrics", "links", "control", "node", "dispatch", "entry"}
    assert parts <= shares.keys()
    assert [name for name, share in shares.items() if "error" in share] == []
    assert dump["upstreams"] == []
    assert "-key" not in json.dumps(dump)
