"""One run: a pool, a case, a load, a seed and a scheduler."""

import time
from collections.abc import Callable

import numpy as np

from bench.arrivals import capacity, make_asks
from bench.cases import CASES_BY_NAME
from bench.deployments import POOLS_BY_NAME
from bench.entry import EntryHosts
from bench.events import EventLoop
from bench.fleet import Station, make_fleet
from bench.measures import Measures, measure
from bench.models import CaseSpec, RunSpec
from bench.owner import SETTLE_SECONDS, Owner
from bench.schedulers import make_scheduler
from bitterntiller.components.dispatch.models import Decision, Scheduler

FLEET_STREAM = 1
SCHEDULER_STREAM = 2


def run(spec: RunSpec) -> Measures:
    """Run an experiment to its end and return its measures."""
    return measure(spec, *simulate(spec))


def simulate(
    spec: RunSpec, maker: Callable[[], Scheduler] | None = None
) -> tuple[EntryHosts, Owner, float]:
    """Run an experiment; return the hosts, the owner and the seconds it took.

    maker makes the scheduler under test, if it is not the one named in spec.
    """
    began = time.process_time()
    pool = POOLS_BY_NAME[spec.pool]
    case = CASES_BY_NAME[spec.case]
    rate = spec.load * capacity(pool.name)
    asks = make_asks(pool, rate, spec.duration, case.bursty, spec.seed)
    loop = EventLoop()
    scheduler_rng = np.random.default_rng([spec.seed, SCHEDULER_STREAM])
    hosts: EntryHosts

    def decide(decision: Decision) -> None:
        hosts.decide(decision)

    if maker is None:

        def maker() -> Scheduler:
            return make_scheduler(spec.scheduler, pool, scheduler_rng, spec.parameters)

    owner = Owner(loop, maker, list(pool.weights_by_workspace), pool.delay, decide)
    hosts = EntryHosts(loop, owner, pool.delay, case.comebacks)
    hosts.stations_by_name = make_fleet(
        pool,
        case,
        loop,
        owner,
        np.random.default_rng([spec.seed, FLEET_STREAM]),
        hosts.first_token,
        hosts.finished,
    )
    owner.begin()
    for station in hosts.stations_by_name.values():
        station.start()
    hosts.report_progress()
    for ask in asks:
        loop.at(ask.at, hosts.arrive, ask)
    _plan_faults(case, spec.duration, loop, owner, hosts)
    longest = max((ask.deadline for ask in asks), default=0.0)
    loop.run(spec.duration + longest + 1.0)
    return hosts, owner, time.process_time() - began


def _plan_faults(
    case: CaseSpec, duration: float, loop: EventLoop, owner: Owner, hosts: EntryHosts
) -> None:
    """Plan what goes wrong in a run."""
    if case.slow_speed != 1.0:
        station = _slow_station(hosts)
        loop.at(duration * case.slow_from, station.set_speed, case.slow_speed)
        loop.at(duration * case.slow_until, station.set_speed, 1.0)
    if case.killed_at is not None:
        killed_at = duration * case.killed_at
        loop.at(killed_at, owner.kill)
        loop.at(killed_at + case.owner_gap, owner.begin, SETTLE_SECONDS)
        loop.at(killed_at + case.owner_gap, hosts.reregister)


def _slow_station(hosts: EntryHosts) -> Station:
    """Return the upstream that is slowed down: the first, which is the fastest."""
    return next(iter(hosts.stations_by_name.values()))
