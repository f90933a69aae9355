"""Detection of a data folder that was replaced by an older copy.

An old copy of a folder lacks votes and acknowledged entries of its replica; if the
replica voted, a term could have two leaders, or a committed entry could be lost. Each
start therefore queries the other voters first. If a peer has recorded a later start
or a later acknowledgement, it reports this and the identity is retired. Votes and
acknowledgements that no peer has recorded are covered by two rules: the replica
doesn't vote in any term up to the highest that the peers know, and it votes only for
logs that reach the furthest log among the peers.
"""

import random

from .const import VERDICT_FINE, VERDICT_REMOVED, VERDICT_STALE
from .members import decode_members, find, quorum, voters
from .models import Mark, Membership, ReturnCheck, ReturnCheckReply

_RANDOM_BITS = 20


def next_boot(boot: int, rng: random.Random) -> int:
    """Return the boot number of the next start.

    It grows with each start. Its lowest bits are random, so that two starts from
    copies of one folder get different numbers.
    """
    return (boot >> _RANDOM_BITS) + 1 << _RANDOM_BITS | rng.getrandbits(_RANDOM_BITS)


def _is_concurrent_boot(boot: int, known: int) -> bool:
    """Return whether two boots follow the same one, from two copies of a folder."""
    return boot != known and boot >> _RANDOM_BITS == known >> _RANDOM_BITS


def verify_identity(
    check: ReturnCheck, mark: Mark, members: Membership, commit: int
) -> str:
    """Return the verdict on the identity of a replica that has started.

    members is the newest membership of the verifying replica; it is in effect once
    commit has reached it.
    """
    removed = check.members_index < members.index <= commit
    if removed and find(members, check.replica) is None:
        return VERDICT_REMOVED
    if check.boot == mark.boot:
        # Acknowledgements of this start set the mark; they may arrive before its check.
        return VERDICT_FINE
    if check.boot < mark.boot or _is_concurrent_boot(check.boot, mark.boot):
        return VERDICT_STALE
    if check.term < mark.term:
        return VERDICT_STALE
    # An acknowledged entry is not removed within its term, so a shorter log in the
    # same term means that the folder has lost the entry.
    if check.term == mark.term and check.last_index < mark.index:
        return VERDICT_STALE
    return VERDICT_FINE


def host_of(replica: str) -> str:
    """Return the host of a replica id, which is HOST/ID OF ITS DATA FOLDER."""
    return replica.rpartition("/")[0]


class StartupCheck:
    """Replies of the other voters to a replica's startup check."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.done = False
        self.vote_floor = (0, 0)
        self._replies_by_voter: dict[str, ReturnCheckReply] = {}

    def add_reply(self, reply: ReturnCheckReply) -> None:
        """Record the reply of a peer."""
        self._replies_by_voter[reply.voter] = reply

    def newest_membership(self, own: Membership) -> Membership:
        """Return the newest membership in the log or the replies."""
        known = [own]
        for reply in self._replies_by_voter.values():
            known.append(decode_members(reply.members_index, reply.members))
        return max(known, key=lambda members: members.index)

    def unanswered_voters(self, replica: str, members: Membership) -> set[str]:
        """Return the other voters that have not replied."""
        return set(voters(members)) - {replica} - set(self._replies_by_voter)

    def is_sufficient(self, replica: str, members: Membership, late: bool) -> bool:
        """Return whether enough voters have replied.

        All other voters must have replied. Once the grace period is over (late), a
        quorum including this replica is enough, so that a host that is down doesn't
        keep a healthy replica from voting. A quorum is also enough if the host of
        each missing voter has replied under another identity: the old disks are no
        longer in use, and no reply of theirs will come.
        """
        if not members.index:
            return False
        unanswered_voters = self.unanswered_voters(replica, members)
        if not unanswered_voters:
            return True
        replied = set(voters(members)) - {replica} - unanswered_voters
        late = late or self._are_replaced(unanswered_voters, members)
        return late and len(replied) + 1 >= quorum(members)

    def _are_replaced(self, unanswered_voters: set[str], members: Membership) -> bool:
        others = set(self._replies_by_voter) - set(voters(members))
        return {host_of(voter) for voter in unanswered_voters} <= set(
            map(host_of, others)
        )

    def complete(self) -> int:
        """Complete the check; return the highest term among the replies."""
        replies = self._replies_by_voter.values()
        self.done = True
        self.vote_floor = max(
            ((r.last_term, r.last_index) for r in replies), default=(0, 0)
        )
        return max((reply.term for reply in replies), default=0)
