"""Parses the JSON document of a configuration into a Config."""

from collections.abc import Iterator, Mapping
from typing import Any

from bitterntiller.components.config import const
from bitterntiller.components.config.errors import ConfigError
from bitterntiller.components.config.models import (
    Config,
    Selector,
    Service,
    Tier,
    Workspace,
)
from bitterntiller.components.config.schema import SCHEMA
from bitterntiller.core.problems import Problem
from bitterntiller.core.schema import find_problems


def parse_config(document: Mapping[str, Any], version: int) -> Config:
    """Validate a document and return its Config.

    An empty document is a configuration without services. Raise ConfigError
    with all problems found. The result depends on the arguments alone.
    """
    checked, problems = find_problems(SCHEMA, document)
    if problems:
        raise ConfigError(problems)
    problems = list(_find_cross_problems(checked))
    if problems:
        raise ConfigError(problems)
    return _build(checked, version)


def _find_cross_problems(checked: dict[str, Any]) -> Iterator[Problem]:
    """Yield the problems that involve several keys."""
    yield from _find_path_problems(checked[const.CONF_SERVICES])
    yield from _find_rank_problems(checked[const.CONF_TIERS])
    yield from _find_reference_problems(checked)
    yield from _find_token_problems(checked[const.CONF_WORKSPACES])


def _find_path_problems(services: dict[str, Any]) -> Iterator[Problem]:
    services_by_path: dict[str, str] = {}
    for service_name, service in services.items():
        for index, prefix in enumerate(service[const.CONF_PATHS]):
            other = services_by_path.setdefault(prefix, service_name)
            if other != service_name:
                path = (const.CONF_SERVICES, service_name, const.CONF_PATHS, index)
                yield Problem(path, f"{prefix} is a path of service {other} too")
        for index, prefix in enumerate(service[const.CONF_IDEMPOTENT_PATHS]):
            if prefix.startswith(service[const.CONF_PATHS]):
                continue
            key = const.CONF_IDEMPOTENT_PATHS
            path = (const.CONF_SERVICES, service_name, key, index)
            yield Problem(path, f"{prefix} is under no path of this service")


def _find_rank_problems(tiers: dict[str, Any]) -> Iterator[Problem]:
    tiers_by_rank: dict[int, str] = {}
    for tier_name, tier in tiers.items():
        other = tiers_by_rank.setdefault(tier[const.CONF_RANK], tier_name)
        if other != tier_name:
            path = (const.CONF_TIERS, tier_name, const.CONF_RANK)
            yield Problem(path, f"is the rank of tier {other} too")


def _find_reference_problems(checked: dict[str, Any]) -> Iterator[Problem]:
    for workspace_name, workspace in checked[const.CONF_WORKSPACES].items():
        path = (const.CONF_WORKSPACES, workspace_name)
        tier = workspace[const.CONF_TIER]
        if tier not in checked[const.CONF_TIERS]:
            yield Problem((*path, const.CONF_TIER), f"there is no tier {tier}")
        for index, service in enumerate(workspace[const.CONF_SERVICES]):
            if service not in checked[const.CONF_SERVICES]:
                key = (*path, const.CONF_SERVICES, index)
                yield Problem(key, f"there is no service {service}")


def _find_token_problems(workspaces: dict[str, Any]) -> Iterator[Problem]:
    workspaces_by_token: dict[str, str] = {}
    for workspace_name, workspace in workspaces.items():
        for index, token in enumerate(workspace[const.CONF_TOKEN_SHA256]):
            other = workspaces_by_token.setdefault(token, workspace_name)
            if other != workspace_name:
                key = const.CONF_TOKEN_SHA256
                path = (const.CONF_WORKSPACES, workspace_name, key, index)
                yield Problem(path, f"is a token of workspace {other} too")


def _build(checked: dict[str, Any], version: int) -> Config:
    workspaces = {
        key: Workspace(
            name=key,
            token_sha256=value[const.CONF_TOKEN_SHA256],
            tier=value[const.CONF_TIER],
            services=value[const.CONF_SERVICES],
            selector=Selector(**value[const.CONF_SELECTOR]),
            labels=value[const.CONF_LABELS],
        )
        for key, value in checked[const.CONF_WORKSPACES].items()
    }
    return Config(
        version=version,
        services_by_name={
            key: Service(
                name=key,
                kind=value[const.CONF_KIND],
                paths=value[const.CONF_PATHS],
                idempotent_paths=value[const.CONF_IDEMPOTENT_PATHS],
                selector=Selector(**value[const.CONF_SELECTOR]),
                labels=value[const.CONF_LABELS],
            )
            for key, value in checked[const.CONF_SERVICES].items()
        },
        tiers_by_name={
            key: Tier(
                name=key,
                rank=value[const.CONF_RANK],
                deadline_ms=value[const.CONF_DEADLINE_MS],
                selector=Selector(**value[const.CONF_SELECTOR]),
            )
            for key, value in checked[const.CONF_TIERS].items()
        },
        workspaces_by_name=workspaces,
        workspaces_by_token={
            token: workspace
            for workspace in workspaces.values()
            for token in workspace.token_sha256
        },
        values_by_label=checked[const.CONF_LABELS],
    )
