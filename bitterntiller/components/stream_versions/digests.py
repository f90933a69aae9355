"""The number under which a stream is remembered."""

import xxhash


def stream_digest(first_id: str) -> int:
    """Return the digest of the id of the caller's first attempt, signed."""
    value = xxhash.xxh3_64_intdigest(first_id.encode("utf-8", "surrogatepass"))
    return value - (1 << 64) if value >= 1 << 63 else value
