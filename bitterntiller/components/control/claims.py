"""Claims of idempotency keys; part of the replicated state."""

from collections import Counter
from typing import Any

from bitterntiller.components.control.const import (
    ACTION_FINISH,
    ACTION_TAKE,
    ACTION_VOID,
    CLAIM_ABSENT,
    CLAIM_FINISHED,
    CLAIM_FULL,
    CLAIM_MISMATCH,
    CLAIM_RUNNING,
    CLAIM_TAKEN,
    CLAIM_VOIDED,
    MAX_CLAIMS,
    MAX_CLAIMS_PER_WORKSPACE,
)
from bitterntiller.components.control.models import ClaimKey, ClaimRecord
from bitterntiller.protocol import messages


class ClaimsState:
    """The claims by key, oldest first."""

    def __init__(self) -> None:
        self.records_by_key: dict[ClaimKey, ClaimRecord] = {}
        self._count_by_workspace: Counter[str] = Counter()

    def apply(self, claim: Any, time_ms: int) -> Any:
        """Apply a messages.Claim and return its messages.ClaimReply."""
        if claim.action == ACTION_TAKE:
            return self._take(claim, time_ms)
        if claim.action == ACTION_FINISH:
            return self._finish(claim, time_ms)
        if claim.action == ACTION_VOID:
            return self._void(claim, time_ms)
        return self.find(claim)

    def record(self, claim: Any) -> ClaimRecord | None:
        """Return the record under a messages.Claim's key, None if there is none."""
        return self.records_by_key.get(_key(claim))

    def find(self, claim: Any) -> Any:
        """Return the state of a key without changing it."""
        record = self.records_by_key.get(_key(claim))
        if record is None:
            return claim_reply(CLAIM_ABSENT)
        if claim.digest and claim.digest != record.digest:
            return claim_reply(CLAIM_MISMATCH)
        return claim_reply(record.state, record)

    def _take(self, claim: Any, time_ms: int) -> Any:
        key = _key(claim)
        record = self.records_by_key.get(key)
        if record is None:
            return self._take_new(key, claim, time_ms)
        held = _is_holder(record, claim)
        if record.state == CLAIM_VOIDED and not held:
            return self._take_new(key, claim, time_ms)
        if record.digest != claim.digest:
            return claim_reply(CLAIM_MISMATCH)
        # The holder repeats its message after the reply was lost. Its upstream may
        # differ if an earlier attempt provably did not run. A voided claim stays
        # voided: the holder reported that the request did not run, so a delayed copy
        # of its message must not mark the key as in use.
        if held and record.state == CLAIM_RUNNING:
            record = record._replace(upstream=claim.upstream, address=claim.address)
            self.records_by_key[key] = record
            return claim_reply(CLAIM_TAKEN, record)
        return claim_reply(record.state, record)

    def _take_new(self, key: ClaimKey, claim: Any, time_ms: int) -> Any:
        if key not in self.records_by_key and self._is_full(key.workspace):
            return claim_reply(CLAIM_FULL)
        record = _make_record(claim, CLAIM_RUNNING, time_ms)
        self._insert(key, record)
        return claim_reply(CLAIM_TAKEN, record)

    def _finish(self, claim: Any, time_ms: int) -> Any:
        key = _key(claim)
        record = self.records_by_key.get(key)
        if record is None:
            return claim_reply(CLAIM_ABSENT)
        if not _is_holder(record, claim):
            return claim_reply(record.state, record)
        record = record._replace(
            state=CLAIM_FINISHED,
            upstream=claim.upstream,
            outcome=claim.outcome,
            http_status=claim.http_status,
        )
        self.records_by_key[key] = record
        return claim_reply(CLAIM_FINISHED, record)

    def _void(self, claim: Any, time_ms: int) -> Any:
        """Void a claim for its holder, also before the claim itself has arrived.

        Only the holder may void it: if another host could, a further copy of the
        request could be sent while the holder's request runs.
        """
        key = _key(claim)
        record = self.records_by_key.get(key)
        if record is None:
            if self._is_full(key.workspace):
                return claim_reply(CLAIM_FULL)
            record = _make_record(claim, CLAIM_VOIDED, time_ms)
            self._insert(key, record)
            return claim_reply(CLAIM_VOIDED, record)
        if not _is_holder(record, claim) or record.state == CLAIM_FINISHED:
            return claim_reply(record.state, record)
        record = record._replace(state=CLAIM_VOIDED)
        self.records_by_key[key] = record
        return claim_reply(CLAIM_VOIDED, record)

    def _is_full(self, workspace: str) -> bool:
        if len(self.records_by_key) >= MAX_CLAIMS:
            return True
        return self._count_by_workspace[workspace] >= MAX_CLAIMS_PER_WORKSPACE

    def _insert(self, key: ClaimKey, record: ClaimRecord) -> None:
        """Insert a record as the newest, which keeps the records ordered by age."""
        if key in self.records_by_key:
            self._drop(key)
        self.records_by_key[key] = record
        self._count_by_workspace[key.workspace] += 1

    def _drop(self, key: ClaimKey) -> None:
        del self.records_by_key[key]
        self._count_by_workspace[key.workspace] -= 1
        if not self._count_by_workspace[key.workspace]:
            del self._count_by_workspace[key.workspace]

    def expire(self, before_ms: int) -> None:
        """Drop the claims taken before a cluster time in milliseconds."""
        while self.records_by_key:
            key, record = next(iter(self.records_by_key.items()))
            if record.time_ms >= before_ms:
                return
            self._drop(key)

    def to_document(self) -> dict[str, Any]:
        """Return the state as a JSON document for a snapshot."""
        return {"claims": [[*key, *rec] for key, rec in self.records_by_key.items()]}

    def from_document(self, document: dict[str, Any]) -> None:
        """Replace the state with that of a snapshot."""
        self.records_by_key = {
            ClaimKey(*row[:2]): ClaimRecord(*row[2:]) for row in document["claims"]
        }
        self._count_by_workspace = Counter(key.workspace for key in self.records_by_key)


def claim_reply(
    status: str, record: ClaimRecord | None = None, leader: str = ""
) -> Any:
    """Return a messages.ClaimReply with the details of a claim, if there is one."""
    return messages.ClaimReply(
        status=status,
        leader=leader,
        host=record.host if record else "",
        upstream=record.upstream if record else "",
        request_id=record.request_id if record else "",
        outcome=record.outcome if record else "",
        http_status=record.http_status if record else 0,
        address=record.address if record else "",
    )


def _key(claim: Any) -> ClaimKey:
    return ClaimKey(claim.workspace, claim.key)


def _is_holder(record: ClaimRecord, claim: Any) -> bool:
    holder = (record.host, record.incarnation, record.request_id)
    return holder == (claim.host, claim.incarnation, claim.request_id)


def _make_record(claim: Any, state: str, time_ms: int) -> ClaimRecord:
    return ClaimRecord(
        state=state,
        digest=claim.digest,
        host=claim.host,
        incarnation=claim.incarnation,
        address=claim.address,
        upstream=claim.upstream,
        request_id=claim.request_id,
        outcome="",
        http_status=0,
        time_ms=time_ms,
    )
