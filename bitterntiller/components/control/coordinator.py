"""The leader of control: replies to nodes and operators."""

import json
from typing import Any

import curio
from absl import logging

from bitterntiller.components.control import diagnostics
from bitterntiller.components.control.budget import control_budget
from bitterntiller.components.control.claims import claim_reply
from bitterntiller.components.control.config_copies import ConfigCopies
from bitterntiller.components.control.confirm import ConfirmationBatcher
from bitterntiller.components.control.const import (
    ACTION_FIND,
    BUSY_TEXT,
    CHANGE_WAIT_FRACTION,
    CLAIM_ORPHANED,
    CLAIM_RUNNING,
    COMMIT_TIMEOUT,
    CONFIRM_TIMEOUT,
    FULL_TEXT,
    LARGE_CONFIG_BYTES,
    LEADER_WAIT,
    MAX_CONFIG_BYTES,
    STATUS_ACCEPTED,
    STATUS_FULL,
    STATUS_INVALID,
    STATUS_NOT_LEADER,
    STATUS_OK,
    STATUS_SUPERSEDED,
    STATUS_UNKNOWN,
    STATUS_UNKNOWN_HOST,
    TICK,
    TIME_STAMP_INTERVAL,
    VERSIONS_KEPT_SECONDS,
)
from bitterntiller.components.control.heartbeats import granted_reply, rejected_reply
from bitterntiller.components.control.leader import LeaderTerm
from bitterntiller.components.control.pending_changes import PendingChanges
from bitterntiller.components.control.proposals import Proposer
from bitterntiller.components.control.services import ServiceNames
from bitterntiller.components.control.state import ControlState
from bitterntiller.components.control.validate import ParseConfig, find_change_error
from bitterntiller.components.control.version_replies import versions_reply
from bitterntiller.components.rollouts.const import LABEL_VERSION
from bitterntiller.components.rollouts.leader import RolloutLeader
from bitterntiller.core import events
from bitterntiller.core.interfaces import ReplicatedLog
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages


