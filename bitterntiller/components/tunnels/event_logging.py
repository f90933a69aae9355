"""Log events of ways to upstreams."""

from typing import Any

from bitterntiller.components.tunnels.client import Destination
from bitterntiller.core import events


def log_tunnel(
    destination: Destination, relay: str, status: str, detail: str, seconds: float
) -> None:
    """Log whether a tunnel through another host was opened for a request."""
    _emit(
        "tunnel",
        destination,
        relay=relay,
        status=status,
        detail=detail,
        seconds=round(seconds, 4),
    )


def log_path(
    destination: Destination, reached: bool, detail: str, fault: str = ""
) -> None:
    """Log that this host lost or regained its path to an upstream."""
    _emit(
        "path",
        destination,
        reached=reached,
        fault=fault,
        detail=detail,
    )


def log_path_check(
    destination: Destination, fault: str, result: str, seconds: float
) -> None:
    """Log what a check of a path after a lost response has found."""
    _emit(
        "path-check",
        destination,
        fault=fault,
        result=result,
        seconds=round(seconds, 4),
    )


def _emit(kind: str, destination: Destination, **fields: Any) -> None:
    events.emit(
        kind,
        request=destination.request_id,
        upstream=destination.upstream,
        address=destination.address,
        **fields,
    )
