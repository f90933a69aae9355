"""The session of every process with control: lease, configuration, directory."""

from functools import partial

from bitterntiller.components.config.parse import parse_config
from bitterntiller.components.node import diagnostics
from bitterntiller.components.node.coordinator import NodeCoordinator
from bitterntiller.core.runtime import Runtime


async def async_setup(runtime: Runtime) -> NodeCoordinator:
    """Send heartbeats to control until the process unloads."""
    node = NodeCoordinator(runtime, parse_config)
    runtime.add_diagnostics("node", partial(diagnostics.describe, node))
    await runtime.async_spawn(node.async_run())
    return node
