"""The configuration in force on a node."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from bitterntiller.components.config.const import CONF_WORKSPACES
from bitterntiller.components.config.models import Config
from bitterntiller.components.control.merge_patch import apply_patch
from bitterntiller.components.node.const import (
    LARGE_CONFIG_BYTES,
    LARGE_CONFIG_WORKSPACES,
)
from bitterntiller.components.node.errors import ConfigGapError

ParseConfig = Callable[[dict[str, Any], int], Config]


class Prepared(NamedTuple):
    """A configuration that was parsed and is not yet in force."""

    document: dict[str, Any]
    config: Config


class NodeConfig:
    """Applies versions in order only, never a lower one; a core ConfigView."""

    def __init__(self, parse: ParseConfig) -> None:
        self._parse = parse
        self._document: dict[str, Any] = {}
        self._config = Config(0, {}, {}, {}, {})

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self._config.version

    @property
    def config(self) -> Config:
        """The parsed configuration in force."""
        return self._config

    def apply(self, reply: Any) -> bool:
        """Apply what a messages.HeartbeatReply carries; tell if it changed."""
        return self.activate(self.prepare(reply))

    def prepare(self, reply: Any) -> Prepared | None:
        """Parse what a messages.HeartbeatReply carries; None for nothing newer.

        Changes nothing, so it may run in a thread. A reply may arrive after a
        newer one, from the same leader or from one deposed since; what it
        carries is then dropped. Raise ConfigGapError when the changes start
        after the version in force, and CodedError when the document can't be
        read; the version in force stays.
        """
        if reply.config_version <= self.version:
            return None
        if reply.config is not None:
            return self._parsed(json.loads(reply.config), reply.config_version)
        document = self._document
        version = self.version
        for change in reply.changes or []:
            if change.version <= version:
                continue
            if change.version != version + 1:
                raise ConfigGapError(f"version {change.version} follows {version}")
            document = apply_patch(document, json.loads(change.patch))
            version = change.version
        if version != reply.config_version:
            raise ConfigGapError(f"changes up to {version} of {reply.config_version}")
        return self._parsed(document, version)

    def _parsed(self, document: dict[str, Any], version: int) -> Prepared:
        return Prepared(document, self._parse(document, version))

    def should_parse_in_thread(self, reply: Any) -> bool:
        """Tell whether preparing a messages.HeartbeatReply takes milliseconds."""
        if reply.config_version <= self.version:
            return False
        if len(reply.config or b"") > LARGE_CONFIG_BYTES:
            return True
        workspaces = self._document.get(CONF_WORKSPACES, {})
        return len(workspaces) > LARGE_CONFIG_WORKSPACES

    def activate(self, prepared: Prepared | None) -> bool:
        """Put a configuration in force; False for none, or an older one."""
        if prepared is None or prepared.config.version <= self.version:
            return False
        self._document, self._config = prepared
        return True
