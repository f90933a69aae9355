"""Request targets in origin form and in absolute form."""

from bitterntiller.components.http.models import Headers

SCHEMES = ("http://", "https://")


def split_target(target: str) -> tuple[str, str | None]:
    """Return path and query of a target, and its host if it is in absolute form."""
    if not target.lower().startswith(SCHEMES):
        return target, None
    rest = target.partition("://")[2]
    end = min((rest.find(mark) for mark in "/?" if mark in rest), default=len(rest))
    path = rest[end:]
    return path if path.startswith("/") else f"/{path}", rest[:end]


def replace_host(headers: Headers, host: str) -> Headers:
    """Return the headers with the host of the target, which takes precedence."""
    kept = [item for item in headers if item[0] != b"host"]
    return [(b"host", host.encode("latin-1")), *kept]
