"""One simulation run of a pool, a case, a load, a seed and a scheduler."""

import time
from collections.abc import Callable

import numpy as np

from bench.arrivals import capacity, make_requests
from bench.cases import CASES_BY_NAME
from bench.deployments import POOLS_BY_NAME
from bench.entry import EntryHosts
from bench.events import EventLoop
from bench.fleet import SimulatedUpstream, make_fleet
from bench.measures import Measures, measure
from bench.models import CaseSpec, RunSpec
from bench.owner import SETTLE_SECONDS, Owner
from bench.schedulers import make_scheduler
from bitterntiller.components.dispatch.models import Decision, Scheduler

FLEET_STREAM = 1
SCHEDULER_STREAM = 2


def run(spec: RunSpec) -> Measures:
    """Run a simulation to its end and return its measures."""
    return measure(spec, *simulate(spec))


def simulate(
    spec: RunSpec, make_scheduler_under_test: Callable[[], Scheduler] | None = None
) -> tuple[EntryHosts, Owner, float]:
    """Run a simulation; return the hosts, the owner and the processor seconds used.

    make_scheduler_under_test replaces the scheduler that spec names.
    """
    started_at = time.process_time()
    pool = POOLS_BY_NAME[spec.pool]
    case = CASES_BY_NAME[spec.case]
    rate = spec.load * capacity(pool.name)
    requests = make_requests(pool, rate, spec.duration, case.bursty, spec.seed)
    loop = EventLoop()
    scheduler_rng = np.random.default_rng([spec.seed, SCHEDULER_STREAM])
    hosts: EntryHosts

    def handle_decision(decision: Decision) -> None:
        hosts.handle_decision(decision)

    if make_scheduler_under_test is None:

        def make_scheduler_under_test() -> Scheduler:
            return make_scheduler(spec.scheduler, pool, scheduler_rng, spec.parameters)

    owner = Owner(
        loop,
        make_scheduler_under_test,
        list(pool.weights_by_workspace),
        pool.delay,
        handle_decision,
    )
    hosts = EntryHosts(loop, owner, pool.delay, case.max_retries)
    hosts.upstreams_by_name = make_fleet(
        pool,
        case,
        loop,
        owner,
        np.random.default_rng([spec.seed, FLEET_STREAM]),
        hosts.record_first_token,
        hosts.record_end,
    )
    owner.start()
    for upstream in hosts.upstreams_by_name.values():
        upstream.start()
    hosts.report_progress()
    for request in requests:
        loop.at(request.at, hosts.accept, request)
    _schedule_faults(case, spec.duration, loop, owner, hosts)
    longest = max((request.deadline for request in requests), default=0.0)
    loop.run(spec.duration + longest + 1.0)
    return hosts, owner, time.process_time() - started_at


def _schedule_faults(
    case: CaseSpec, duration: float, loop: EventLoop, owner: Owner, hosts: EntryHosts
) -> None:
    """Schedule the faults of a case."""
    if case.slow_speed != 1.0:
        upstream = _slowed_upstream(hosts)
        loop.at(duration * case.slow_from, upstream.set_speed, case.slow_speed)
        loop.at(duration * case.slow_until, upstream.set_speed, 1.0)
    if case.killed_at is not None:
        killed_at = duration * case.killed_at
        loop.at(killed_at, owner.kill)
        loop.at(killed_at + case.owner_gap, owner.start, SETTLE_SECONDS)
        loop.at(killed_at + case.owner_gap, hosts.reregister)


def _slowed_upstream(hosts: EntryHosts) -> SimulatedUpstream:
    """Return the upstream that is slowed down: the first one, which is the fastest."""
    return next(iter(hosts.upstreams_by_name.values()))
