"""Digests of bytes, equal on all hosts."""

import xxhash


def content_digest(data: bytes) -> int:
    """Return the XXH3 digest of some bytes as a signed integer of 64 bits.

    It detects mixed-up or damaged data, not forged data.
    """
    digest = xxhash.xxh3_64_intdigest(data)
    return digest - (1 << 64) if digest >= 1 << 63 else digest
