"""Parsed requests to the operator port."""

from typing import NamedTuple


class ChangeRequest(NamedTuple):
    """A change of the configuration; config is the JSON document as received."""

    change_id: str
    base_version: int
    config: bytes


class RepairRequest(NamedTuple):
    """The replacement of a control replica; empty strings for steps not requested.

    remove is the identity of a replica; add is the name of a host and address its
    internal address.
    """

    remove: str
    add: str
    address: str


class BlockRequest(NamedTuple):
    """An order to keep a request or a part of prompts from upstreams for a time."""

    fingerprint: int
    seconds: float


class PlacementRequest(NamedTuple):
    """A request of a workspace whose placement an operator asks about."""

    workspace: str
    path: str
    host: str
    prompt_tokens: int
    output_tokens: int


class RolloutRequest(NamedTuple):
    """An order to move a service to another version within a time limit."""

    pool: str
    to: str
    duration_ms: int
