"""What comes in at the operator port, and what it asks of other parts."""

from typing import NamedTuple


class ChangeRequest(NamedTuple):
    """A change of the configuration; config is the JSON document as it came."""

    change_id: str
    base_version: int
    config: bytes


class RepairRequest(NamedTuple):
    """An exchange of a control replica; empty strings for what is not wanted.

    remove is the identity of a replica; add is the name of a host and address
    its internal address.
    """

    remove: str
    add: str
    address: str


class RolloutRequest(NamedTuple):
    """The order to move a service to upstreams of another version within a time."""

    pool: str
    to: str
    duration_ms: int
