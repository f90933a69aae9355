"""Set-up of the links, which carry messages between hosts."""

from bitterntiller.components.links.coordinator import LinkCoordinator
from bitterntiller.components.links.diagnostics import describe
from bitterntiller.core.runtime import Runtime


async def async_setup(runtime: Runtime, links: LinkCoordinator) -> None:
    """Listen for peers until the runtime's stack is unwound."""
    runtime.stack.push_async_callback(links.async_close)
    await runtime.async_spawn(links.async_serve(runtime))
    runtime.memory.add("links.queued", lambda: links.queued_bytes)
    runtime.memory.add("links.calls", lambda: links.calls_bytes)
    runtime.add_diagnostics("links", lambda: describe(links))
