"""Set-up of the links, which carry messages between hosts."""

from bitterntiller.components.links.coordinator import LinkCoordinator
from bitterntiller.components.links.diagnostics import describe
from bitterntiller.core.runtime import Runtime


async def async_setup(runtime: Runtime, links: LinkCoordinator) -> None:
    """Listen for peers until the runtime's stack is unwound."""
    runtime.stack.push_async_callback(links.async_close)
    await runtime.async_spawn(links.async_serve(runtime))
    budget, add = links.budget, runtime.memory.add
    add("links.queued", lambda: budget.queued_bytes, budget.max_queued_bytes)
    add("links.calls", lambda: budget.calls_bytes, budget.max_calls_bytes)
    runtime.add_diagnostics("links", lambda: describe(links))
