"""Determine the workspace, service, tier and deadline of a request."""

from bitterntiller.components.config.models import Config, Service, Tier, Workspace
from bitterntiller.components.entry import const
from bitterntiller.components.entry.authentication import find_workspace_by_token
from bitterntiller.components.entry.models import IdentifiedRequest, ReceivedRequest
from bitterntiller.components.entry.routing import identify_by_route
from bitterntiller.core.outcomes import Ending, Outcome, Reason


def identify(received: ReceivedRequest, config: Config) -> IdentifiedRequest | Ending:
    """Return the request with workspace, service, tier and deadline, or a refusal."""
    if config.routes_by_host:
        return identify_by_route(received, config)
    workspace = find_workspace_by_token(received.token, config)
    if workspace is None:
        return _refusal(Reason.UNAUTHORIZED, 401, "no workspace has this token")
    if has_dot_segment(received.head.path):
        return _refusal(Reason.BAD_REQUEST, 400, "the path has a dot segment")
    service = find_service(received.head.path, config)
    if service is None:
        return _refusal(Reason.NO_SUCH_SERVICE, 404, "no service has this path")
    if service.name not in workspace.services:
        text = f"workspace {workspace.name} may not use {service.name}"
        return _refusal(Reason.NOT_ALLOWED, 403, text)
    tier = _tier(received.tier, workspace, config)
    if isinstance(tier, Ending):
        return tier
    deadline_ms = received.deadline_ms
    if deadline_ms is None:
        deadline_ms = tier.deadline_ms
    return IdentifiedRequest(
        received=received,
        workspace=workspace,
        service=service,
        tier=tier,
        deadline=received.arrived + deadline_ms / 1000,
        idempotent=_idempotent(received, service),
        config_version=config.version,
    )


def revalidate(identified: IdentifiedRequest, config: Config) -> Ending | None:
    """Check a request against a newer configuration; return a refusal or None.

    None means that it is still allowed, for the same service and tier. A request may
    wait longer than a change takes to come into force, and would otherwise run under a
    configuration that no longer applies anywhere. A routed request keeps the
    configuration under which it arrived, since its route bounds its wait.
    """
    if identified.route is not None:
        return None
    current = identify(identified.received, config)
    if isinstance(current, Ending):
        return current
    same = (identified.service.name, identified.tier.name)
    if (current.service.name, current.tier.name) != same:
        detail = "the configuration has changed"
        return _refusal(Reason.NOT_ALLOWED, 403, detail)
    return None


def find_service(path: str, config: Config) -> Service | None:
    """Return the service with the longest path prefix of this path."""
    found: Service | None = None
    longest = -1
    for service in config.services_by_name.values():
        for prefix in service.paths:
            if has_prefix(path, prefix) and len(prefix) > longest:
                found = service
                longest = len(prefix)
    return found


def has_dot_segment(path: str) -> bool:
    """Return whether a path has a "." or ".." segment, also if percent-encoded.

    The upstream would resolve it to a path outside the prefix by which the service was
    selected and authorized.
    """
    if "." not in path and "%" not in path:
        return False
    plain = path.lower().replace("%2e", ".").replace("%2f", "/").replace("%5c", "/")
    segments = plain.replace("\\", "/").split("/")
    return "." in segments or ".." in segments


def has_prefix(path: str, prefix: str) -> bool:
    """Return whether a path is equal to or below a prefix, by whole segments."""
    if path == prefix:
        return True
    return path.startswith(prefix if prefix.endswith("/") else prefix + "/")


def _tier(name: str, workspace: Workspace, config: Config) -> Tier | Ending:
    highest = config.tiers_by_name[workspace.tier]
    if not name:
        return highest
    tier = config.tiers_by_name.get(name)
    if tier is None:
        return _refusal(Reason.BAD_REQUEST, 400, "X-Tier names no tier")
    if tier.rank < highest.rank:
        text = f"workspace {workspace.name} has at most tier {highest.name}"
        return _refusal(Reason.NOT_ALLOWED, 403, text)
    return tier


def _idempotent(received: ReceivedRequest, service: Service) -> bool:
    if received.head.method in const.IDEMPOTENT_METHODS:
        return True
    path = received.head.path
    return any(has_prefix(path, prefix) for prefix in service.idempotent_paths)


def _refusal(reason: Reason, status: int, detail: str) -> Ending:
    return Ending(Outcome.NOT_RUN, reason, status, detail=detail)
