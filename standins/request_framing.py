"""Encode the requests of clients, a share of them with chunked bodies."""

import h11
import xxhash

CHUNKED_SHARE = 0.25
"""Share of the requests with a body that are sent chunked, chosen by their content."""

CHUNKS = 3
_DRAWS = 1 << 32


def is_chunked(method: str, target: str, body: bytes, share: float) -> bool:
    """Return whether a request with this content is among the share that is chunked."""
    if not body:
        return False
    content = f"{method} {target}\n".encode("utf-8", "surrogateescape") + body
    return xxhash.xxh32_intdigest(content) < share * _DRAWS


def encode_request(
    http: h11.Connection,
    method: str,
    target: str,
    fields: dict[str, str],
    body: bytes,
    chunked_share: float = CHUNKED_SHARE,
) -> bytes:
    """Return the bytes of a request on a client connection."""
    chunked = is_chunked(method, target, body, chunked_share)
    fields = dict(fields)
    if chunked:
        fields["Transfer-Encoding"] = "chunked"
    elif body:
        fields["Content-Length"] = str(len(body))
    head = h11.Request(method=method, target=target, headers=list(fields.items()))
    data = http.send(head) or b""
    for part in _parts(body, CHUNKS if chunked else 1):
        data += http.send(h11.Data(data=part)) or b""
    return data + (http.send(h11.EndOfMessage()) or b"")


def _parts(body: bytes, count: int) -> list[bytes]:
    size = max(1, -(-len(body) // count))
    return [body[start : start + size] for start in range(0, len(body), size)]
