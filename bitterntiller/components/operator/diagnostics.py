"""The dump of a process's state."""

from collections.abc import Callable
from typing import Any

from bitterntiller.components.operator import const
from bitterntiller.core.interfaces import Diagnostics
from bitterntiller.core.runtime import Runtime


def make_dump(runtime: Runtime) -> Callable[[], dict[str, Any]]:
    """Return what makes the dump of a process.

    The upstreams that the dispatch part has heard of stand at its top level,
    where the check of selectors looks for them.
    """

    def dump() -> dict[str, Any]:
        settings = runtime.settings
        diagnostics = runtime.diagnostics_by_component.items()
        shares = {name: _component_state(runtime, get) for name, get in diagnostics}
        return {
            "host": settings.host,
            "zone": settings.zone,
            "region": settings.region,
            "roles": list(settings.roles),
            "incarnation": runtime.incarnation,
            const.ATTR_UPSTREAMS: shares.pop(const.ATTR_UPSTREAMS, []),
            "components": shares,
        }

    return dump


def _component_state(runtime: Runtime, diagnostics: Diagnostics) -> Any:
    # A dump is wanted most when something is wrong. A component whose share
    # fails must not hide the others; its error stands in its place.
    try:
        return diagnostics()
    except Exception as error:
        runtime.metrics.count(const.METRIC_DIAGNOSTICS_ERROR)
        return {"error": repr(error)}
