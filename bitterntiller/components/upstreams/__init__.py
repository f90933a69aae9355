"""Announcements of upstreams: set-up."""

from bitterntiller.components.upstreams.coordinator import UpstreamCoordinator
from bitterntiller.core.interfaces import ConfigView, DirectoryView
from bitterntiller.core.runtime import Runtime


def setup(
    runtime: Runtime, config: ConfigView, directory: DirectoryView
) -> UpstreamCoordinator:
    """Return the part that answers announcements; it holds nothing to unload."""
    return UpstreamCoordinator(runtime, config, directory)
