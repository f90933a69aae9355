"""The operator port: configuration, state dump, control, rollouts and crashes."""

from bitterntiller.components.http.buffered import BodyBudget, async_serve_buffered
from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.http.server import HttpServer, ServerLimits
from bitterntiller.components.operator import const
from bitterntiller.components.operator.coordinator import OperatorCoordinator
from bitterntiller.components.operator.diagnostics import make_dump
from bitterntiller.components.operator.placement import PlacementFinder
from bitterntiller.core.interfaces import (
    ConfigView,
    ControlCalls,
    CrashRegister,
    DirectoryView,
)
from bitterntiller.core.runtime import Runtime


async def async_setup(
    runtime: Runtime,
    control: ControlCalls,
    crashes: CrashRegister,
    config: ConfigView,
    directory: DirectoryView,
) -> OperatorCoordinator:
    """Serve the operator port until the process unloads."""
    settings = runtime.settings
    timings = settings.timings
    coordinator = OperatorCoordinator(
        settings.keys.operator,
        control,
        make_dump(runtime),
        runtime.metrics,
        crashes,
        PlacementFinder(settings.host, runtime.links, config, directory),
    )
    limits = ServerLimits(
        head_bytes=const.MAX_HEAD_BYTES,
        connections=const.MAX_CONNECTIONS,
        head_timeout=timings.head,
        keep_alive=timings.keep_alive,
        write_timeout=timings.caller_write,
    )

    budget = BodyBudget(settings.limits.memory_bytes // const.BODY_MEMORY_PARTS)
    held_bytes = (lambda: budget.held_bytes, budget.max_bytes)
    runtime.memory.add("operator.bodies", *held_bytes)

    async def async_exchange(exchange: Exchange) -> None:
        await async_serve_buffered(
            exchange, coordinator, const.MAX_BODY_BYTES, timings.body, budget
        )

    server = HttpServer(
        settings.listen.operator, limits, async_exchange, runtime.metrics
    )
    await runtime.async_spawn(server.async_serve(runtime))
    return coordinator
