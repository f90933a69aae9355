"""Errors of tunnels."""

from bitterntiller.core.errors import CodedError


class TunnelError(CodedError):
    """Raised when a tunnel can't be opened; nothing was sent through it.

    status is that of a messages.OpenTunnelReply, empty if the host did not reply.
    """

    code = "tunnel"

    def __init__(self, status: str, text: str) -> None:
        super().__init__(text)
        self.status = status
