"""Announcements of upstreams over HTTP."""

from bitterntiller.components.upstreams.coordinator import UpstreamCoordinator
from bitterntiller.core.interfaces import ConfigView, DirectoryView
from bitterntiller.core.runtime import Runtime


def setup(
    runtime: Runtime, config: ConfigView, directory: DirectoryView
) -> UpstreamCoordinator:
    """Return the handler of announcements; it has nothing to unload."""
    return UpstreamCoordinator(runtime, config, directory)
