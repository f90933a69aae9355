"""The dump of a process's state."""

from collections.abc import Callable
from typing import Any

from bitterntiller.components.operator import const
from bitterntiller.core.interfaces import Diagnostics
from bitterntiller.core.runtime import Runtime


def make_dump(runtime: Runtime) -> Callable[[], dict[str, Any]]:
    """Return a function that makes the dump of a process.

    The upstreams known to the dispatch component are at its top level, where the check
    of selectors looks for them.
    """

    def dump() -> dict[str, Any]:
        settings = runtime.settings
        diagnostics = runtime.diagnostics_by_component.items()
        state_by_component = {
            name: _component_state(runtime, get) for name, get in diagnostics
        }
        return {
            "host": settings.host,
            "zone": settings.zone,
            "region": settings.region,
            "roles": list(settings.roles),
            "incarnation": runtime.incarnation,
            const.ATTR_UPSTREAMS: state_by_component.pop(const.ATTR_UPSTREAMS, []),
            "components": state_by_component,
        }

    return dump


def _component_state(runtime: Runtime, diagnostics: Diagnostics) -> Any:
    # A dump is needed most when something is wrong: a component that fails must not
    # hide the others, so its error is included instead.
    try:
        return diagnostics()
    except Exception as error:
        runtime.metrics.count(const.METRIC_DIAGNOSTICS_ERROR)
        return {"error": repr(error)}
