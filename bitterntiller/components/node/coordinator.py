"""Heartbeats to control and the state received in reply."""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

import curio
from absl import logging

from bitterntiller.components.node.client import ControlClient
from bitterntiller.components.node.config_download import (
    ConfigDownload,
    LoadedConfig,
)
from bitterntiller.components.node.configuration import (
    NodeConfig,
    ParseConfig,
    Prepared,
)
from bitterntiller.components.node.const import (
    ATTEMPTS_PER_LEASE,
    MAX_RETRY_PAUSE,
    RETRY_PAUSE,
    STATUS_GRANTED,
)
from bitterntiller.components.node.directory import NodeDirectory
from bitterntiller.components.node.errors import ConfigGapError, DamagedConfigError
from bitterntiller.components.node.lease import NodeLease
from bitterntiller.components.node.upstreams import NodeUpstreams
from bitterntiller.components.node.versions import NodeVersions
from bitterntiller.components.settings.const import ROLE_CONTROL
from bitterntiller.core import events
from bitterntiller.core.errors import CodedError
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages

Listener = Callable[[], None]
"""Called after a change; must not await."""


class _Preparation(NamedTuple):
    """The result of parsing a reply; usable is False if the node can't apply it."""

    usable: bool
    prepared: Prepared | None


class NodeCoordinator:
    """Sends heartbeats and holds the received lease, configuration and directory.

    lease, config and directory are a core Lease, ConfigView and DirectoryView.
    """

    def __init__(self, runtime: Runtime, parse: ParseConfig) -> None:
        self._runtime = runtime
        self._clock = runtime.clock
        self._timings = runtime.settings.timings
        self._draining = False
        self._request_full_config = False
        self._period = self._timings.heartbeat
        self._reported_lease_valid = False
        self._listeners_by_kind: dict[str, list[Listener]] = {
            "config": [],
            "directory": [],
            "upstreams": [],
        }
        addresses = [str(item) for item in runtime.settings.control.addresses]
        own = str(runtime.settings.listen.peer_address)
        self.control_client = ControlClient(
            runtime.links,
            self._clock,
            addresses,
            self._timings.link_call,
            own if ROLE_CONTROL in runtime.settings.roles else "",
        )
        self.lease = NodeLease(self._clock)
        self.download = ConfigDownload(
            runtime.links, self._clock, self._timings.link_call
        )
        self.config = NodeConfig(parse)
        self.upstreams = NodeUpstreams()
        self.versions = NodeVersions()
        self.directory = NodeDirectory(runtime.settings.host, runtime.incarnation)

    @property
    def hosts_by_name(self) -> dict[str, Any]:
        """The hosts of the directory, models.Host by name."""
        return self.directory.hosts_by_name

    def add_config_listener(self, listener: Listener) -> Callable[[], None]:
        """Call listener after each new configuration; return its removal function."""
        return self._add_listener("config", listener)

    def add_directory_listener(self, listener: Listener) -> Callable[[], None]:
        """Call listener after each new directory; return its removal function."""
        return self._add_listener("directory", listener)

    def add_upstreams_listener(self, listener: Listener) -> Callable[[], None]:
        """Call listener after each new upstream list; return its removal function."""
        return self._add_listener("upstreams", listener)

    def _add_listener(self, kind: str, listener: Listener) -> Callable[[], None]:
        listeners = self._listeners_by_kind[kind]
        listeners.append(listener)

        def remove() -> None:
            if listener in listeners:
                listeners.remove(listener)

        return remove

    def set_draining(self) -> None:
        """Ask control to assign no more pools to this process, for a graceful stop."""
        self._draining = True

    async def async_release_pools(self, pools: list[str], timeout: float) -> bool:
        """Release pools that this process no longer acts for, for a graceful stop.

        Return False if control did not confirm within timeout seconds; the pools then
        move once the owner lease has expired.
        """
        self.set_draining()
        self.directory.release(pools)
        message = messages.ReleasePools(
            host=self._runtime.settings.host,
            incarnation=self._runtime.incarnation,
            pools=pools,
        )
        reply = await self.control_client.async_call_leader(message, timeout)
        return reply is not None and reply.status == "ok"

    async def async_run(self) -> None:
        """Send heartbeats until cancelled."""
        failures = 0
        while True:
            began = self._clock.now()
            granted = await self.async_send_heartbeat(search=failures > 0)
            self._report_lease_change()
            self._report_heartbeat(granted, failures, self._clock.now() - began)
            failures = 0 if granted else failures + 1
            await curio.sleep(self._next_delay(began, failures))

    def _report_heartbeat(self, granted: bool, failures: int, seconds: float) -> None:
        """Log the first heartbeat without an extension of the lease, and the next with.

        failures is the number of failed heartbeats before this one.
        """
        if granted and failures:
            events.emit(
                "heartbeats-resumed",
                failed=failures,
                leader=self.control_client.leader,
                version=self.config.version,
            )
        if granted or failures:
            return
        events.emit(
            "heartbeat-failed",
            leader=self.control_client.leader,
            known=list(self.control_client.addresses),
            error=self.control_client.last_error,
            seconds=round(seconds, 3),
            version=self.config.version,
            lease_left=round(self.lease.remaining(), 3),
        )

    def _next_delay(self, began: float, failures: int) -> float:
        if failures:
            longest = MAX_RETRY_PAUSE if self.lease.valid() else RETRY_PAUSE
            pause = min(RETRY_PAUSE * failures, longest)
            return random.uniform(pause / 2, pause)
        return max(began + self._period - self._clock.now(), 0.0)

    async def async_send_heartbeat(self, search: bool = False) -> bool:
        """Send one heartbeat; return whether it extended the lease.

        With search, it goes to all hosts of control.
        """
        sent_at = self._clock.now()
        reply = await self._async_call_control(search)
        if reply is None or reply.status != STATUS_GRANTED:
            self._runtime.metrics.count("node.heartbeat.failed")
            return False
        self._limit_lease(reply, sent_at)
        if reply.copy is not None and reply.copy.version > self.config.version:
            loaded = await self._async_download(reply.copy)
            if loaded is None:
                return False
            if loaded.version < reply.config_version:
                await self._async_apply_superseded(loaded, reply.term, sent_at)
                return False
            reply.config = loaded.text
        if not self.config.should_parse_in_thread(reply):
            return self.apply_reply(reply, sent_at)
        prepared = await curio.run_in_thread(self._prepare, reply)
        return self._apply_prepared(reply, sent_at, prepared)

    def _limit_lease(self, reply: Any, sent_at: float) -> None:
        """Limit the lease while this node does not have the configuration in a reply.

        The lease alone would let a node in contact with control use the old version for
        longer than config_apply after the change.
        """
        if reply.config_version <= self.config.version:
            return
        superseded_at = sent_at - (reply.superseded_ms or 0) / 1000
        self.lease.limit(superseded_at + self._timings.config_apply)

    async def _async_download(self, copy: Any) -> LoadedConfig | None:
        """Load a configuration; return None if it is not complete yet."""
        loaded = None
        try:
            address = self.control_client.leader
            loaded = await self.download.async_continue(copy, address)
        except DamagedConfigError as error:
            logging.error("cannot load configuration: %s", error)
            self.control_client.last_error = str(error)
            return None
        if loaded is None:
            self._runtime.metrics.count("node.config.download_interrupted")
            self.control_client.last_error = self.download.last_error
        return loaded

    async def _async_apply_superseded(
        self, loaded: LoadedConfig, term: int, sent_at: float
    ) -> None:
        """Put a version in force that is newer than ours, but not the latest.

        The lease is not extended, as it would be valid for the latest version.
        """
        update = messages.HeartbeatReply(
            status=STATUS_GRANTED,
            leader="",
            lease_ms=0,
            config_version=loaded.version,
            config=loaded.text,
            term=term,
        )
        preparation = await curio.run_in_thread(self._prepare, update)
        if preparation.usable and self.config.activate(preparation.prepared):
            self._report_config(update, sent_at)

    async def _async_call_control(self, search: bool) -> Any:
        """Send a heartbeat and return its reply, None without one.

        After a failed one, or without a lease, it goes to all hosts of control. The
        presumed leader may only have been slow: asked again after all the others, of
        which some are down, it would extend the lease too late.
        """
        wait = min(self._timings.link_call, self._timings.lease / ATTEMPTS_PER_LEASE)
        heartbeat = self.make_heartbeat()
        client = self.control_client
        if self.lease.valid() and not search:
            return await client.async_call_once(heartbeat, wait)
        return await client.async_call_all(heartbeat, STATUS_GRANTED, wait)

    def make_heartbeat(self) -> Any:
        """Return a messages.Heartbeat with the current state."""
        settings = self._runtime.settings
        return messages.Heartbeat(
            host=settings.host,
            incarnation=self._runtime.incarnation,
            address=str(settings.listen.peer_address),
            zone=settings.zone,
            roles=list(settings.roles),
            config_version=-1 if self._request_full_config else self.config.version,
            directory_version=self.directory.version,
            draining=self._draining,
            leased=self.lease.valid(),
            upstreams_version=self.upstreams.version,
            rollouts_version=self.versions.version,
            loads_parts=True,
        )

    def apply_reply(self, reply: Any, sent_at: float) -> bool:
        """Apply a granting HeartbeatReply; return whether it extends the lease.

        The lease is valid for the configuration version in the reply. If it were
        extended although that configuration can't be applied, this node would use an
        old one for as long as it can reach control.
        """
        return self._apply_prepared(reply, sent_at, self._prepare(reply))

    def _prepare(self, reply: Any) -> _Preparation:
        """Parse the configuration in a reply; may run in a thread."""
        try:
            return _Preparation(True, self.config.prepare(reply))
        except ConfigGapError as error:
            logging.warning(
                "gap in configuration changes, requesting the whole configuration: %s",
                error,
            )
            self._request_full_config = True
        except (CodedError, ValueError) as error:
            logging.error(
                "cannot apply configuration %d: %s", reply.config_version, error
            )
            self._runtime.metrics.count("node.config.unusable")
        return _Preparation(False, None)

    def _apply_prepared(
        self, reply: Any, sent_at: float, preparation: _Preparation
    ) -> bool:
        if not preparation.usable:
            return False
        config_changed = self.config.activate(preparation.prepared)
        self._request_full_config = False
        self._period = (reply.next_ms or 0) / 1000 or self._timings.heartbeat
        # If it were checked only after the renewal, an expired lease would not be
        # reported, although requests were refused in the meantime.
        self._report_lease_change()
        self.lease.extend(sent_at, reply.lease_ms)
        self._report_lease_change()
        if config_changed:
            self._report_config(reply, sent_at)
        if self.versions.apply(reply.rollouts):
            events.emit("versions", **self.versions.describe())
        if self.upstreams.apply(reply.upstreams):
            self._emit_upstreams()
            self._notify("upstreams")
        if self.directory.apply(reply.directory):
            self.control_client.set_discovered_addresses(self._control_addresses())
            self._notify("directory")
        return True

    def _report_config(self, reply: Any, sent_at: float) -> None:
        """Report that the configuration of a reply is in force."""
        self.config.in_force_since = self._clock.now()
        self._runtime.metrics.gauge("node.config.version", self.config.version)
        events.emit(
            "configuration",
            version=self.config.version,
            term=reply.term,
            bytes=_update_bytes(reply),
            seconds=round(self._clock.now() - sent_at, 3),
        )
        self._notify("config")

    def _emit_upstreams(self) -> None:
        events.emit(
            "upstreams",
            version=self.upstreams.version,
            states={item.name: item.state for item in self.upstreams.by_name.values()},
        )

    def _control_addresses(self) -> list[str]:
        hosts = self.directory.hosts_by_name.values()
        return sorted(host.address for host in hosts if ROLE_CONTROL in host.roles)

    def _notify(self, kind: str) -> None:
        for listener in list(self._listeners_by_kind[kind]):
            listener()

    def _report_lease_change(self) -> None:
        valid = self.lease.valid()
        if valid != self._reported_lease_valid:
            self._reported_lease_valid = valid
            logging.info("configuration lease %s", "acquired" if valid else "lost")
            events.emit("lease", held=valid, leader=self.control_client.leader)
            self._runtime.metrics.gauge("node.lease.valid", int(valid))


def _update_bytes(reply: Any) -> int:
    """Return the bytes of the changes or the document that a reply led to."""
    if reply.config is not None:
        return len(reply.config)
    return sum(len(change.patch) for change in reply.changes or [])
