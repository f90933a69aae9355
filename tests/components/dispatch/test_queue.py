"""Order of requests between workspaces and by size."""

from collections import Counter

from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import PolicyParameters, WorkspaceLimits
from bitterntiller.components.dispatch.ordering import new_ordering
from bitterntiller.components.dispatch.queue import PoolQueue
from bitterntiller.components.dispatch.workspace_limiter import WorkspaceLimiter

from .builders import request


def queue_of(jobs, **shares):
    limiter = WorkspaceLimiter()
    limiter.set_limits({name: WorkspaceLimits(share=s) for name, s in shares.items()})
    queue = PoolQueue(True, limiter)
    for job in jobs:
        job.group_key = (None, frozenset(), 0)
        queue.push(job)
    return queue


def drain(queue, count):
    taken = []
    for _ in range(count):
        job = queue.head(())
        queue.remove(job)
        queue.charge(job)
        taken.append(job)
    return taken


def job(number, workspace, work=1.0):
    created = Job(request(f"r{number}", workspace=workspace), number, 0.0)
    created.work = work
    return created


def test_large_workspace_does_not_delay_a_small_one():
    """A workspace has 100 requests waiting when the 10 of another one arrive.

    With first come, first served the 10 would wait for the 100.
    """
    jobs = [job(number, "large") for number in range(100)]
    jobs += [job(number, "small") for number in range(100, 110)]
    first = Counter(taken.workspace for taken in drain(queue_of(jobs), 20))
    assert first["small"] == 10


def test_shares_weigh_work_not_requests():
    jobs = [job(number, "double") for number in range(100)]
    jobs += [job(number, "heavy", work=2.0) for number in range(100, 200)]
    first = Counter(taken.workspace for taken in drain(queue_of(jobs, double=2.0), 50))
    assert 38 <= first["double"] <= 42


def test_long_work_is_overtaken_for_a_limited_time():
    ordering = new_ordering(PolicyParameters(ageing=2.0))
    long = job(0, "foresters", work=10.0)
    early, late = job(1, "foresters"), job(2, "foresters")
    early.request = early.request._replace(arrived=long.request.arrived + 17)
    late.request = late.request._replace(arrived=long.request.arrived + 19)
    assert ordering.key(early) < ordering.key(long) < ordering.key(late)
