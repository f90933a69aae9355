"""Names a request over all its copies, whatever their ids and headers."""

import hashlib

from bitterntiller.components.crashes import const


def fingerprint(
    key: bytes, workspace: str, method: str, target: str, body: bytes
) -> int:
    """Return a positive number of 63 bits, the same for each copy of a request.

    It is keyed with a secret of the deployment, so that nobody can tell a body from
    the log or make another body with the same number.
    """
    digest = hashlib.blake2b(
        f"{workspace}\0{method}\0{target}\0".encode("utf-8", "surrogatepass"),
        key=key[: const.MAX_KEY_BYTES],
        digest_size=const.FINGERPRINT_BYTES,
    )
    digest.update(body)
    return (int.from_bytes(digest.digest()) >> 1) | 1


def format_fingerprint(number: int) -> str:
    """Return a fingerprint as logs and commands show it."""
    return f"{number:016x}"
