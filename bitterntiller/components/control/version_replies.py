"""Replies to hosts that ask what may have begun the streams of a route."""

from typing import Any

from bitterntiller.components.control.const import STATUS_OK
from bitterntiller.components.control.state import ControlState
from bitterntiller.protocol import messages


def versions_reply(
    state: ControlState, request: Any, since_ms: int, leader: str
) -> Any:
    """Return the reply of a confirmed leader to a messages.GetVersions.

    It has the versions since a cluster time of the services that the request names and
    of those that its route led to since then, sorted by service.
    """
    names = set(request.pools)
    if request.route_host is not None and request.route_prefix is not None:
        key = (request.route_host, request.route_prefix)
        names |= state.route_services.services(key, since_ms)
    services = [
        messages.ServiceVersions(
            pool=name, versions=state.service_versions.recent(name, since_ms)
        )
        for name in sorted(names)
    ]
    return messages.GetVersionsReply(status=STATUS_OK, leader=leader, services=services)