class ControlCoordinator:
    """Serves requests as leader; other replicas reply with the leader's address.

    With assigns_owners False it assigns no pools: entry hosts choose the owners.
    """

    def __init__(
        self,
        runtime: Runtime,
        log: ReplicatedLog,
        state: ControlState,
        parse: ParseConfig,
        assigns_owners: bool = True,
    ) -> None:
        self._assigns_owners = assigns_owners
        self._runtime = runtime
        self._clock = runtime.clock
        self._timings = runtime.settings.timings
        self._log = log
        self._parse = parse
        self._budget = control_budget(runtime.settings.limits)
        self._copies = ConfigCopies(self._budget.copies)
        self._confirm = ConfirmationBatcher(log, CONFIRM_TIMEOUT)
        self._proposer = Proposer(log, self._make_command)
        self._changes = PendingChanges(
            self._async_decide_change,
            self._budget.changes,
            lambda: self._change_reply(STATUS_FULL, BUSY_TEXT),
        )
        self._term: LeaderTerm | None = None
        self._ordered_versions_only = runtime.settings.rollouts.ordered_only
        self.state = state
        self.rollouts = RolloutLeader(
            state.rollouts,
            self._proposer,
            runtime.settings.rollouts,
            runtime.metrics,
            self._cluster_ms,
            self._async_is_confirmed_leader,
            ServiceNames(state.configuration, parse).names,
            log.leader,
        )

    async def async_start(self, tick: bool = True) -> None:
        """Start to serve requests, until the process unloads.

        Without tick, pools are assigned only by calls of async_place.
        """
        handlers = {
            messages.Heartbeat: self.async_heartbeat,
            messages.Change: self.async_change,
            messages.GetConfig: self.async_get_config,
            messages.GetConfigPart: self.async_get_config_part,
            messages.ControlStatus: self.async_status,
            messages.ReleasePools: self.async_release_pools,
            messages.Claim: self.async_claim,
            messages.RegisterUpstream: self.async_register_upstream,
            messages.GetVersions: self.async_get_versions,
            messages.StartRollout: self.rollouts.async_start_rollout,
            messages.GetRollout: self.rollouts.async_get_rollout,
            messages.RolloutReport: self.rollouts.async_report,
        }
        self._add_memory_holders()
        await self._runtime.async_spawn(self._confirm.async_run())
        await self._runtime.async_spawn(self._proposer.async_run())
        if tick:
            await self._runtime.async_spawn(self._async_tick())
            await self._runtime.async_spawn(self.rollouts.async_run())
        for cls, handler in handlers.items():
            self._runtime.stack.callback(self._runtime.links.handle(cls, handler))

    def _add_memory_holders(self) -> None:
        add, configuration = self._runtime.memory.add, self.state.configuration
        add("control.configuration", lambda: len(configuration.text), MAX_CONFIG_BYTES)
        add("control.patches", lambda: configuration.patches_bytes, MAX_CONFIG_BYTES)
        add("control.outcomes", lambda: configuration.outcomes_bytes)
        add("control.copies", lambda: self._copies.bytes, self._budget.copies)
        add("control.changes", lambda: self._changes.bytes, self._budget.changes)

    async def async_transfer_leadership(self) -> None:
        """Transfer leadership to another host before this one stops.

        Wait no longer than an election without a transfer would take.
        """
        if not self._log.is_leader():
            return
        transferred = await self._log.async_transfer_leadership(
            self._timings.election_min
        )
        logging.info(
            "leadership transfer of control %s",
            "completed" if transferred else "failed",
        )
        events.emit("handed-over", done=transferred, leader=self._log.leader())

    def followed_leader(self) -> str:
        """Return the address of the leader that this replica follows, or empty."""
        return self._log.leader()

    def leader_term(self) -> LeaderTerm | None:
        """Return the state of the current term, None if not the leader."""
        if not self._log.is_leader():
            return None
        term = int(self._log.status()["term"])
        if self._term is None or self._term.term != term:
            now = self._clock.now()
            self._term = LeaderTerm(term, now, self.state, self._timings)
            self._runtime.metrics.count("control.takeover")
            logging.info("became leader of control in term %d", term)
            events.emit("leading", term=term, applied=self.state.applied)
        return self._term

    async def _async_confirmed_term(self) -> LeaderTerm | None:
        """Return the current term if a quorum confirms leadership after this call."""
        term = self.leader_term()
        if term is None or await self._confirm.async_confirm() is None:
            return None
        return term

    def _cluster_ms(self) -> int | None:
        term = self.leader_term()
        return None if term is None else term.cluster_ms(self._clock.now())

    async def _async_is_confirmed_leader(self) -> bool:
        return await self._async_confirmed_term() is not None

    async def async_heartbeat(self, sender: str, heartbeat: Any) -> Any:
        """Reply to a messages.Heartbeat, with a lease once leadership is confirmed."""
        if not self._log.leader():
            await self._log.async_wait_for_leader(LEADER_WAIT)
        term = self.leader_term()
        if term is None:
            return self._reject_heartbeat(STATUS_NOT_LEADER)
        session = term.sessions.record_heartbeat(heartbeat, self._clock.now())
        if session is None or not term.may_grant(session, session.last_heartbeat_at):
            return self._reject_heartbeat(STATUS_UNKNOWN_HOST)
        term.sessions.record_grant(session)
        if term.directory.is_missing(session):
            # Waiting for the next tick would leave owners unknown for that long after a
            # restart of all hosts, while requests wait for them.
            term.rebuild_directory(session.last_heartbeat_at)
        # The confirmation may belong to a later term of this replica. That is safe: the
        # lease began before that term, and a new term waits until such leases end.
        if await self._confirm.async_confirm() is None:
            return self._reject_heartbeat(STATUS_NOT_LEADER)
        self._runtime.metrics.count("control.heartbeat.granted")
        leader = self._log.leader()
        return granted_reply(
            heartbeat,
            term,
            self.state,
            self._copies,
            self._timings,
            leader,
            self._clock.now(),
        )

    def _reject_heartbeat(self, status: str) -> Any:
        self._runtime.metrics.count(f"control.heartbeat.{status}")
        return rejected_reply(status, self._log.leader())

    async def async_change(self, sender: str, change: Any) -> Any:
        """Reply to a messages.Change; accepted only once it is committed."""
        if self.leader_term() is None:
            return self._change_reply(STATUS_NOT_LEADER)
        wait = CHANGE_WAIT_FRACTION * self._timings.link_call
        reply = await self._changes.async_reply(change, wait)
        return reply if reply is not None else self._unknown_change_reply()

    async def _async_decide_change(self, change: Any) -> Any:
        # A decided change keeps its outcome, even if validation has become stricter.
        numbered = change.number is not None
        if numbered or change.change_id not in self.state.configuration.outcomes_by_id:
            error = await self._async_find_change_error(change)
            if error:
                return self._change_reply(STATUS_INVALID, error)
        if numbered and change.number <= self.state.configuration.number:
            # What is applied here is committed, so this stays without effect.
            self._report_change(change, STATUS_SUPERSEDED)
            return self._change_reply(STATUS_ACCEPTED)
        proposed = await self._proposer.async_propose(COMMIT_TIMEOUT, change=change)
        self._report_change(change, proposed.status)
        if proposed.result is not None:
            return proposed.result.change
        if proposed.status == STATUS_UNKNOWN:
            return self._unknown_change_reply()
        text = FULL_TEXT if proposed.status == STATUS_FULL else ""
        return self._change_reply(proposed.status, text)

    def _report_change(self, change: Any, status: str) -> None:
        self._runtime.metrics.count(f"control.change.{status}")
        events.emit(
            "change",
            status=status,
            number=change.number,
            version=self.state.configuration.version,
            held=self.state.configuration.number,
        )

    def _unknown_change_reply(self) -> Any:
        text = "resend the change with the same change id"
        return self._change_reply(STATUS_UNKNOWN, text)

    async def _async_find_change_error(self, change: Any) -> str:
        """Validate a change, a large one in a thread so that heartbeats don't wait."""
        limit = self._budget.document
        if len(change.config) <= LARGE_CONFIG_BYTES:
            return find_change_error(change, self._parse, limit)
        return await curio.run_in_thread(find_change_error, change, self._parse, limit)

    def _change_reply(self, status: str, text: str = "") -> Any:
        version = self.state.configuration.version
        leader = self._log.leader()
        return messages.ChangeReply(
            status=status, version=version, text=text, leader=leader
        )

    async def async_get_config(self, sender: str, request: Any) -> Any:
        """Reply to a messages.GetConfig with the latest accepted configuration."""
        if await self._async_confirmed_term() is None:
            return messages.ConfigReply(
                status=STATUS_NOT_LEADER,
                version=0,
                config=b"",
                leader=self._log.leader(),
            )
        configuration = self.state.configuration
        return messages.ConfigReply(
            status=STATUS_OK, version=configuration.version, config=configuration.text
        )

    async def async_get_config_part(self, sender: str, request: Any) -> Any:
        """Reply to a messages.GetConfigPart.

        Leadership is not confirmed: the node has the version and digest from the reply
        to a heartbeat, and its lease begins with that heartbeat.
        """
        return self._copies.part(request)

    async def async_get_versions(self, sender: str, request: Any) -> Any:
        """Reply to a messages.GetVersions with the versions that services had lately.

        Those are the services that the request names and that its route led to lately.
        Leadership is confirmed after the request arrived, so that no version or service
        is missing which another host has heard of.
        """
        term = await self._async_confirmed_term()
        leader = self._log.leader()
        if term is None:
            return messages.GetVersionsReply(
                status=STATUS_NOT_LEADER, leader=leader, services=[]
            )
        since = term.cluster_ms(self._clock.now()) - int(VERSIONS_KEPT_SECONDS * 1000)
        return versions_reply(self.state, request, since, leader)

    async def async_register_upstream(self, sender: str, request: Any) -> Any:
        """Reply to a messages.RegisterUpstream; ok only once a change is committed.

        After ok, a leaving upstream no longer expects requests that were on their way.
        If its departure were only in memory and this process died, other hosts would
        send it requests again.
        """
        term = self.leader_term()
        if term is None:
            return self._register_reply(STATUS_NOT_LEADER)
        now = self._clock.now()
        if not self.state.upstreams.can_register(request.upstream.name):
            self._runtime.metrics.count(f"control.register_upstream.{STATUS_FULL}")
            return self._register_reply(STATUS_FULL)
        changed = term.registrar.record_announcement(request.upstream, now)
        if not changed:
            return self._register_reply(STATUS_OK)
        proposed = await self._proposer.async_propose(
            upstreams=changed, settle_versions=self._ordered_versions_only
        )
        status = STATUS_OK if proposed.result is not None else proposed.status
        self._runtime.metrics.count(f"control.register_upstream.{status}")
        events.emit(
            "upstream",
            status=status,
            states={item.name: item.state for item in changed},
            software={
                item.name: item.labels.get(LABEL_VERSION, "") for item in changed
            },
            version=self.state.upstreams.version,
        )
        return self._register_reply(status)

    def _register_reply(self, status: str) -> Any:
        leader = self._log.leader()
        return messages.RegisterUpstreamReply(status=status, leader=leader)

    async def async_claim(self, sender: str, claim: Any) -> Any:
        """Reply to a messages.Claim; taken only once it is committed."""
        term = self.leader_term()
        if term is None:
            return claim_reply(STATUS_NOT_LEADER, leader=self._log.leader())
        if claim.action == ACTION_FIND:
            if await self._async_confirmed_term() is None:
                return claim_reply(STATUS_NOT_LEADER, leader=self._log.leader())
            reply = self.state.claims.find(claim)
        else:
            reply = await self._proposer.async_claim(claim)
        self._runtime.metrics.count(f"control.claim.{claim.action}.{reply.status}")
        return self._mark_orphaned(claim, reply, term)

    def _mark_orphaned(self, claim: Any, reply: Any, term: LeaderTerm) -> Any:
        if reply.status != CLAIM_RUNNING:
            return reply
        record = self.state.claims.record(claim)
        now = self._clock.now()
        if record and term.is_holder_dead(record.host, record.incarnation, now):
            reply.status = CLAIM_ORPHANED
        return reply

    async def async_release_pools(self, sender: str, release: Any) -> Any:
        """Reply to a messages.ReleasePools of an owner that has stopped acting."""
        term = self.leader_term()
        if term is None:
            return self._release_reply(STATUS_NOT_LEADER)
        term.sessions.drain(release.host, release.incarnation)
        proposed = await self._proposer.async_propose(release=release)
        if proposed.result is None:
            return self._release_reply(proposed.status)
        await self.async_place()
        return self._release_reply(STATUS_OK)

    def _release_reply(self, status: str) -> Any:
        return messages.ReleasePoolsReply(status=status, leader=self._log.leader())

    async def async_status(self, sender: str, request: Any) -> Any:
        """Reply to a messages.ControlStatus with a JSON document."""
        term = await self._async_confirmed_term()
        document = json.dumps(self.describe()).encode()
        return messages.ControlStatusReply(
            status=STATUS_OK if term else STATUS_NOT_LEADER,
            leader=self._log.leader(),
            document=document,
        )

    def describe(self) -> dict[str, Any]:
        """Return the section of control in the state dump."""
        return diagnostics.describe(
            self._log, self.state, self.leader_term(), self._timings, self._clock.now()
        )

    def _make_command(self) -> Any:
        term = self.leader_term()
        time_ms = term.cluster_ms(self._clock.now()) if term else self.state.time_ms
        return messages.Command(
            time_ms=time_ms,
            forget_changes_ms=time_ms - int(self._timings.change_id_age * 1000),
            forget_claims_ms=time_ms - int(self._timings.claim_age * 1000),
        )

    async def _async_tick(self) -> None:
        while True:
            await curio.sleep(TICK)
            await self.async_place()
            await self._async_commit_silence_changes()
            await self._async_stamp_time()

    async def async_place(self) -> None:
        """Assign pools without an owner that can act, and update the directory."""
        term = self.leader_term()
        if term is None:
            return
        plan = []
        if self._assigns_owners:
            pools = self.state.configuration.document.get("services", {})
            plan = term.plan(pools, self._clock.now())
        if plan:
            await self._proposer.async_propose(assignments=plan)
            self._runtime.metrics.count("control.assignments", len(plan))
        if term.rebuild_directory(self._clock.now()):
            self._runtime.metrics.count("control.directory.changed")

    async def _async_commit_silence_changes(self) -> None:
        """Commit the upstreams that became silent, or that now count as gone."""
        term = self.leader_term()
        if term is None:
            return
        changed = term.registrar.silence_changes(self._clock.now())
        if changed:
            states = {item.name: item.state for item in changed}
            events.emit("upstream-silent", states=states, term=term.term)
            await self._proposer.async_propose(
                upstreams=changed, settle_versions=self._ordered_versions_only
            )

    async def _async_stamp_time(self) -> None:
        """Commit the cluster time regularly, so that a new leader continues from it."""
        term = self.leader_term()
        if term is None:
            return
        ahead_ms = term.cluster_ms(self._clock.now()) - self.state.time_ms
        if ahead_ms >= TIME_STAMP_INTERVAL * 1000:
            await self._proposer.async_propose()
