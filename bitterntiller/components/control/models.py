"""Data types of control; times are cluster time in milliseconds unless stated."""

from typing import NamedTuple


class ChangeOutcome(NamedTuple):
    """The recorded outcome of a change of the configuration.

    digest identifies the content, to detect a change id reused for other content.
    version is the one in the reply.
    """

    status: str
    version: int
    base_version: int
    digest: str
    time_ms: int


class Owner(NamedTuple):
    """The process that owns a pool; epoch is the index of its log entry."""

    host: str
    incarnation: str
    address: str
    epoch: int


class ClaimKey(NamedTuple):
    """The identity of a claim."""

    workspace: str
    key: str


class ClaimRecord(NamedTuple):
    """A claim; state is running, finished or voided."""

    state: str
    digest: str
    host: str
    incarnation: str
    address: str
    upstream: str
    request_id: str
    outcome: str
    http_status: int
    time_ms: int


class Session(NamedTuple):
    """The leader's record of a process; times in seconds of the leader's clock.

    unleased_since is when the first in the latest run of heartbeats without a valid
    lease arrived; None if the last heartbeat reported a lease.
    """

    host: str
    incarnation: str
    address: str
    zone: str
    roles: tuple[str, ...]
    config_version: int
    draining: bool
    last_heartbeat_at: float
    unleased_since: float | None
