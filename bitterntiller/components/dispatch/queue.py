"""Queue of a pool: priority by tier, then fair queueing between workspaces."""

import heapq
import itertools
from collections.abc import Container, Iterator

from sortedcontainers import SortedDict, SortedList

from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.workspace_limiter import WorkspaceLimiter

SHARED_FLOW = ""
"""Name of the single flow of a group when fair queueing is disabled."""


def groups_overlap(key: tuple, other: tuple) -> bool:
    """Return whether two groups may use the same upstream."""
    if key[0] is None or other[0] is None:
        return True
    return not key[0].isdisjoint(other[0])


class Flow:
    """Waiting requests of one workspace in one group, sorted by order key.

    scheduled is True if the flow has an entry in the heap of its group, or if it is set
    aside because its workspace is at its concurrency limit.
    """

    __slots__ = ("jobs", "scheduled", "work", "workspace")

    def __init__(self, workspace: str) -> None:
        self.workspace = workspace
        self.jobs: SortedList = SortedList()
        self.work = 0.0
        self.scheduled = False

    def add(self, job: Job) -> None:
        """Add a request."""
        self.jobs.add((job.order_key, job.sequence, job))
        self.work += job.work

    def remove(self, job: Job) -> None:
        """Remove a request."""
        self.jobs.remove((job.order_key, job.sequence, job))
        self.work -= job.work

    def first(self) -> Job:
        """Return the first request in order."""
        return self.jobs[0][2]

    def last(self) -> Job:
        """Return the last request in order."""
        return self.jobs[-1][2]


class Group:
    """Flows of requests that can use the same upstreams.

    key is the group_key of its jobs; the first item of it is the set of the allowed
    upstream names, or None. heap orders the flows by virtual time of their workspace.
    """

    __slots__ = ("flows_by_workspace", "heap", "key", "work")

    def __init__(self, key: tuple) -> None:
        self.key = key
        self.work = 0.0
        self.flows_by_workspace: dict[str, Flow] = {}
        self.heap: list[tuple[float, int, Flow]] = []


