"""Guards against a data folder that has gone back in time.

An old copy of a folder that is put back has forgotten votes and entries that
its replica had promised to keep; if it voted, a term could get two leaders
or a committed entry be lost. So each start asks the other voters first. A peer
that remembers a later start or a later promise says so, and the identity is
given up. Whatever no peer remembers as a promise is covered by two rules: the
replica doesn't vote in any term up to the highest that the peers know, and it
votes only for logs that reach the furthest log among the peers.
"""

import random

from .const import VERDICT_FINE, VERDICT_REMOVED, VERDICT_STALE
from .members import decode_members, find, quorum, voters
from .models import Mark, Membership, ReturnCheck, ReturnCheckReply

_RANDOM_BITS = 20


def next_boot(boot: int, rng: random.Random) -> int:
    """Return the boot number of the start that follows the given one.

    It grows with each start. Its lowest bits are random, so that two starts
    from copies of one folder get different numbers.
    """
    return (boot >> _RANDOM_BITS) + 1 << _RANDOM_BITS | rng.getrandbits(_RANDOM_BITS)


def _is_concurrent_boot(boot: int, known: int) -> bool:
    return boot != known and boot >> _RANDOM_BITS == known >> _RANDOM_BITS


def verify_identity(
    check: ReturnCheck, mark: Mark, members: Membership, commit: int
) -> str:
    """Return the verdict on a replica that has started.

    members is what the judging replica holds, in force once commit has
    reached it.
    """
    removed = check.members_index < members.index <= commit
    if removed and find(members, check.replica) is None:
        return VERDICT_REMOVED
    if check.boot == mark.boot:
        # Promises heard since the start; the question may come after them.
        return VERDICT_FINE
    if check.boot < mark.boot or _is_concurrent_boot(check.boot, mark.boot):
        return VERDICT_STALE
    if check.term < mark.term:
        return VERDICT_STALE
    # Within a term an acknowledged entry is never taken back, so a shorter log
    # in the same term means that the folder has lost it.
    if check.term == mark.term and check.last_index < mark.index:
        return VERDICT_STALE
    return VERDICT_FINE


def host_of(replica: str) -> str:
    """Return the host of a replica's id, which is HOST/NUMBER OF ITS DISK."""
    return replica.rpartition("/")[0]


class StartupCheck:
    """The answers that a replica has got since it began to ask."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.done = False
        self.vote_floor = (0, 0)
        self._replies_by_voter: dict[str, ReturnCheckReply] = {}

    def add_reply(self, reply: ReturnCheckReply) -> None:
        """Note the answer of a peer."""
        self._replies_by_voter[reply.voter] = reply

    def newest_membership(self, own: Membership) -> Membership:
        """Return the newest membership known from the log or the answers."""
        known = [own]
        for reply in self._replies_by_voter.values():
            known.append(decode_members(reply.members_index, reply.members))
        return max(known, key=lambda members: members.index)

    def unanswered_voters(self, replica: str, members: Membership) -> set[str]:
        """Return the other voters that have not answered."""
        return set(voters(members)) - {replica} - set(self._replies_by_voter)

    def is_sufficient(self, replica: str, members: Membership, late: bool) -> bool:
        """Tell whether the answers suffice.

        All other voters must have answered. Once it is late, as many suffice as
        make a quorum with this replica: a host that is down must not keep
        a sound replica from voting. So they do when only such voters have not answered
        whose hosts have under another identity: these disks are in use no more, and
        waiting brings no answer of theirs.
        """
        if not members.index:
            return False
        unanswered_voters = self.unanswered_voters(replica, members)
        if not unanswered_voters:
            return True
        answered = set(voters(members)) - {replica} - unanswered_voters
        late = late or self._are_replaced(unanswered_voters, members)
        return late and len(answered) + 1 >= quorum(members)

    def _are_replaced(self, unanswered_voters: set[str], members: Membership) -> bool:
        others = set(self._replies_by_voter) - set(voters(members))
        return {host_of(voter) for voter in unanswered_voters} <= set(
            map(host_of, others)
        )

    def complete(self) -> int:
        """End the asking; return the highest term among the answers."""
        replies = self._replies_by_voter.values()
        self.done = True
        self.vote_floor = max(
            ((r.last_term, r.last_index) for r in replies), default=(0, 0)
        )
        return max((reply.term for reply in replies), default=0)
