"""Asks the leader of control what may have begun the streams of a route."""

from bitterntiller.components.config.models import Route
from bitterntiller.components.stream_versions.candidates import StreamCandidates
from bitterntiller.components.stream_versions.const import FIND_TIMEOUT, STATUS_OK
from bitterntiller.components.stream_versions.models import Beginning
from bitterntiller.core.clock import Clock
from bitterntiller.core.interfaces import ControlCalls
from bitterntiller.protocol import messages


class LeaderQuery:
    """The leader knows the services and versions from before this host was started.

    Its reply is confirmed by a majority after the request arrived.
    """

    def __init__(
        self, clock: Clock, control: ControlCalls, candidates: StreamCandidates
    ) -> None:
        self._clock = clock
        self._control = control
        self._candidates = candidates

    async def async_ask(self, route: Route) -> tuple[Beginning, ...] | None:
        """Return all that may have begun a stream of a route, None without a leader."""
        services = self._candidates.services(route, self._clock.now())
        request = messages.GetVersions(
            pools=sorted(services), route_host=route.host, route_prefix=route.prefix
        )
        reply = await self._control.async_call_leader(request, FIND_TIMEOUT)
        if reply is None or reply.status != STATUS_OK:
            return None
        return tuple(
            Beginning(item.pool, version)
            for item in reply.services
            for version in item.versions
        )
