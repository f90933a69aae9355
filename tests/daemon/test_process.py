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


def test_state_dump_has_every_component_and_no_secrets(tmp_path):
    """No section of the state dump may be an error.

    The section of dispatch was one on hosts that own a pool: a module of dispatch had
    the name of the function that describes the pools and shadowed it.
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
