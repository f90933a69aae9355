"""The dump of a process's state."""

from collections.abc import Callable, Mapping
from typing import Any

from bitterntiller.components.operator import const
from bitterntiller.components.operator.models import AnnouncedUpstream
from bitterntiller.core.interfaces import Diagnostics
from bitterntiller.core.runtime import Runtime


def make_dump(
    runtime: Runtime, announced: Callable[[], list[AnnouncedUpstream]]
) -> Callable[[], dict[str, Any]]:
    """Return what makes the dump of a process.

    announced gives the upstreams of the pools that this process owns.
    """

    def dump() -> dict[str, Any]:
        settings = runtime.settings
        shares = runtime.diagnostics_by_component.items()
        return {
            "host": settings.host,
            "zone": settings.zone,
            "region": settings.region,
            "roles": list(settings.roles),
            "incarnation": runtime.incarnation,
            "upstreams": announced(),
            "components": {name: _share(runtime, get) for name, get in shares},
        }

    return dump


def _share(runtime: Runtime, diagnostics: Diagnostics) -> Mapping[str, Any]:
    # A dump is wanted most when something is wrong. A component whose share
    # fails must not hide the others; its error stands in its place.
    try:
        return diagnostics()
    except Exception as error:
        runtime.metrics.count(const.METRIC_DIAGNOSTICS_ERROR)
        return {"error": repr(error)}
