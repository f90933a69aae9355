"""The client side of control in each process: lease, configuration, directory."""

from functools import partial

from bitterntiller.components.config.parse import parse_config
from bitterntiller.components.node import diagnostics
from bitterntiller.components.node.configuration import ParseConfig
from bitterntiller.components.node.coordinator import NodeCoordinator
from bitterntiller.core.runtime import Runtime


async def async_setup(
    runtime: Runtime, parse: ParseConfig = parse_config
) -> NodeCoordinator:
    """Send heartbeats to control until the process unloads.

    parse validates and parses configuration documents.
    """
    node = NodeCoordinator(runtime, parse)
    runtime.add_diagnostics("node", partial(diagnostics.describe, node))
    await runtime.async_spawn(node.async_run())
    return node
