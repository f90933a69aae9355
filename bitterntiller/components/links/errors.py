"""Errors of the links between hosts."""

from bitterntiller.core.errors import CodedError


class LinkError(CodedError):
    """Raised when a peer can't be reached or did not reply."""

    code = "link-failed"


class LinkUnreachableError(LinkError):
    """Raised when the message certainly did not reach the peer."""

    code = "link-unreachable"


class LinkTimeoutError(LinkError):
    """Raised when no reply came in time; the peer may have received the message."""

    code = "link-timeout"


class LinkFaultError(LinkError):
    """Raised when the peer replied with a fault."""

    code = "link-fault"

    def __init__(self, fault_code: int, text: str) -> None:
        super().__init__(f"{fault_code}: {text}")
        self.fault_code = fault_code


class HandshakeError(LinkError):
    """Raised when a peer fails to prove that it holds the internal key."""

    code = "link-handshake"
