"""Messages between the hosts: set-up and unloading."""

from bitterntiller.components.links.coordinator import LinkCoordinator
from bitterntiller.components.links.diagnostics import describe
from bitterntiller.core.runtime import Runtime


async def async_setup(runtime: Runtime, links: LinkCoordinator) -> None:
    """Listen for peers; unloaded with the runtime's stack."""
    runtime.stack.push_async_callback(links.async_close)
    await runtime.async_spawn(links.async_serve(runtime))
    runtime.add_diagnostics("links", lambda: describe(links))
