"""Checks selectors against the declared labels and the labels of upstreams."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from bitterntiller.components.config import const
from bitterntiller.components.config.models import Config, Selector, Service
from bitterntiller.core.problems import KeyPath, Problem


class LabelledUpstream(NamedTuple):
    """An upstream, as far as selectors depend on it."""

    name: str
    service: str
    labels: Mapping[str, str]


class _LocatedSelector(NamedTuple):
    """A selector with its key path and the services whose upstreams it selects from."""

    path: KeyPath
    selector: Selector
    services: tuple[str, ...]


def find_vocabulary_problems(config: Config) -> Iterator[Problem]:
    """Yield problems for labels and values that the configuration does not declare.

    A configuration without labels at its top level declares no vocabulary, so it has
    no such problems.
    """
    if not config.values_by_label:
        return
    for located in _located_selectors(config):
        for path, label, values in _labels_used(located):
            known = config.values_by_label.get(label)
            if known is None:
                yield Problem(path, f"unknown label {label}")
                continue
            for index, value in enumerate(values):
                if value not in known:
                    text = f"unknown value {value} of label {label}"
                    yield Problem((*path, index), text)


def find_upstream_problems(
    config: Config, upstreams: list[LabelledUpstream]
) -> Iterator[Problem]:
    """Yield problems for labels that no upstream has and selectors that match none."""
    for located in _located_selectors(config):
        candidates = [item for item in upstreams if item.service in located.services]
        known = {label for item in candidates for label in item.labels}
        for path, label, _ in _labels_used(located):
            if label not in known:
                yield Problem(path, f"no upstream has the label {label}")
    yield from _find_unmatched_selectors(config, upstreams)


def _find_unmatched_selectors(
    config: Config, upstreams: list[LabelledUpstream]
) -> Iterator[Problem]:
    upstreams_by_service = {
        name: _upstreams_of_service(service, upstreams)
        for name, service in config.services_by_name.items()
    }
    for name, chosen in upstreams_by_service.items():
        if not chosen:
            path = (const.CONF_SERVICES, name, const.CONF_SELECTOR)
            yield Problem(path, "matches no upstream of the service")
    every = [item for chosen in upstreams_by_service.values() for item in chosen]
    for name, tier in config.tiers_by_name.items():
        if every and not _matching_upstreams(tier.selector, every):
            path = (const.CONF_TIERS, name, const.CONF_SELECTOR)
            yield Problem(path, "matches no upstream of any service")
    for name in config.workspaces_by_name:
        yield from _find_unmatched_workspace_selector(
            config, name, upstreams_by_service
        )


def _find_unmatched_workspace_selector(
    config: Config,
    name: str,
    upstreams_by_service: dict[str, list[LabelledUpstream]],
) -> Iterator[Problem]:
    """Check a workspace's selector alone, then combined with that of its tier."""
    workspace = config.workspaces_by_name[name]
    tier = config.tiers_by_name[workspace.tier]
    path = (const.CONF_WORKSPACES, name, const.CONF_SELECTOR)
    for service in workspace.services:
        offered = upstreams_by_service[service]
        chosen = _matching_upstreams(workspace.selector, offered)
        if offered and not chosen:
            yield Problem(path, f"matches no upstream of service {service}")
        elif chosen and not _matching_upstreams(tier.selector, chosen):
            text = f"with the selector of tier {tier.name}, matches no upstream of"
            yield Problem(path, f"{text} service {service}")


def _upstreams_of_service(
    service: Service, upstreams: list[LabelledUpstream]
) -> list[LabelledUpstream]:
    own = [item for item in upstreams if item.service == service.name]
    return _matching_upstreams(service.selector, own)


def _matching_upstreams(
    selector: Selector, upstreams: list[LabelledUpstream]
) -> list[LabelledUpstream]:
    return [item for item in upstreams if selector.matches(dict(item.labels))]


def _located_selectors(config: Config) -> Iterator[_LocatedSelector]:
    everywhere = tuple(config.services_by_name)
    key = const.CONF_SELECTOR
    for name, service in config.services_by_name.items():
        yield _LocatedSelector(
            (const.CONF_SERVICES, name, key), service.selector, (name,)
        )
    for name, tier in config.tiers_by_name.items():
        yield _LocatedSelector((const.CONF_TIERS, name, key), tier.selector, everywhere)
    for name, workspace in config.workspaces_by_name.items():
        path = (const.CONF_WORKSPACES, name, key)
        yield _LocatedSelector(path, workspace.selector, workspace.services)


def _labels_used(
    located: _LocatedSelector,
) -> Iterator[tuple[KeyPath, str, tuple[str, ...]]]:
    """Yield the path, name and values of each label in a selector."""
    for label, values in located.selector.match.items():
        yield (*located.path, const.CONF_MATCH, label), label, values
    for label, values in located.selector.exclude.items():
        yield (*located.path, const.CONF_EXCLUDE, label), label, values
