"""Membership changes by which a leader restores the number of healthy voters.

A learner on the host of a silent voter proves that the old disk is no longer in use,
so the old identity is replaced without a command. Silence alone proves nothing: a
partitioned host may reconnect. Replacing it by another host therefore takes an
operator's command, or a deployment that sets the number of voters. In such a
deployment hosts are replaced by others at new addresses without a command; a host
that reconnects after a partition finds itself removed and joins as a learner.
"""

from typing import NamedTuple

from .const import MAX_MEMBERS, REPAIR_DONE, REPAIR_REFUSED, REPAIR_RUNNING
from .members import quorum, voters
from .models import Member, Membership
from .state import Role, State


class RepairCommand(NamedTuple):
    """Operator's command: a voter to remove and the host that replaces it.

    remove is a host or a replica id; either field may be empty.
    """

    remove: str
    add: str


class RepairStatus(NamedTuple):
    """Progress of a repair: a REPAIR_ constant and a text on what it waits for."""

    status: str
    text: str


def is_healthy(state: State, replica: str, now: float) -> bool:
    """Return whether a replica responds and has caught up."""
    if replica == state.replica:
        return True
    progress = state.progress_by_replica.get(replica)
    if progress is None or not progress.counted:
        return False
    responds = progress.last_contact > now - state.tuning.election_max
    return responds and progress.match >= state.caught_up_index


def failure_tolerance(state: State, now: float) -> int | None:
    """Return how many more voters may fail now; None if not the leader."""
    if state.role is not Role.LEADER:
        return None
    healthy = [v for v in voters(state.members) if is_healthy(state, v, now)]
    return len(healthy) - quorum(state.members)


def is_silent(state: State, replica: str, now: float) -> bool:
    """Return whether a replica has sent nothing for an election timeout."""
    progress = state.progress_by_replica.get(replica)
    return bool(progress) and progress.last_contact <= now - state.tuning.election_max


def with_learner(
    members: Membership, replica: str, host: str, address: str
) -> tuple[Member, ...] | None:
    """Return the members with an additional learner; None if there are too many.

    An earlier learner on the same host has lost its disk and is removed. If the
    replica is a member already, only its address changes.
    """
    kept = tuple(
        member
        for member in members.all
        if member.replica != replica and (member.voter or member.host != host)
    )
    present = next((m for m in members.all if m.replica == replica), None)
    if present is not None:
        return (*kept, present._replace(address=address))
    if len(kept) >= MAX_MEMBERS:
        return None
    return (*kept, Member(replica, host, address, False))


def next_membership(
    state: State, commands: list[RepairCommand], now: float
) -> tuple[Member, ...] | None:
    """Return the members after the next change, None if no change is due.

    With a target, a learner that is marked to be promoted becomes a voter only below
    it: another one may have been promoted while the marked one was down.
    """
    target = state.tuning.target_voters
    count = len(voters(state.members))
    for learner in state.members.all:
        if learner.voter or not is_healthy(state, learner.replica, now):
            continue
        if count < target or (learner.promote and not target):
            return _with_member(
                state.members, learner._replace(voter=True, promote=False)
            )
        if step := _next_replacement(state, learner, commands, now):
            return step
    if target and count > target:
        lost = _longest_silent_voter(state, now)
        if lost is not None:
            return _without_voter(state, lost, None, now)
    return _next_removal(state, commands, now)


def _next_replacement(
    state: State, learner: Member, commands: list[RepairCommand], now: float
) -> tuple[Member, ...] | None:
    silent = _silent_voter_of_host(state, learner.host, now)
    if silent is not None:
        return _without_voter(state, silent, learner, now)
    command = next((c for c in commands if c.add == learner.host), None)
    target = None if command is None else _voter_to_remove(state, command, now)
    if target is not None:
        return _without_voter(state, target, learner, now)
    if command is not None and _has_voter(state, learner.host):
        # The host's old identity is not known to be silent yet. If its new identity
        # became a voter now, no later step would remove the old voter.
        return None
    if command is not None and not learner.promote:
        return _with_member(state.members, learner._replace(promote=True))
    lost = _longest_silent_voter(state, now) if state.tuning.target_voters else None
    return None if lost is None else _without_voter(state, lost, learner, now)


def _next_removal(
    state: State, commands: list[RepairCommand], now: float
) -> tuple[Member, ...] | None:
    for command in commands:
        target = None if command.add else _voter_to_remove(state, command, now)
        if target is not None:
            return _without_voter(state, target, None, now)
    return None


def _longest_silent_voter(state: State, now: float) -> Member | None:
    """Return the voter silent for longest, if beyond silent_voter_timeout."""
    oldest = now - state.tuning.silent_voter_timeout
    silent = {
        member: state.progress_by_replica[member.replica].last_contact
        for member in state.members.all
        if member.voter and member.replica in state.progress_by_replica
    }
    lost = min(silent, key=lambda member: silent[member], default=None)
    return lost if lost is not None and silent[lost] < oldest else None


def _silent_voter_of_host(state: State, host: str, now: float) -> Member | None:
    for member in state.members.all:
        if member.voter and member.host == host:
            return member if is_silent(state, member.replica, now) else None
    return None


def _has_voter(state: State, host: str) -> bool:
    return any(member.voter and member.host == host for member in state.members.all)


def _voter_to_remove(state: State, command: RepairCommand, now: float) -> Member | None:
    if command.remove == command.add:
        return _silent_voter_of_host(state, command.remove, now)
    for member in state.members.all:
        if member.voter and command.remove in (member.host, member.replica):
            return member
    return None


def _without_voter(
    state: State, removed: Member, learner: Member | None, now: float
) -> tuple[Member, ...] | None:
    """Return the members without a voter, and with the learner marked to be promoted.

    Return None if the remaining healthy voters are no quorum.
    """
    kept = tuple(m for m in state.members.all if m != removed)
    if learner is not None:
        kept = _with_member(Membership(0, kept), learner._replace(promote=True))
    after = Membership(0, kept)
    healthy = [v for v in voters(after) if is_healthy(state, v, now)]
    return kept if voters(after) and len(healthy) >= quorum(after) else None


def _with_member(members: Membership, changed: Member) -> tuple[Member, ...]:
    return tuple(changed if m.replica == changed.replica else m for m in members.all)


def repair_status(state: State, command: RepairCommand, now: float) -> RepairStatus:
    """Return the progress of a repair; done only once full redundancy is restored."""
    if not command.remove and not command.add:
        return RepairStatus(REPAIR_REFUSED, "neither a replica to remove nor a host")
    target = _voter_to_remove(state, command, now)
    if target is not None:
        return RepairStatus(REPAIR_RUNNING, f"{target.replica} is still a voter")
    hosts = {member.host: member for member in state.members.all}
    if command.add and command.add not in hosts:
        return RepairStatus(REPAIR_RUNNING, f"{command.add} has not joined yet")
    is_full = 0 < state.tuning.target_voters <= len(voters(state.members))
    if command.add and not hosts[command.add].voter and not is_full:
        return RepairStatus(REPAIR_RUNNING, f"{command.add} is catching up")
    left, full = failure_tolerance(state, now), (len(voters(state.members)) - 1) // 2
    if state.members.index > state.commit or left is None or left < full:
        return RepairStatus(REPAIR_RUNNING, f"{left} of {full} losses are survived")
    return RepairStatus(REPAIR_DONE, f"{left} further losses are survived")
