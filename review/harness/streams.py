"""A requester that reads a stream."""

import http.client
import socket

from .fleet import FRONT_PORT, KEY


def ask_stream(ip: str, path: str, attempt: str, seconds: float, **more: str) -> str:
    """Return the status line and the received body; END follows a whole response."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: trees.example",
        f"Authorization: Token {KEY}",
        f"X-Attempt-Id: {attempt}",
        f"X-Deadline-Ms: {int(seconds * 1000)}",
        "X-Model: m",
        "X-Token-Usage: 1460,80",
        f"X-Prefix-Hash: 5c1e07a2:800,{attempt}:660",
        "Content-Length: 2",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in more.items()]
    data = "\r\n".join(lines).encode() + b"\r\n\r\n{}"
    parts = []
    try:
        with socket.create_connection((ip, FRONT_PORT), 2.0) as sock:
            sock.settimeout(seconds)
            sock.sendall(data)
            response = http.client.HTTPResponse(sock)
            response.begin()
            parts.append(f"{response.status}\n".encode())
            while part := response.read1(65536):
                parts.append(part)
            parts.append(b"END")
    except (OSError, http.client.HTTPException) as error:
        parts.append(f"CUT {error!r}".encode())
    return b"".join(parts).decode()
