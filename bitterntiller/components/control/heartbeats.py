"""Replies to heartbeats: lease, updates, and the interval to the next heartbeat."""

from typing import Any

from bitterntiller.components.control.config_copies import ConfigCopies
from bitterntiller.components.control.configuration import ConfigurationState
from bitterntiller.components.control.const import (
    HEARTBEATS_PER_SECOND,
    INLINE_CONFIG_BYTES,
    MIN_HEARTBEATS_PER_LEASE,
    NEW_HOST_HEARTBEAT_INTERVAL,
    STATUS_GRANTED,
)
from bitterntiller.components.control.leader import LeaderTerm
from bitterntiller.components.control.state import ControlState
from bitterntiller.components.settings.models import Timings
from bitterntiller.protocol import messages

MAX_MILLISECONDS = 2**31 - 1
"""Durations in messages have 32 bits; a host may be back after weeks."""


def granted_reply(
    heartbeat: Any,
    term: LeaderTerm,
    state: ControlState,
    copies: ConfigCopies,
    timings: Timings,
    leader: str,
    now: float,
) -> Any:
    """Return the reply that grants a lease; call it after confirming leadership.

    The reply carries the latest configuration committed on this replica. It contains
    every change accepted before the heartbeat was sent, because leadership was
    confirmed after the heartbeat arrived. A node that still uses an older version
    therefore sent its last successful heartbeat before the change was accepted, and
    its lease ends one lease duration after that.
    """
    configuration = state.configuration
    reply = messages.HeartbeatReply(
        status=STATUS_GRANTED,
        leader=leader,
        lease_ms=int(timings.lease * 1000),
        config_version=configuration.version,
        term=term.term,
        next_ms=int(_next_interval(heartbeat, term, timings) * 1000),
    )
    if heartbeat.config_version != configuration.version:
        _add_configuration(reply, heartbeat, state.configuration, copies)
        superseded_at = state.configuration.superseded_at_ms(heartbeat.config_version)
        if superseded_at is not None:
            age_ms = term.cluster_ms(now) - superseded_at
            reply.superseded_ms = max(0, min(age_ms, MAX_MILLISECONDS))
    upstreams = state.upstreams
    if heartbeat.upstreams_version not in (None, upstreams.version):
        reply.upstreams = messages.UpstreamList(
            version=upstreams.version, upstreams=list(upstreams.by_name.values())
        )
    rollouts = state.rollouts
    if heartbeat.rollouts_version not in (None, rollouts.version):
        reply.rollouts = rollouts.rules_list()
    if heartbeat.directory_version != term.directory.current.version:
        reply.directory = term.directory.current
    return reply


def _add_configuration(
    reply: Any, heartbeat: Any, configuration: ConfigurationState, copies: ConfigCopies
) -> None:
    """Add the changes, the document, or the copy that the node loads in parts."""
    patches = configuration.patches_since(heartbeat.config_version)
    size = len(configuration.text)
    if patches is not None:
        size = sum(len(patch.data or b"") for patch in patches)
    if heartbeat.loads_parts and size > INLINE_CONFIG_BYTES:
        copy = copies.latest(configuration)
        reply.copy = messages.ConfigCopy(
            version=copy.version, size=len(copy.data), digest=copy.digest
        )
        return
    if patches is None:
        reply.config = configuration.text
        return
    reply.changes = [
        messages.ConfigChange(version=patch.version, patch=patch.data)
        for patch in patches
    ]


def _next_interval(heartbeat: Any, term: LeaderTerm, timings: Timings) -> float:
    """Return the seconds until the next heartbeat, fewer for a host without a lease.

    After all hosts restart, the first ones to send heartbeats get a directory without
    the others. If they received the others only a whole interval later, they would
    choose different owners.
    """
    hosts = len(term.sessions.by_host)
    usual = heartbeat_interval(hosts, timings)
    if (
        not heartbeat.leased
        and hosts <= HEARTBEATS_PER_SECOND * NEW_HOST_HEARTBEAT_INTERVAL
    ):
        return min(usual, NEW_HOST_HEARTBEAT_INTERVAL)
    return usual


def rejected_reply(status: str, leader: str) -> Any:
    """Return a reply without a lease."""
    return messages.HeartbeatReply(
        status=status, leader=leader, lease_ms=0, config_version=0, term=0
    )


def heartbeat_interval(sessions: int, timings: Timings) -> float:
    """Return the seconds between a node's heartbeats for a number of sessions."""
    wanted = max(timings.heartbeat, sessions / HEARTBEATS_PER_SECOND)
    return min(wanted, max(timings.heartbeat, timings.lease / MIN_HEARTBEATS_PER_LEASE))
