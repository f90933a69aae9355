"""Mutations that each disable one safety check by monkeypatch."""

import json

from bitterntiller.components.control import claims, leader, ownership, sessions
from bitterntiller.components.control.configuration import ConfigurationState
from bitterntiller.components.control.confirm import ConfirmationBatcher
from bitterntiller.components.node import lease
from bitterntiller.components.node.configuration import NodeConfig
from bitterntiller.components.node.coordinator import NodeCoordinator
from bitterntiller.components.node.directory import NodeDirectory
from bitterntiller.core.interfaces import Ownership


def lease_counted_from_receipt(patch):
    apply_reply = NodeCoordinator.apply_reply
    patch.setattr(
        NodeCoordinator,
        "apply_reply",
        lambda self, reply, sent_at: apply_reply(self, reply, self._clock.now()),
    )


def lease_without_drift_margin(patch):
    patch.setattr(lease, "MAX_CLOCK_DRIFT", 0.0)


def lease_without_confirmation(patch):
    async def confirm(self):
        return 1

    patch.setattr(ConfirmationBatcher, "async_confirm", confirm)


def confirmation_in_progress_shared(patch):
    async def confirm(self):
        if self.current is None or self.current.done.is_set():
            self.current = self._next
            await self._requested.set()
        current = self.current
        await current.done.wait()
        return current.index

    patch.setattr(ConfirmationBatcher, "current", None, raising=False)
    patch.setattr(ConfirmationBatcher, "async_confirm", confirm)


def lower_version_applied(patch):
    def prepare(self, reply):
        if reply.config is not None:
            document = json.loads(reply.config)
            return self._parsed(document, reply.config_version, len(reply.config))
        return original(self, reply)

    def activate(self, prepared):
        if prepared is not None:
            self._document, self._config, self._size = prepared
        return prepared is not None

    original = NodeConfig.prepare
    patch.setattr(NodeConfig, "prepare", prepare)
    patch.setattr(NodeConfig, "activate", activate)


def gap_in_versions_ignored(patch):
    def prepare(self, reply):
        if reply.config is None and reply.changes:
            reply.changes = reply.changes[-1:]
            reply.changes[0].version = reply.config_version = self.version + 1
        return original(self, reply)

    original = NodeConfig.prepare
    patch.setattr(NodeConfig, "prepare", prepare)


def outcomes_not_recorded(patch):
    patch.setattr(ConfigurationState, "_record_outcome", lambda *args: None)


def base_version_not_checked(patch):
    def apply(self, change, time_ms):
        change.base_version = self.version
        return original(self, change, time_ms)

    original = ConfigurationState.apply
    patch.setattr(ConfigurationState, "apply", apply)


def owners_expired_at_takeover(patch):
    def seconds_since_grant(self, host, incarnation, now):
        return now - self._granted_at.get((host, incarnation), float("-inf"))

    patch.setattr(sessions.SessionTable, "seconds_since_grant", seconds_since_grant)


def owner_lease_not_waited_out(patch):
    def lease_expired(self, host, incarnation, now):
        return self.sessions.seconds_since_grant(host, incarnation, now) > 1.0

    patch.setattr(leader.LeaderTerm, "lease_expired", lease_expired)


def owner_replaced_at_once(patch):
    def lease_expired(self, host, incarnation, now):
        gone = self.sessions.is_replaced(host, incarnation)
        return gone or original(self, host, incarnation, now)

    original = leader.LeaderTerm.lease_expired
    patch.setattr(leader.LeaderTerm, "lease_expired", lease_expired)


def expected_epoch_not_checked(patch):
    def assign(self, index, assignments):
        for item in assignments:
            owner = self.owners_by_pool.get(item.pool)
            item.expected_epoch = owner.epoch if owner else 0
        original(self, index, assignments)

    original = ownership.OwnershipState.assign
    patch.setattr(ownership.OwnershipState, "assign", assign)


def epoch_counted_from_one(patch):
    def assign(self, index, assignments):
        original(self, len(self.owners_by_pool) + 1, assignments)

    original = ownership.OwnershipState.assign
    patch.setattr(ownership.OwnershipState, "assign", assign)


def ownership_of_an_earlier_process_used(patch):
    def owner(self, pool):
        found = self.owners_by_pool.get(pool)
        return found and Ownership(found.host, found.address, found.epoch)

    patch.setattr(NodeDirectory, "owner", owner)


def released_by_another(patch):
    def release(self, message):
        for pool in message.pools:
            self.owners_by_pool.pop(pool, None)

    patch.setattr(ownership.OwnershipState, "release", release)


def released_epoch_used(patch):
    patch.setattr(NodeDirectory, "release", lambda self, pools: None)


def voided_by_another(patch):
    patch.setattr(claims, "_is_holder", lambda record, claim: True)


def voided_claim_taken_late(patch):
    def take(self, claim, time_ms):
        record = self.record(claim)
        if record is not None and record.state == "voided":
            self._drop(claims._key(claim))
        return original(self, claim, time_ms)

    original = claims.ClaimsState._take
    patch.setattr(claims.ClaimsState, "_take", take)


def claim_digest_not_compared(patch):
    def take(self, claim, time_ms):
        record = self.record(claim)
        if record is not None:
            claim.digest = record.digest
        return original(self, claim, time_ms)

    original = claims.ClaimsState._take
    patch.setattr(claims.ClaimsState, "_take", take)


def outcomes_lost_in_snapshot(patch):
    def to_document(self):
        return {**original(self), "outcomes": {}}

    original = ConfigurationState.to_document
    patch.setattr(ConfigurationState, "to_document", to_document)


def claims_lost_in_snapshot(patch):
    patch.setattr(claims.ClaimsState, "to_document", lambda self: {"claims": []})


def dropped_base_version_not_kept(patch):
    def drop(self):
        del self.outcomes_by_id[next(iter(self.outcomes_by_id))]

    patch.setattr(ConfigurationState, "_drop_oldest", drop)


LEASE_MUTATIONS = [
    lease_counted_from_receipt,
    lease_without_drift_margin,
    lease_without_confirmation,
    lower_version_applied,
    gap_in_versions_ignored,
    outcomes_not_recorded,
    base_version_not_checked,
    owners_expired_at_takeover,
    owner_lease_not_waited_out,
    owner_replaced_at_once,
    epoch_counted_from_one,
    ownership_of_an_earlier_process_used,
    released_by_another,
    released_epoch_used,
]
"""Detected by random schedules of leaders and nodes."""

STATE_MUTATIONS = [
    outcomes_not_recorded,
    base_version_not_checked,
    outcomes_lost_in_snapshot,
    dropped_base_version_not_kept,
    expected_epoch_not_checked,
    released_by_another,
    voided_by_another,
    voided_claim_taken_late,
    claim_digest_not_compared,
    claims_lost_in_snapshot,
]
"""Detected by sequences of commands to the state machine."""
