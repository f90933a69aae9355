"""Determine the route, workspace, service, tier and deadline of a request.

Used instead of the paths of services if the configuration has routes.
"""

import random

from bitterntiller.components.config.models import (
    Config,
    Route,
    RouteKind,
    Selector,
    Service,
    Tier,
    Workspace,
)
from bitterntiller.components.entry.authentication import find_workspace_by_token
from bitterntiller.components.entry.models import IdentifiedRequest, ReceivedRequest
from bitterntiller.core.outcomes import Ending, Outcome, Reason

ANONYMOUS_WORKSPACE = Workspace("", (), "", (), Selector(), {})
"""The workspace of requests that don't need a token."""


def identify_by_route(
    received: ReceivedRequest, config: Config
) -> IdentifiedRequest | Ending:
    """Return the request with its route, service, tier and deadline, or a refusal."""
    route = find_route(received.host, received.head.path, config)
    if route is None:
        return _refusal(Reason.NO_SUCH_SERVICE, 404, "no route matches")
    workspace = ANONYMOUS_WORKSPACE
    if config.workspaces_by_name and not route.public:
        found = find_workspace_by_token(received.token, config)
        if found is None:
            return _refusal(Reason.UNAUTHORIZED, 401, "no workspace has this token")
        workspace = found
    continued = received.continued if route.kind is RouteKind.RESUMABLE else None
    if continued is not None and continued.problem:
        return _refusal(Reason.BAD_REQUEST, 400, continued.problem)
    service = choose_service(route, config, random.random())
    seconds = route.timeout
    if received.deadline_ms is not None:
        seconds = min(seconds, received.deadline_ms / 1000)
    return IdentifiedRequest(
        received=received,
        workspace=workspace,
        service=service,
        tier=_tier(workspace, route, config),
        deadline=received.arrived + seconds,
        idempotent=route.repeatable,
        config_version=config.version,
        route=route,
        first_by=received.arrived + route.objective,
        start_by=received.arrived + min(seconds, route.patience),
    )


def find_route(host: str, path: str, config: Config) -> Route | None:
    """Return the route of a host with the longest prefix of a path.

    Prefixes begin and end with a slash, so only prefixes up to a slash are looked up.
    """
    routes_by_prefix = config.routes_by_host.get(host)
    if routes_by_prefix is None:
        return None
    end = path.rfind("/")
    while end >= 0:
        route = routes_by_prefix.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def choose_service(route: Route, config: Config, draw: float) -> Service:
    """Return the service that a random number from 0 to 1 selects by weight."""
    if len(route.shares) == 1:
        return config.services_by_name[route.shares[0].service]
    left = draw * sum(share.weight for share in route.shares)
    chosen = route.shares[-1]
    for share in route.shares:
        left -= share.weight
        if left < 0:
            chosen = share
            break
    return config.services_by_name[chosen.service]


def tier_name(workspace_rank: int, route_rank: int) -> str:
    """Return the name of the tier for a workspace's rank and a route's rank."""
    return f"{workspace_rank}.{route_rank}"


def _tier(workspace: Workspace, route: Route, config: Config) -> Tier:
    return config.tiers_by_name[tier_name(workspace.rank, route.rank)]


def _refusal(reason: Reason, status: int, detail: str) -> Ending:
    return Ending(Outcome.NOT_RUN, reason, status, detail=detail)
