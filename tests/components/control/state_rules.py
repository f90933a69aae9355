"""Sequences of commands to the control state, checked against a simple model."""

import json
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bitterntiller.components.control.state import ControlState
from bitterntiller.protocol import messages

from .builders import (
    apply,
    make_assignment,
    make_change,
    make_claim,
    make_document,
)

HOSTS = ("bole-1", "kirkos-1")
CHANGE_IDS = tuple(f"c{number}" for number in range(6))
KEYS = ("k1", "k2")
REQUESTS = ("r1", "r2", "r3")
DIGESTS = ("d1", "d2")

hosts = st.sampled_from(HOSTS)
holders = st.tuples(hosts, st.sampled_from(REQUESTS))


class ControlStateRules(RuleBasedStateMachine):
    """The model records all replies; the state must never contradict them."""

    def __init__(self):
        super().__init__()
        self.state = ControlState()
        self.twin = ControlState()
        self.index = 0
        self.time_ms = 0
        self.changes = {}
        self.outcomes = {}
        self.documents = [{}]
        self.epochs = {}
        self.claims = {}

    def run(self, **content):
        self.index += 1
        fields = {"time_ms": self.time_ms, **content}
        result = apply(self.state, self.index, **fields)
        assert apply(self.twin, self.index, **fields) == result
        return result

    @rule(change_id=st.sampled_from(CHANGE_IDS), behind=st.integers(0, 1))
    def change(self, change_id, behind):
        base = max(len(self.documents) - 1 - behind, 0)
        document = make_document("llm", number=len(self.changes))
        change = make_change(change_id, base, document)
        change = self.changes.setdefault(change_id, change)
        reply = self.run(change=change).change
        outcome = (reply.status, reply.version)
        if reply.status == "expired-id":
            return
        if reply.status == "accepted" and reply.version == len(self.documents):
            assert change.base_version == len(self.documents) - 1
            assert change_id not in self.outcomes
            self.documents.append(json.loads(change.config))
        assert self.outcomes.setdefault(change_id, outcome) == outcome

    @rule(change_id=st.sampled_from(CHANGE_IDS))
    def reuse_id(self, change_id):
        known = change_id in self.state.configuration.outcomes_by_id
        if known:
            change = make_change(change_id, 99, make_document("other"))
            assert self.run(change=change).change.status == "invalid"

    @rule()
    def forget_outcomes(self):
        """Expire all change ids recorded so far."""
        self.time_ms += 1000
        self.run(changes_ms=self.time_ms)

    @rule(right=st.booleans(), host=hosts, named=st.booleans())
    def assign(self, right, host, named):
        owner = self.state.ownership.owners_by_pool.get("llm")
        epoch = owner.epoch if owner else 0
        expected = epoch if right else epoch + 1
        item = make_assignment(host=host if named else "", expected_epoch=expected)
        self.run(assignments=[item])
        after = self.state.ownership.owners_by_pool.get("llm")
        if not right:
            assert after == owner
            return
        assert (after is not None) == named
        if after:
            assert self.epochs.setdefault(after.epoch, after) == after
            assert after.epoch == max(self.epochs)

    @rule(host=hosts)
    def release(self, host):
        before = self.state.ownership.owners_by_pool.get("llm")
        message = messages.ReleasePools(host=host, incarnation="a", pools=["llm"])
        self.run(release=message)
        after = self.state.ownership.owners_by_pool.get("llm")
        assert after == (None if before and before.host == host else before)

    @rule(key=st.sampled_from(KEYS), holder=holders, digest=st.sampled_from(DIGESTS))
    def take(self, key, holder, digest):
        status = self._claim("take", key, holder, digest)
        known = self.claims.get(key)
        if known is None or (known[0] == "voided" and known[1] != holder):
            assert status == "taken"
            self.claims[key] = ("running", holder, digest)
            return
        if known[2] != digest:
            assert status == "mismatch"
            return
        again = known[0] == "running" and known[1] == holder
        assert status == ("taken" if again else known[0])

    @rule(key=st.sampled_from(KEYS), holder=holders)
    def finish(self, key, holder):
        status = self._claim("finish", key, holder)
        known = self.claims.get(key)
        if known and known[1] == holder:
            self.claims[key] = ("finished", *known[1:])
        assert status == (self.claims[key][0] if known else "absent")

    @rule(key=st.sampled_from(KEYS), holder=holders)
    def void(self, key, holder):
        status = self._claim("void", key, holder)
        known = self.claims.get(key, ("running", holder, "d"))
        if known[1] == holder and known[0] != "finished":
            known = ("voided", *known[1:])
        self.claims[key] = known
        assert status == known[0]

    def _claim(self, action, key, holder, digest="d"):
        host, request_id = holder
        claim = make_claim(action, key, request_id, host=host, digest=digest)
        return self.run(claims=[claim]).claims[0].status

    @rule()
    def restart_from_snapshot(self):
        state = ControlState()
        state.restore(self.state.snapshot())
        self.state = state

    @invariant()
    def accepted_changes_stay(self):
        configuration = self.state.configuration
        assert configuration.version == len(self.documents) - 1
        assert configuration.document == self.documents[-1]

    @invariant()
    def replicas_agree(self):
        assert self.state.snapshot() == self.twin.snapshot()


def small_table(limit=3):
    """Limit the table of change ids so that it overflows."""
    name = "bitterntiller.components.control.configuration.MAX_CHANGE_IDS"
    return mock.patch(name, limit)
