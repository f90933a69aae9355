"""Runs a replica: its timers, disk writes, messages and callers."""

import random
from collections.abc import Mapping
from typing import Any

import curio
from absl import logging

from bitterntiller.core import events
from bitterntiller.core.errors import BrokenInvariantError
from bitterntiller.core.interfaces import ProposalResult, StateMachine
from bitterntiller.core.runtime import Runtime
from bitterntiller.core.timeouts import ignore_after
from bitterntiller.protocol import messages

from . import memory
from .budget import replica_budget
from .const import (
    STATUS_FULL,
    STATUS_NOT_LEADER,
    STATUS_UNKNOWN,
    EntryKind,
)
from .core import Replica
from .diagnostics import describe
from .formation import Formation
from .identity import host_of
from .joiner import Joiner
from .members import find, voters
from .models import Effects, Entry, ReturnCheck, Tuning
from .outbox import Outbox
from .repairer import Repairer
from .state import Role, State
from .storage import Storage
from .waiters import Waiters
from .wire import WIRE_TYPES, from_wire, to_wire
from .writer import LogWriter

TICK = 0.03
TRANSFER_RETRY_PERIOD = 0.1
"""Seconds between attempts to transfer leadership; one takes some messages and two
syncs."""


class ReplicationCoordinator:
    """ReplicatedLog backed by the replica on this host."""

    def __init__(
        self, runtime: Runtime, machine: StateMachine, storage: Storage
    ) -> None:
        self._runtime = runtime
        self._machine = machine
        self._storage = storage
        self._rng = random.SystemRandom()
        self._tuning = _tuning(runtime)
        self._outbox = Outbox(runtime, self._tuning.budget.outbox)
        self._waiters = Waiters()
        self._wake = curio.Event()
        self._joiner = Joiner(runtime, lambda: self._replica, self._wake.set)
        self._writer = LogWriter(
            runtime, storage, lambda: self._replica, self._wake.set
        )
        self._repairer = Repairer(
            runtime.clock,
            lambda: self._replica,
            self,
            self._wake.set,
            self._tuning.election_max,
        )
        self._formation = Formation()
        self._applied = 0
        self._has_commands = False
        self._applied_bytes = 0
        self._snapshot_bytes = 0
        self._was_leader = False
        self._startup_check_done = False
        self._reply_address_by_host: dict[str, str] = {}
        self._leader_known = curio.Event()
        self._initial = machine.snapshot()
        self.failure: BrokenInvariantError | None = None
        self._replica = self._new_replica()

    def _new_replica(self) -> Replica:
        now = self._runtime.clock.now()
        return Replica(self._storage.take_restored(), self._tuning, self._rng, now)

    async def async_start(self) -> None:
        """Start processing messages and timers until the process unloads."""
        links, stack = self._runtime.links, self._runtime.stack
        self._add_memory_holders()
        for cls in WIRE_TYPES:
            stack.callback(links.handle(cls, self._async_receive))
        stack.callback(links.handle(messages.Join, self._joiner.async_on_join))
        stack.callback(links.handle(messages.Repair, self._repairer.async_on_repair))
        tasks = (self._writer.async_run, self._async_run, self._async_tick)
        for run in (*tasks, self._joiner.async_run):
            await self._runtime.async_spawn(self._async_guarded(run))

    def _add_memory_holders(self) -> None:
        add = self._runtime.memory.add
        storage, outbox = self._storage, self._outbox
        budget = self._tuning.budget
        log = budget.applied + budget.trailing + budget.uncommitted
        add("replication.log", lambda: self._state.log.bytes, log)
        add("replication.snapshot", lambda: memory.snapshot_bytes(self._state))
        pinned = budget.pinned
        add("replication.pinned", lambda: memory.pinned_bytes(self._state), pinned)
        add("replication.incoming", lambda: memory.incoming_bytes(self._state))
        add("replication.write", lambda: memory.write_bytes(self._state.pending_write))
        add("replication.outbox", lambda: outbox.queued_bytes, budget.outbox)
        add("replication.restored", lambda: storage.restored_bytes)
        add("replication.disk", lambda: storage.disk_bytes)

    @property
    def _state(self) -> State:
        return self._replica.state

    async def async_propose(self, command: bytes, timeout: float) -> ProposalResult:
        """Append a command and wait until it is committed and applied.

        The first command of a deployment waits until as many hosts vote as its
        settings want.
        """
        ends = self._runtime.clock.now() + timeout
        while self._is_forming():
            if self._runtime.clock.now() >= ends:
                return ProposalResult(STATUS_UNKNOWN, b"", self.leader())
            await curio.sleep(TICK)
        timeout = ends - self._runtime.clock.now()
        position = None if self.failure else self._replica.propose(command)
        if position is None:
            return ProposalResult(self._refused_status(command), b"", self.leader())
        proposal = self._waiters.add_proposal(position)
        await self._wake.set()
        async with ignore_after(timeout):
            await proposal.done.wait()
        self._waiters.drop_proposal(position, proposal)
        if proposal.result is None:
            return ProposalResult(STATUS_UNKNOWN, b"", self.leader())
        return proposal.result._replace(leader=self.leader())

    def _refused_status(self, command: bytes) -> str:
        is_full = self.is_leader() and not self._replica.has_room(len(command))
        return STATUS_FULL if is_full else STATUS_NOT_LEADER

    def _is_forming(self) -> bool:
        if self._has_commands or self.failure:
            return False
        now = self._runtime.clock.now()
        return self._formation.is_awaited(self._replica.state, now)

    async def async_confirm(self, timeout: float) -> int | None:
        """Return a read index confirmed by a quorum once it is applied, else None."""
        token = self._waiters.new_token()
        if self.failure or not self._replica.request_read_index(token):
            return None
        read = self._waiters.add_read(token)
        await self._wake.set()
        async with ignore_after(timeout):
            await read.done.wait()
            return read.index
        self._waiters.drop_read(token, read)
        return None

    async def async_transfer_leadership(self, timeout: float) -> bool:
        """Transfer leadership; return False if this replica still leads afterwards.

        Called before a stop. Retry for up to timeout seconds, unless no voter can take
        over. Return True at once if this replica is not the leader.
        """
        async with ignore_after(timeout):
            while self.is_leader():
                if not self._replica.transfer_leadership(self._runtime.clock.now()):
                    return False
                await self._wake.set()
                await curio.sleep(TRANSFER_RETRY_PERIOD)
        return not self.is_leader()

    def is_leader(self) -> bool:
        """Return whether this replica is the leader, as far as it knows."""
        return self._replica.state.role is Role.LEADER and self.failure is None

    def leader(self) -> str:
        """Return the internal address of the leader, empty if unknown."""
        state = self._replica.state
        member = find(state.members, state.leader)
        return member.address if member else ""

    async def async_wait_for_leader(self, timeout: float) -> None:
        """Wait until a leader is known here, for up to timeout seconds."""
        async with ignore_after(timeout):
            await self._leader_known.wait()

    def status(self) -> Mapping[str, Any]:
        """Return term, leader, members, indexes and lags for the state dump."""
        now = self._runtime.clock.now()
        described = describe(self._replica.state, self._applied, now)
        described["failure"] = str(self.failure or "")
        return described

    async def _async_guarded(self, run: Any) -> None:
        """Run a task; on a broken invariant, stop the whole replica."""
        try:
            await run()
        except BrokenInvariantError as error:
            await self._async_halt(error)

    async def _async_halt(self, error: BrokenInvariantError) -> None:
        self.failure = self.failure or error
        logging.error("stopping the replica: %s", error)
        await self._waiters.async_fail_all()
        await self._runtime.async_fail(error)

    async def _async_receive(self, host: str, message: Any) -> None:
        if self.failure:
            return
        plain = from_wire(message)
        if host_of(plain[1]) != host:
            self._runtime.metrics.count("replication.wrong_sender")
            return
        if isinstance(plain, ReturnCheck):
            self._reply_address_by_host[host] = plain.address
        try:
            self._replica.receive(plain, self._runtime.clock.now())
        except BrokenInvariantError as error:
            await self._async_halt(error)
        await self._wake.set()

    async def _async_tick(self) -> None:
        while self.failure is None:
            await self._wake.set()
            await curio.sleep(TICK)

    async def _async_run(self) -> None:
        while self.failure is None:
            await self._wake.wait()
            self._wake.clear()
            now = self._runtime.clock.now()
            self._writer.check_stall(now)
            self._replica.tick(now)
            self._repairer.step(now)
            await self._async_execute(self._replica.take_effects(now))

    async def _async_execute(self, effects: Effects) -> None:
        if effects.retired:
            await self._async_retire(effects.retired)
            return
        if effects.persist is not None:
            await self._writer.async_request(effects.persist)
        for outgoing in effects.messages:
            await self._async_send(outgoing.to, to_wire(outgoing.message))
        if effects.restore is not None:
            self._machine.restore(effects.restore.data)
            self._applied = effects.restore.index
            self._has_commands = True
        for entry in effects.committed:
            await self._async_apply(entry)
        for outcome in effects.reads:
            await self._waiters.async_resolve_read(outcome, self._applied)
        await self._waiters.async_notify_applied(self._applied)
        self._report_startup_check()
        await self._async_handle_role_change()
        self._snapshot_if_due()
        if effects.committed:
            await self._wake.set()

    async def _async_apply(self, entry: Entry) -> None:
        result = b""
        if entry.kind == EntryKind.COMMAND:
            result = self._machine.apply(entry.index, entry.data)
            self._report_first_command()
        self._applied = entry.index
        self._applied_bytes += len(entry.data)
        await self._waiters.async_resolve_proposal(entry.index, entry.term, result)

    def _report_first_command(self) -> None:
        """Emit an event with the number of voters at the first command."""
        if not self._has_commands:
            self._has_commands = True
            count = len(voters(self._replica.state.members))
            wanted = self._tuning.target_voters
            events.emit("first-command", voters=count, wanted=wanted)

    def _report_startup_check(self) -> None:
        """Emit an event once the startup check is complete."""
        startup_check = self._replica.state.startup_check
        if startup_check.done == self._startup_check_done:
            return
        self._startup_check_done = startup_check.done
        if startup_check.done:
            seconds = round(self._runtime.clock.now() - startup_check.started_at, 3)
            events.emit("voters-answered", after=seconds, term=self._replica.state.term)

    async def _async_handle_role_change(self) -> None:
        """Wake callers that wait for a leader; fail the others if leadership is lost.

        Pending proposals and reads then end at once, with an unknown outcome.
        """
        if not self.leader():
            self._leader_known.clear()
        elif not self._leader_known.is_set():
            await self._leader_known.set()
        leads = self._replica.state.role is Role.LEADER
        if leads == self._was_leader:
            return
        self._was_leader = leads
        logging.info(
            "term %d: this replica is leader: %s", self._replica.state.term, leads
        )
        if not leads:
            self._repairer.clear_commands()
            await self._waiters.async_fail_all()

    def _snapshot_if_due(self) -> None:
        """Take a snapshot and compact the log when it has many entries or bytes.

        A command can hold a group of claims, so a log of few entries can be hundreds
        of megabytes, and loading it at a start takes minutes. After a large
        snapshot, the next one is due by size only once as many bytes were applied.
        """
        snapshot = self._replica.state.snapshot
        behind = self._applied - (snapshot.index if snapshot else 0)
        entries = self._runtime.settings.control.snapshot_entries
        size = max(self._tuning.budget.applied, self._snapshot_bytes)
        if not behind or (behind < entries and self._applied_bytes < size):
            return
        data = self._machine.snapshot()
        self._replica.snapshot_taken(self._applied, data)
        self._applied_bytes = 0
        self._snapshot_bytes = len(data)

    async def _async_retire(self, why: str) -> None:
        """Restart under a new identity, as a learner with an empty log."""
        logging.warning("replica %s is retired: %s", self._replica.state.replica, why)
        self._runtime.metrics.count("replication.retired")
        await self._writer.async_retire(self._reset_replica)
        await self._waiters.async_fail_all()

    def _reset_replica(self) -> None:
        self._machine.restore(self._initial)
        self._applied = 0
        self._has_commands = False
        self._replica = self._new_replica()

    async def _async_send(self, replica: str, message: Any) -> None:
        address = self._address_of(replica)
        if address:
            await self._outbox.async_put(address, message)

    def _address_of(self, replica: str) -> str:
        state = self._replica.state
        member = find(state.members, replica)
        pending = state.pending_check()
        if member is None and not pending.done:
            member = find(pending.newest_membership(state.members), replica)
        if member is not None:
            return member.address
        # An empty learner has no membership yet in which to look up its leader or the
        # replicas whose startup checks it replies to.
        known = self._joiner.address_by_replica.get(replica, "")
        return known or self._reply_address_by_host.get(host_of(replica), "")


def _tuning(runtime: Runtime) -> Tuning:
    timings = runtime.settings.timings
    return Tuning(
        election_min=timings.election_min,
        election_max=timings.election_max,
        heartbeat=timings.raft_heartbeat,
        leaderless_timeout=timings.leaderless,
        target_voters=runtime.settings.control.voters,
        budget=replica_budget(runtime.settings.limits),
    )
