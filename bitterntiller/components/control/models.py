"""What control keeps; all times are cluster time in milliseconds."""

from typing import NamedTuple


class ChangeOutcome(NamedTuple):
    """The recorded outcome of a change of the configuration.

    digest names the content, so that an id used for other content is noticed.
    version is the one that the reply carried.
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
    """What names a claim."""

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
    """What a leader knows of a process; times in seconds of its clock.

    unleased_since is the arrival of the first of the latest heartbeats that all
    told of no valid lease; None when the last one told of a lease.
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
