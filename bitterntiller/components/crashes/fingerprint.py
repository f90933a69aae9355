"""Fingerprints of requests and of the parts of their prompts.

They are equal for all copies of a request whatever their ids, and for a part in all
requests that hold it. The lowest bits tell a request's from a part's.
"""

import hashlib

from bitterntiller.components.crashes import const

_MARK_BITS = 0b11
_REQUEST_MARK = 0b01
_PART_MARK = 0b10


def fingerprint(
    key: bytes,
    workspace: str,
    method: str,
    target: str,
    body: bytes,
    part_ids: tuple[bytes, ...] = (),
) -> int:
    """Return a positive 63-bit number that is the same for each copy of a request.

    Requests with equal bodies differ if the parts of their prompts do.

    It is keyed with a secret of the deployment, so that nobody can infer a body from
    the log or construct another body with the same fingerprint.
    """
    digest = hashlib.blake2b(
        f"{workspace}\0{method}\0{target}\0".encode("utf-8", "surrogatepass"),
        key=key[: const.MAX_KEY_BYTES],
        digest_size=const.FINGERPRINT_BYTES,
    )
    digest.update(b",".join(part_ids) + b"\0")
    digest.update(body)
    return _mark(digest, _REQUEST_MARK)


def part_fingerprint(key: bytes, pool: str, part_id: bytes) -> int:
    """Return a positive 63-bit number for a part of the prompts of a pool's requests.

    It is the same in all requests that hold the part, and keyed like a request's.
    """
    digest = hashlib.blake2b(
        pool.encode("utf-8", "surrogatepass") + b"\0" + part_id,
        key=key[: const.MAX_KEY_BYTES],
        digest_size=const.FINGERPRINT_BYTES,
    )
    return _mark(digest, _PART_MARK)


def is_part(fingerprint: int) -> bool:
    """Return whether a fingerprint is that of a part, and not of a whole request."""
    return fingerprint & _MARK_BITS == _PART_MARK


def format_fingerprint(number: int) -> str:
    """Return a fingerprint as printed in logs and by commands."""
    return f"{number:016x}"


def _mark(digest: "hashlib.blake2b", mark: int) -> int:
    return (int.from_bytes(digest.digest()) >> 1) & ~_MARK_BITS | mark
