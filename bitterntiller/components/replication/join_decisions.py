"""Rules by which a replica with an empty folder joins or forms a membership.

The first membership is formed once, by the first bootstrap host in the order of host
names or internal addresses, whichever the settings list, and only after every other
bootstrap host has replied that its folder is empty too. A host that has restarted
since the first start is no longer told to bootstrap; the next one in that order then
forms the membership in its place. A host that lost its disk learns from another host
that a log exists and joins it as a learner; with too few replies it waits. An empty
disk therefore never starts a second deployment beside an existing one.
"""

from typing import Any, NamedTuple

from bitterntiller.protocol import messages

from .const import (
    JOIN_ACCEPTED,
    JOIN_EXISTS,
    JOIN_FORMED,
    JOIN_FRESH,
    JOIN_FULL,
    STATUS_NOT_LEADER,
    EntryKind,
)
from .core import Replica
from .members import decode_members, find
from .models import Member
from .repair_decisions import with_learner
from .startup_check import reset_progress
from .state import Role, State


class LocalReplica(NamedTuple):
    """Replica id, host and address under which this host joins."""

    replica: str
    host: str
    address: str


def is_empty(state: State) -> bool:
    """Return whether this replica has no log yet."""
    return state.log.last_index == 0 and not state.members.index


def needs_joining(state: State, address: str) -> bool:
    """Return whether the membership lacks this replica or its present address."""
    member = find(state.members, state.replica)
    return member is None or member.address != address


class FirstMembers(NamedTuple):
    """First membership that this host may form.

    in_place is whether a host that precedes this one may no longer form it.
    """

    members: tuple[Member, ...]
    in_place: bool


def first_members(
    own: LocalReplica, bootstrap: tuple[str, ...], replies: list[Any]
) -> FirstMembers | None:
    """Return the first membership if it falls to this host to form it, else None.

    A reply that doesn't say whether its host may form it is of an earlier version,
    whose first host always may.
    """
    found = [Member(*own, True)]
    unable = set()
    for reply in replies:
        if reply.status != JOIN_FRESH:
            return None
        found.append(Member(reply.replica, reply.host, reply.address, True))
        if reply.may_form is False:
            unable |= {reply.host, reply.address}
    own_keys = {own.host, own.address}
    able = set(bootstrap) - unable
    former = min(able, default="")
    # A majority of the bootstrap hosts may have formed a membership and lost it since.
    if former not in own_keys or 2 * len(able) <= len(bootstrap):
        return None
    member_by_key = {member.host: member for member in found}
    member_by_key |= {member.address: member for member in found}
    if set(bootstrap) - set(member_by_key):
        return None
    members = tuple(member_by_key[key] for key in sorted(bootstrap))
    return FirstMembers(members, min(bootstrap) not in own_keys)


def formed_members(state: State, replies: list[Any]) -> tuple[Member, ...] | None:
    """Return the first membership that another host formed, if this one is in it."""
    for reply in replies:
        if reply.status != JOIN_FORMED or not reply.members:
            continue
        members = decode_members(1, reply.members)
        if find(members, state.replica) is not None:
            return members.all
    return None


def on_empty_follower(state: State, replica: str) -> None:
    """Reset a follower's progress on the leader, as its log is empty.

    An old copy of a folder can predate the first entry, and then knows no voters for
    a startup check. A new learner that is receiving a snapshot has an empty log too,
    but has acknowledged nothing, and its transfer must not be restarted.
    """
    progress = state.progress_by_replica.get(replica)
    if progress is not None and progress.match:
        reset_progress(state, replica)


def reply_to_join(
    replica: Replica, own: LocalReplica, join: Any, now: float, may_form: bool = False
) -> Any:
    """Return the JoinReply to a host that requests to join.

    may_form is whether this host may form the first membership.
    """
    state = replica.state
    if is_empty(state):
        return messages.JoinReply(JOIN_FRESH, "", *own, may_form=may_form)
    first = next(iter(state.log.slice(1, 1)), None)
    is_first = first is not None and first.kind == EntryKind.MEMBERS
    if join.fresh and is_first and find(decode_members(1, first.data), join.replica):
        return messages.JoinReply(JOIN_FORMED, "", *own, first.data)
    leader = find(state.members, state.leader)
    if state.role is not Role.LEADER:
        address = leader.address if leader else ""
        status = STATUS_NOT_LEADER if address else JOIN_EXISTS
        return messages.JoinReply(status, address, *own)
    present = find(state.members, join.replica)
    if join.fresh:
        on_empty_follower(state, join.replica)
    if present is not None and present.address == join.address:
        return messages.JoinReply(JOIN_ACCEPTED, own.address, *own)
    after = with_learner(state.members, join.replica, join.host, join.address)
    if after is None:
        return messages.JoinReply(JOIN_FULL, own.address, *own)
    replica.change_members(after, now)
    return messages.JoinReply(JOIN_ACCEPTED, own.address, *own)
