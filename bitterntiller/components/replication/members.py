"""Membership: its encoding, its quorum, and which changes are allowed."""

import json
from collections.abc import Iterable

from .models import Member, Membership

EMPTY_MEMBERSHIP = Membership(0, ())


def encode_members(members: Iterable[Member]) -> bytes:
    """Encode members as the data of an entry of kind MEMBERS."""
    return json.dumps([list(member) for member in members]).encode()


def decode_members(index: int, data: bytes) -> Membership:
    """Decode the membership in an entry of kind MEMBERS."""
    if not data:
        return EMPTY_MEMBERSHIP
    return Membership(index, tuple(Member(*item) for item in json.loads(data)))


def voters(members: Membership) -> tuple[str, ...]:
    """Return the ids of the voters."""
    return tuple(member.replica for member in members.all if member.voter)


def quorum(members: Membership) -> int:
    """Return the number of voters that form a quorum."""
    return len(voters(members)) // 2 + 1


def find(members: Membership, replica: str) -> Member | None:
    """Return the member with that replica id, or None."""
    return next((m for m in members.all if m.replica == replica), None)


def is_single_change(old: Membership, new: Iterable[Member]) -> bool:
    """Return whether the sets of voters differ by at most one replica.

    Any quorum of one set then overlaps with any quorum of the other, so the two
    memberships can't elect two leaders.
    """
    after = {member.replica for member in new if member.voter}
    return bool(after) and len(set(voters(old)) ^ after) <= 1
