"""Finds out from the owner of a pool where a request would be placed now."""

import json
from typing import Any, NamedTuple

import curio

from bitterntiller.components.config.models import Config, Route, Tier, Workspace
from bitterntiller.components.dispatch.const import (
    PLACEMENT_OK,
    PLACEMENT_PURPOSE,
    PLACEMENT_TIMEOUT,
)
from bitterntiller.components.entry.identify import find_service, has_dot_segment
from bitterntiller.components.entry.routing import (
    ANONYMOUS_WORKSPACE,
    find_route,
    tier_name,
)
from bitterntiller.components.links.const import MAX_FRAME_BYTES
from bitterntiller.components.links.errors import HandshakeError
from bitterntiller.components.links.frames import pack, unpack
from bitterntiller.components.links.handshake import async_read_frame
from bitterntiller.components.operator.errors import RefusedRequestError
from bitterntiller.components.operator.models import PlacementRequest
from bitterntiller.core.interfaces import ConfigView, DirectoryView, Links, Ownership
from bitterntiller.core.timeouts import timeout_after
from bitterntiller.protocol import MalformedMessageError, messages

_TEXT_BY_STATUS = {
    "no-owner": "says that it doesn't own the pool; ask again in some seconds",
    "no-lease": "has lost its configuration lease",
    "no-configuration": "has no configuration yet",
}


class _Target(NamedTuple):
    """What a configuration says of a request; services by weight, times in ms."""

    route: Route | None
    workspace: Workspace
    tier: Tier
    weight_by_service: dict[str, float]
    deadline_ms: int
    first_by_ms: int | None = None
    start_by_ms: int | None = None
    interval_ms: int | None = None


class PlacementFinder:
    """Resolves a request by the configuration in force here and asks the owners."""

    def __init__(
        self, host: str, links: Links, config: ConfigView, directory: DirectoryView
    ) -> None:
        self._host = host
        self._links = links
        self._config = config
        self._directory = directory

    async def async_find(self, request: PlacementRequest) -> dict[str, Any]:
        """Return where a request would go; raise RefusedRequestError."""
        config = self._config.config
        if config is None:
            raise RefusedRequestError(409, "this host has no configuration yet")
        target = resolve(request, config)
        placements = [
            await self._async_ask(request, target, service, weight)
            for service, weight in target.weight_by_service.items()
        ]
        route = target.route
        return {
            "config_version": self._config.version,
            "route": None if route is None else route.name,
            "workspace": target.workspace.name,
            "tier": target.tier.name,
            "rank": target.tier.rank,
            "has_quota": target.workspace.quota is not None,
            "prompt_tokens": request.prompt_tokens,
            "output_tokens": request.output_tokens,
            "placements": placements,
        }

    async def _async_ask(
        self, request: PlacementRequest, target: _Target, service: str, weight: float
    ) -> dict[str, Any]:
        owner = self._directory.owner(service)
        if owner is None:
            raise RefusedRequestError(409, f"pool {service} has no owner")
        message = messages.QueryPlacement(
            pool=service,
            workspace=target.workspace.name,
            tier=target.tier.name,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            deadline_in_ms=target.deadline_ms,
            first_by_ms=target.first_by_ms,
            start_by_ms=target.start_by_ms,
            entry_host=self._host,
            interval_ms=target.interval_ms,
        )
        reply = await self._async_reply(owner, message)
        if reply.status != PLACEMENT_OK:
            text = _TEXT_BY_STATUS.get(reply.status, reply.status)
            raise RefusedRequestError(409, f"{owner.host}, owner of {service}, {text}")
        return {
            "service": service,
            "weight": weight,
            "owner": owner.host,
            "owner_address": owner.address,
            "epoch": owner.epoch,
        } | json.loads(reply.document)

    async def _async_reply(self, owner: Ownership, message: Any) -> Any:
        what = f"{owner.host} ({owner.address}), owner of {message.pool},"
        try:
            async with timeout_after(PLACEMENT_TIMEOUT):
                reply = await self._async_call(owner.address, message)
        except (curio.TaskTimeout, HandshakeError, ValueError, OSError) as error:
            text = f"{what} did not answer: {error!r}"
            raise RefusedRequestError(502, text) from error
        if isinstance(reply, messages.QueryPlacementReply):
            return reply
        text = f"{what} doesn't know this query; it runs an earlier release"
        raise RefusedRequestError(502, text)

    async def _async_call(self, address: str, message: Any) -> Any:
        """Return the reply on a connection of its own, None for any other reply.

        An owner of an earlier release would close the connection that carries the
        messages about requests, as it can't decode this one.
        """
        sock = await self._links.async_open_stream(address, PLACEMENT_PURPOSE)
        try:
            await sock.sendall(pack(message))
            return unpack(await async_read_frame(sock, MAX_FRAME_BYTES)).message
        except MalformedMessageError:
            return None
        finally:
            await sock.close()


def resolve(request: PlacementRequest, config: Config) -> _Target:
    """Return what a configuration says of a request; raise RefusedRequestError."""
    if config.routes_by_host:
        return _resolve_route(request, config)
    workspace = _workspace(request.workspace, config)
    if has_dot_segment(request.path):
        raise RefusedRequestError(400, "the path has a dot segment")
    service = find_service(request.path, config)
    if service is None:
        raise RefusedRequestError(404, f"no service has the path {request.path}")
    if service.name not in workspace.services:
        text = f"workspace {workspace.name} may not use {service.name}"
        raise RefusedRequestError(409, text)
    tier = config.tiers_by_name[workspace.tier]
    weights = {service.name: 1.0}
    return _Target(None, workspace, tier, weights, tier.deadline_ms)


def _resolve_route(request: PlacementRequest, config: Config) -> _Target:
    hosts = list(config.routes_by_host)
    host = request.host.lower()
    if not host and len(hosts) == 1:
        host = hosts[0]
    if not host:
        raise RefusedRequestError(400, f"give a host name: {', '.join(sorted(hosts))}")
    route = find_route(host, request.path, config)
    if route is None:
        raise RefusedRequestError(404, f"no route matches {host}{request.path}")
    workspace = ANONYMOUS_WORKSPACE
    if config.workspaces_by_name and not route.public:
        workspace = _workspace(request.workspace, config)
    return _Target(
        route,
        workspace,
        config.tiers_by_name[tier_name(workspace.rank, route.rank)],
        {share.service: share.weight for share in route.shares},
        deadline_ms=_ms(route.timeout),
        first_by_ms=_ms(route.objective),
        start_by_ms=_ms(min(route.timeout, route.patience)),
        interval_ms=_ms(route.target_output_interval) if route.streams else None,
    )


def _workspace(name: str, config: Config) -> Workspace:
    found = config.workspaces_by_name.get(name)
    if found is None:
        raise RefusedRequestError(404, f"there is no workspace {name}")
    return found


def _ms(seconds: float) -> int:
    return int(seconds * 1000)