class TierQueue:
    """Waiting requests of one tier.

    Workspaces share the tier by start-time fair queueing: the virtual time of a
    workspace grows with the work that it was granted, divided by its share, and the
    workspace with the least virtual time is next. A workspace that was idle starts at
    the tier's current virtual time, so that it can't accumulate credit.
    """

    def __init__(self, rank: float, fair: bool, limiter: WorkspaceLimiter) -> None:
        self.rank = rank
        self.count = 0
        self.work = 0.0
        self.shares = 0.0
        self.groups_by_key: dict[tuple, Group] = {}
        self.work_by_workspace: dict[str, float] = {}
        self._count_by_workspace: dict[str, int] = {}
        self._fair = fair
        self._limiter = limiter
        self._entry_numbers = itertools.count()
        self._virtual_time = 0.0
        self._virtual_time_by_workspace: dict[str, float] = {}
        self._capped_by_workspace: dict[str, list[tuple[Group, Flow]]] = {}
        self._share_by_workspace: dict[str, float] = {}

    @property
    def holds_demoted(self) -> bool:
        """Return whether this is the queue of requests demoted behind a tier."""
        return self.rank != int(self.rank)

    def push(self, job: Job) -> None:
        """Add a request."""
        group = self.groups_by_key.get(job.group_key)
        if group is None:
            group = self.groups_by_key[job.group_key] = Group(job.group_key)
        name = job.workspace if self._fair else SHARED_FLOW
        flow = group.flows_by_workspace.get(name)
        if flow is None:
            flow = group.flows_by_workspace[name] = Flow(name)
        flow.add(job)
        group.work += job.work
        self._count(job, name, 1)
        if not flow.scheduled:
            self._push_flow(group, flow)

    def remove(self, job: Job) -> None:
        """Remove a request."""
        name = job.workspace if self._fair else SHARED_FLOW
        group = self.groups_by_key[job.group_key]
        flow = group.flows_by_workspace[name]
        flow.remove(job)
        group.work -= job.work
        if not flow.jobs:
            del group.flows_by_workspace[name]
            if not group.flows_by_workspace:
                del self.groups_by_key[job.group_key]
        self._count(job, name, -1)

    def charge(self, job: Job) -> None:
        """Advance the virtual time of a workspace by the work of a granted request."""
        name = job.workspace if self._fair else SHARED_FLOW
        begun = self._virtual_time_by_workspace.get(name, self._virtual_time)
        self._virtual_time = max(self._virtual_time, begun)
        spent = job.work / self._limiter.share(name)
        if name in self._count_by_workspace:
            self._virtual_time_by_workspace[name] = begun + spent

    def head(self, blocked: Container[tuple]) -> Job | None:
        """Return the next request of the groups that aren't blocked."""
        best: Job | None = None
        best_key = (0.0, 0.0)
        for key, group in self.groups_by_key.items():
            if (self.rank, key) in blocked:
                continue
            flow = self._next_flow(group)
            if flow is None:
                continue
            job = flow.first()
            time = self._virtual_time_by_workspace.get(
                flow.workspace, self._virtual_time
            )
            if best is None or (time, job.order_key) < best_key:
                best = job
                best_key = (time, job.order_key)
        return best

    def uncap(self, workspace: str) -> None:
        """Resume a workspace that was at its concurrency limit."""
        for group, flow in self._capped_by_workspace.pop(workspace, ()):
            flow.scheduled = False
            if flow.jobs:
                self._push_flow(group, flow)

    def work_ahead(self, job: Job) -> float:
        """Return the work queued ahead of a request in its own workspace.

        It is estimated from the request's position, at the mean work of each flow.
        """
        name = job.workspace if self._fair else SHARED_FLOW
        ahead = 0.0
        for group in self.groups_by_key.values():
            flow = group.flows_by_workspace.get(name)
            if flow is None or not groups_overlap(group.key, job.group_key):
                continue
            place = flow.jobs.bisect_left((job.order_key, job.sequence))
            ahead += flow.work * place / len(flow.jobs)
        return ahead

    def overlapping_work(self, key: tuple) -> float:
        """Return the work of the groups that may use the same upstreams as a group."""
        if key[0] is None:
            return self.work
        groups = self.groups_by_key.values()
        return sum(group.work for group in groups if groups_overlap(group.key, key))

    def uncap_all(self) -> None:
        """Resume all workspaces that were at their concurrency limit."""
        for workspace in list(self._capped_by_workspace):
            self.uncap(workspace)

    def flows(self) -> Iterator[Flow]:
        """Yield the flows of all groups."""
        for group in self.groups_by_key.values():
            yield from group.flows_by_workspace.values()

    def _push_flow(self, group: Group, flow: Flow) -> None:
        time = self._virtual_time_by_workspace.get(flow.workspace, self._virtual_time)
        heapq.heappush(group.heap, (time, next(self._entry_numbers), flow))
        flow.scheduled = True

    def _next_flow(self, group: Group) -> Flow | None:
        """Return the flow with the least virtual time, or None.

        Virtual times in the heap may be out of date and are corrected on the way. Flows
        of workspaces at their concurrency limit are set aside until uncap().
        """
        heap = group.heap
        while heap:
            time, entry, flow = heap[0]
            name = flow.workspace
            if not flow.jobs:
                heapq.heappop(heap)
                flow.scheduled = False
                continue
            present = self._virtual_time_by_workspace.get(name, self._virtual_time)
            if present > time:
                heapq.heapreplace(heap, (present, entry, flow))
                continue
            if self._limiter.at_concurrency_limit(name):
                heapq.heappop(heap)
                capped = self._capped_by_workspace.setdefault(name, [])
                capped.append((group, flow))
                continue
            return flow
        return None

    def _count(self, job: Job, name: str, by: int) -> None:
        self.count += by
        self.work += by * job.work
        count = self._count_by_workspace.get(name, 0) + by
        if not count:
            del self._count_by_workspace[name]
            del self.work_by_workspace[name]
            self.shares -= self._share_by_workspace.pop(name)
            virtual_time = self._virtual_time_by_workspace.get(name, 0.0)
            if virtual_time <= self._virtual_time:
                self._virtual_time_by_workspace.pop(name, None)
            return
        if by > 0 and count == 1:
            share = self._share_by_workspace[name] = self._limiter.share(name)
            self.shares += share
            known = self._virtual_time_by_workspace.get(name, self._virtual_time)
            self._virtual_time_by_workspace[name] = max(known, self._virtual_time)
        self._count_by_workspace[name] = count
        work = self.work_by_workspace.get(name, 0.0)
        self.work_by_workspace[name] = work + by * job.work


class PoolQueue:
    """Queues of all tiers, the most important one first."""

    def __init__(self, fair: bool, limiter: WorkspaceLimiter) -> None:
        self._fair = fair
        self._limiter = limiter
        self.tiers_by_rank: SortedDict = SortedDict()

    def tier(self, rank: float) -> TierQueue:
        """Return the queue of a tier."""
        tier = self.tiers_by_rank.get(rank)
        if tier is None:
            tier = TierQueue(rank, self._fair, self._limiter)
            self.tiers_by_rank[rank] = tier
        return tier

    def push(self, job: Job) -> None:
        """Add a request."""
        self.tier(job.queue_rank).push(job)

    def remove(self, job: Job) -> None:
        """Remove a request."""
        self.tiers_by_rank[job.queue_rank].remove(job)

    def charge(self, job: Job) -> None:
        """Charge the work of a granted request to its workspace."""
        self.tier(job.queue_rank).charge(job)

    def head_of(self, rank: float, blocked: Container[tuple]) -> Job | None:
        """Return the next request of one tier, or None."""
        tier = self.tiers_by_rank.get(rank)
        return tier.head(blocked) if tier is not None and tier.count else None

    def head(self, blocked: Container[tuple]) -> Job | None:
        """Return the next request of the groups that aren't blocked."""
        for tier in self.tiers_by_rank.values():
            if not tier.count:
                continue
            job = tier.head(blocked)
            if job is not None:
                return job
        return None

    def uncap(self, workspace: str) -> None:
        """Resume a workspace that was at its concurrency limit."""
        for tier in self.tiers_by_rank.values():
            tier.uncap(workspace)

    def uncap_all(self) -> None:
        """Resume all workspaces, since their limits may have changed."""
        for tier in self.tiers_by_rank.values():
            tier.uncap_all()

    def lowest_waiting(self) -> TierQueue | None:
        """Return the least important tier that has waiting requests, or None."""
        for tier in reversed(self.tiers_by_rank.values()):
            if tier.count:
                return tier
        return None
