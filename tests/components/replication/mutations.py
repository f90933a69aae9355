"""Mutations, each of which disables one safety guard of the replicated log."""

from collections.abc import Callable
from typing import NamedTuple

from bitterntiller.components.replication import (
    core,
    election,
    following,
    identity,
    leading,
    members,
    startup_check,
)
from bitterntiller.components.replication.models import (
    AppendReply,
    ReadOutcome,
    VoteReply,
)
from bitterntiller.components.replication.state import (
    Outgoing,
    Role,
    State,
    initial_persistent_state,
)

from . import explorer, profiles


def _unsynced(patch, cls):
    send_after_sync = State.send_after_sync

    def send_at_once(self, to, message):
        if isinstance(message, cls):
            self._ready.append(Outgoing(to, message))
        else:
            send_after_sync(self, to, message)

    patch.setattr(State, "send_after_sync", send_at_once)


def vote_reply_before_sync(patch):
    _unsynced(patch, VoteReply)


def no_sync_before_acknowledgement(patch):
    _unsynced(patch, AppendReply)


def own_entries_count_unsynced(patch):
    highest = leading._highest_at_quorum

    def count(state, own, value_by_replica):
        own = state.log.last_index if own == state.stable else own
        return highest(state, own, value_by_replica)

    patch.setattr(leading, "_highest_at_quorum", count)


def no_term_check(patch):
    patch.setattr(core, "is_outdated", lambda state, message: False)


def two_votes_in_a_term(patch):
    patch.setattr(election, "may_vote_for", lambda state, candidate: True)


def votes_for_any_log(patch):
    patch.setattr(election, "is_up_to_date", lambda *args: True)


def half_is_a_quorum(patch):
    def half(of):
        return max(len(members.voters(of)) // 2, 1)

    patch.setattr(election, "quorum", half)
    patch.setattr(leading, "quorum", half)


def no_check_of_previous_entry(patch):
    def has_previous_entry(state, message):
        return message.prev_index <= state.log.last_index

    patch.setattr(following, "has_previous_entry", has_previous_entry)


def late_append_truncates_the_log(patch):
    append_or_replace = following._append_or_replace

    def cut(state, entry):
        append_or_replace(state, entry)
        if entry.index < state.log.last_index:
            state.truncate_from(entry.index + 1)

    patch.setattr(following, "_append_or_replace", cut)


def commits_beyond_what_was_compared(patch):
    on_append = following.on_append

    def commit_all(state, message):
        on_append(state, message)
        commit = min(message.commit, state.log.last_index)
        state.commit = max(state.commit, commit)

    patch.setattr(following, "on_append", commit_all)


def commits_earlier_terms_by_counting(patch):
    patch.setattr(leading, "may_commit", lambda state, index: True)


def installs_stale_snapshots(patch):
    patch.setattr(following, "is_newer_snapshot", lambda state, message: True)


def changes_members_before_own_term_commits(patch):
    def may_change(state):
        return state.role is Role.LEADER and state.members.index <= state.commit

    patch.setattr(leading, "may_change_members", may_change)


def changes_members_while_one_is_uncommitted(patch):
    patch.setattr(
        leading, "may_change_members", lambda state: state.role is Role.LEADER
    )


def reads_without_a_round(patch):
    def request_read_index(state, token):
        state.read_outcomes.append(ReadOutcome(token, state.commit))
        return True

    patch.setattr(leading, "request_read_index", request_read_index)


def old_identity_votes(patch):
    def complete_if_sufficient(state, now):
        state.startup_check.done = True

    patch.setattr(startup_check, "_complete_if_sufficient", complete_if_sufficient)


def old_identity_is_not_recognized_nor_caught_up(patch):
    patch.setattr(identity, "verify_identity", lambda *args: "fine")
    complete = identity.StartupCheck.complete

    def complete_without_floor(self):
        complete(self)
        self.vote_floor = (0, 0)
        return 0

    patch.setattr(identity.StartupCheck, "complete", complete_without_floor)


def lost_disk_keeps_its_identity(patch):
    """Let a lost disk keep its identity; skip the boot numbers, which reveal it too."""
    patch.setattr(core, "is_from_earlier_boot", lambda state, message: False)

    def same_identity(self, node):
        node.disk = initial_persistent_state(node.disk.replica)
        node.copies = []
        self.start(node)

    patch.setattr(explorer.Simulation, "new_identity", same_identity)
    old_identity_votes(patch)


class MutationCase(NamedTuple):
    """Mutation, the profile whose schedules detect it, and the first seed to try."""

    mutation: Callable
    profile: profiles.Profile
    seed: int


RANDOM_SEARCH_CASES = (
    MutationCase(no_term_check, profiles.DEPOSED, 19),
    MutationCase(two_votes_in_a_term, profiles.MIXED, 1),
    MutationCase(votes_for_any_log, profiles.MIXED, 0),
    MutationCase(half_is_a_quorum, profiles.MIXED, 0),
    MutationCase(no_check_of_previous_entry, profiles.MIXED, 0),
    MutationCase(late_append_truncates_the_log, profiles.MIXED, 1),
    MutationCase(commits_beyond_what_was_compared, profiles.MIXED, 16),
    MutationCase(installs_stale_snapshots, profiles.SNAPSHOTS, 110),
    MutationCase(changes_members_while_one_is_uncommitted, profiles.CHANGES, 24),
    MutationCase(reads_without_a_round, profiles.MIXED, 0),
    MutationCase(old_identity_votes, profiles.COPIES, 6),
    MutationCase(old_identity_is_not_recognized_nor_caught_up, profiles.COPIES, 10),
)
