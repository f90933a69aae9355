"""What comes in at the operator port, and what it asks of other parts."""

from typing import Any, NamedTuple, Protocol, TypedDict


class ControlCalls(Protocol):
    """Calls to the leader of control, wherever it is."""

    async def async_call_leader(self, message: Any, timeout: float) -> Any:
        """Return the leader's reply, None without one in timeout seconds.

        Without a reply, or with one of status unknown, it is open whether the
        message was carried out.
        """
        ...


class AnnouncedUpstream(TypedDict):
    """An upstream as its pool's owner knows it, for the check of selectors."""

    name: str
    service: str
    labels: dict[str, str]


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
