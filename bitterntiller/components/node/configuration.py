"""The configuration in force on a node."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from bitterntiller.components.config.models import Config
from bitterntiller.components.control.merge_patch import apply_patch
from bitterntiller.components.node.const import LARGE_CONFIG_BYTES
from bitterntiller.components.node.errors import ConfigGapError

ParseConfig = Callable[[dict[str, Any], int], Config]


class Prepared(NamedTuple):
    """A parsed configuration that is not yet in force; size is in bytes."""

    document: dict[str, Any]
    config: Config
    size: int


class NodeConfig:
    """The configuration in force; its version only increases. A core ConfigView."""

    def __init__(self, parse: ParseConfig) -> None:
        self._parse = parse
        self._document: dict[str, Any] = {}
        self._size = 0
        self._config = Config(0, {}, {}, {}, {})
        self.in_force_since: float | None = None

    @property
    def version(self) -> int:
        """The version in force, 0 before the first configuration."""
        return self._config.version

    @property
    def config(self) -> Config:
        """The parsed configuration in force."""
        return self._config

    def apply(self, reply: Any) -> bool:
        """Apply the update in a messages.HeartbeatReply; return whether one was new."""
        return self.activate(self.prepare(reply))

    def prepare(self, reply: Any) -> Prepared | None:
        """Parse the update in a messages.HeartbeatReply; None if it is not newer.

        It changes no state, so it may run in a thread. A reply may arrive after a newer
        one, from the same leader or from one deposed since; it is then ignored. Raise
        ConfigGapError if the changes do not follow the version in force, and CodedError
        if the document is invalid; the version in force then remains.
        """
        if reply.config_version <= self.version:
            return None
        if reply.config is not None:
            document = json.loads(reply.config)
            return self._parsed(document, reply.config_version, len(reply.config))
        document = self._document
        version = self.version
        for change in reply.changes or []:
            if change.version <= version:
                continue
            if change.version != version + 1:
                raise ConfigGapError(
                    f"version {change.version} does not follow {version}"
                )
            document = apply_patch(document, json.loads(change.patch))
            version = change.version
        if version != reply.config_version:
            raise ConfigGapError(f"changes end at {version} of {reply.config_version}")
        return self._parsed(document, version, self._size_after(reply))

    def _parsed(self, document: dict[str, Any], version: int, size: int) -> Prepared:
        return Prepared(document, self._parse(document, version), size)

    def _size_after(self, reply: Any) -> int:
        """Return at most how many bytes the document has after the changes."""
        return self._size + sum(len(change.patch) for change in reply.changes or [])

    def should_parse_in_thread(self, reply: Any) -> bool:
        """Return whether the update in a reply takes milliseconds to parse."""
        if reply.config_version <= self.version:
            return False
        size = self._size_after(reply) if reply.config is None else len(reply.config)
        return size > LARGE_CONFIG_BYTES

    def activate(self, prepared: Prepared | None) -> bool:
        """Put a configuration in force; return False if it is None or not newer."""
        if prepared is None or prepared.config.version <= self.version:
            return False
        self._document, self._config, self._size = prepared
        return True
