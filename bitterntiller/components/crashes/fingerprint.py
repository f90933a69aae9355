"""Fingerprints of requests, equal for all copies whatever their ids and headers."""

import hashlib

from bitterntiller.components.crashes import const


def fingerprint(
    key: bytes, workspace: str, method: str, target: str, body: bytes
) -> int:
    """Return a positive 63-bit number that is the same for each copy of a request.

    It is keyed with a secret of the deployment, so that nobody can infer a body from
    the log or construct another body with the same fingerprint.
    """
    digest = hashlib.blake2b(
        f"{workspace}\0{method}\0{target}\0".encode("utf-8", "surrogatepass"),
        key=key[: const.MAX_KEY_BYTES],
        digest_size=const.FINGERPRINT_BYTES,
    )
    digest.update(body)
    return (int.from_bytes(digest.digest()) >> 1) | 1


def format_fingerprint(number: int) -> str:
    """Return a fingerprint as printed in logs and by commands."""
    return f"{number:016x}"
