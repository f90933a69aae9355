"""One simulation run of a routed pool: a sheet, a case and a seed."""

import math

import numpy as np

from bench.entry import EntryHosts
from bench.events import EventLoop
from bench.fleet import make_fleet
from bench.models import CaseSpec, PoolSpec
from bench.owner import Owner
from bench.routed.entry_hosts import RoutedEntryHosts
from bench.routed.load import CASES_BY_NAME, make_requests
from bench.routed.score import RunScore, score_run
from bench.routed.sheets import Sheet, load_sheets
from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.models import PolicyParameters
from bitterntiller.components.dispatch.scheduler import PoolScheduler

FLEET_STREAM = 1
SLOW_SPEED = 0.2
OWNER_GAP_SECONDS = 0.4
SETTLE_SECONDS = 0.2
DRAIN_SECONDS = 16.0


def make_parameters(changes: dict[str, object]) -> PolicyParameters:
    """Return the parameters of routed pools with some of them changed."""
    return REGISTERED_PARAMETERS._replace(**changes)


def simulate(sheet_name: str, case_name: str, seed: int, changes: dict) -> RunScore:
    """Simulate one run and return its score."""
    sheet, case = load_sheets()[sheet_name], CASES_BY_NAME[case_name]
    loop = EventLoop()
    hosts: RoutedEntryHosts
    names = [f"workspace-{n}" for n in range(len(sheet.workspace_shares))]
    owner = Owner(
        loop,
        lambda: PoolScheduler(make_parameters(changes)),
        names,
        sheet.delay,
        lambda decision: hosts.handle_decision(decision),
    )
    kinds = {kind.name: kind for kind in sheet.kinds}
    hosts = RoutedEntryHosts(loop, owner, sheet.delay, kinds)
    hosts.upstreams_by_name = _make_fleet(sheet, loop, owner, hosts, seed)
    owner.start()
    for upstream in hosts.upstreams_by_name.values():
        upstream.start()
    hosts.report_progress()
    for request in make_requests(sheet, case, seed):
        loop.at(request.at, hosts.accept, request)
    for upstream in list(hosts.upstreams_by_name.values())[: case.slow_engines]:
        loop.at(case.burst_from, upstream.set_speed, SLOW_SPEED)
        loop.at(case.burst_until, upstream.set_speed, 1.0)
    if case.owner_lost:
        loop.at(case.duration / 2, owner.kill)
        loop.at(case.duration / 2 + OWNER_GAP_SECONDS, _start_new_owner, owner, hosts)
    loop.run(case.duration + DRAIN_SECONDS)
    return score_run(list(hosts.attempts_by_id.values()), case.duration)


def _start_new_owner(owner: Owner, hosts: EntryHosts) -> None:
    owner.start(SETTLE_SECONDS)
    for upstream in hosts.upstreams_by_name.values():
        upstream.announce()
    hosts.reregister()


def _make_fleet(
    sheet: Sheet, loop: EventLoop, owner: Owner, hosts: EntryHosts, seed: int
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
        pool, case, loop, owner, rng, hosts.record_first_token, hosts.record_end
    )
