"""One run of the lab: a sheet, a case, a seed."""

import math

import numpy as np

from bench.entry import EntryHosts
from bench.events import EventLoop
from bench.fleet import make_fleet
from bench.models import CaseSpec, PoolSpec
from bench.owner import Owner
from bench.routed.callers import Callers
from bench.routed.load import CASES_BY_NAME, make_asks
from bench.routed.sheets import Sheet, load_sheets
from bench.routed.tally import Tally, tally
from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.models import PolicyParameters
from bitterntiller.components.dispatch.scheduler import PoolScheduler

FLEET_STREAM = 1
SLOW_SPEED = 0.2
OWNER_GAP = 0.4
SETTLE = 0.2
DRAIN_SECONDS = 16.0


def parameters(changes: dict[str, object]) -> PolicyParameters:
    """Return the parameters that routed pools run, with some of them changed."""
    return REGISTERED_PARAMETERS._replace(**changes)


def play(sheet_name: str, case_name: str, seed: int, changes: dict) -> Tally:
    """Play one run and return its tally."""
    sheet, case = load_sheets()[sheet_name], CASES_BY_NAME[case_name]
    loop = EventLoop()
    callers: Callers
    names = [f"workspace-{n}" for n in range(len(sheet.workspace_shares))]
    owner = Owner(
        loop,
        lambda: PoolScheduler(parameters(changes)),
        names,
        sheet.delay,
        lambda decision: callers.decide(decision),
    )
    kinds = {kind.name: kind for kind in sheet.kinds}
    callers = Callers(loop, owner, sheet.delay, kinds)
    callers.stations_by_name = _fleet(sheet, loop, owner, callers, seed)
    owner.begin()
    for station in callers.stations_by_name.values():
        station.start()
    callers.report_progress()
    for ask in make_asks(sheet, case, seed):
        loop.at(ask.at, callers.arrive, ask)
    for station in list(callers.stations_by_name.values())[: case.slow]:
        loop.at(case.burst_from, station.set_speed, SLOW_SPEED)
        loop.at(case.burst_until, station.set_speed, 1.0)
    if case.owner_lost:
        loop.at(case.duration / 2, owner.kill)
        loop.at(case.duration / 2 + OWNER_GAP, _replace, owner, callers)
    loop.run(case.duration + DRAIN_SECONDS)
    return tally(list(callers.attempts_by_id.values()), case.duration)


def _replace(owner: Owner, callers: EntryHosts) -> None:
    owner.begin(SETTLE)
    for station in callers.stations_by_name.values():
        station.announce()
    callers.reregister()


def _fleet(
    sheet: Sheet, loop: EventLoop, owner: Owner, callers: EntryHosts, seed: int
) -> dict:
    pool = PoolSpec(
        name=sheet.name,
        delay=sheet.delay,
        hosts=sheet.hosts,
        upstreams=tuple(sheet.profile(number) for number in range(sheet.engines)),
        kinds=(),
        tiers=(),
        weights_by_workspace={},
    )
    case = CaseSpec("routed", report_lag=math.inf)
    rng = np.random.default_rng([seed, FLEET_STREAM])
    return make_fleet(
        pool, case, loop, owner, rng, callers.first_token, callers.finished
    )
