"""Placement, merge patches and the log of one replica."""

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bitterntiller.components.control.errors import DamagedLogError, TimingsError
from bitterntiller.components.control.merge_patch import apply_patch, make_patch
from bitterntiller.components.control.models import Owner
from bitterntiller.components.control.placement import plan_assignments
from bitterntiller.components.control.sessions import SessionTable
from bitterntiller.components.control.single import SingleLog
from bitterntiller.components.control.validate import check_timings
from bitterntiller.components.settings.models import Timings

from .builders import make_heartbeat

POOLS = [f"pool-{number}" for number in range(12)]

values = st.one_of(st.integers(), st.none(), st.lists(st.integers(), max_size=2))
keys = st.sampled_from("abc")
documents = st.recursive(
    st.dictionaries(keys, values, max_size=3),
    lambda inner: st.dictionaries(keys, inner, max_size=3),
    max_leaves=12,
)


@settings(derandomize=True, database=None)
@given(documents, documents)
def test_a_patch_leads_to_the_document_or_there_is_none(before, after):
    patch = make_patch(before, after)
    assert patch is None or apply_patch(before, patch) == after
    if "None" not in str(after):
        assert patch is not None


def place(owners, *hosts, gone=()):
    table = SessionTable(0.0)
    for host in hosts:
        table.hear(make_heartbeat(host, leased=True), 0.0)
    plan = plan_assignments(
        POOLS, owners, table.dispatchers(0.0, 4.0), lambda item: item.host in gone
    )
    changed = {item.pool: Owner(item.host, "a", item.address, 1) for item in plan}
    return {**owners, **changed}, len(plan)


def test_pools_are_spread_and_move_only_when_their_owner_is_gone():
    owners, _ = place({}, "a", "b", "c")
    hosts = [owner.host for owner in owners.values()]
    assert {hosts.count(host) for host in "abc"} == {4}
    assert place(owners, "a", "b", "c", "d")[1] == 0
    moved, moves = place(owners, "a", "b", "d", gone=("c",))
    assert moves == 4
    assert all(
        moved[pool] == owners[pool] for pool in POOLS if owners[pool].host != "c"
    )


class ListMachine:
    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append((index, command))
        return command


def reopen(path, *commands):
    """Open the log, propose commands, and return all that was applied."""

    async def main():
        machine = ListMachine()
        log = SingleLog(path, "10.0.0.1:7000", machine)
        await log.async_open()
        run = await curio.spawn(log.async_run)
        try:
            for command in commands:
                assert (await log.async_propose(command, 5)).status == "committed"
        finally:
            await run.cancel()
            log.close()
        return machine.commands

    return curio.run(main)


def test_a_torn_tail_is_cut(tmp_path):
    """
    The power fails while a record is written. Nobody heard that it was
    committed: the start cuts it, and goes on after the last whole record.
    """
    path = tmp_path / "single.log"
    reopen(path, b"one", b"two")
    path.write_bytes(path.read_bytes()[:-1])
    assert reopen(path, b"three") == [(2, b"one"), (4, b"three")]
    assert reopen(path) == [(2, b"one"), (4, b"three")]


def test_damage_in_the_middle_stops_the_process(tmp_path):
    """
    A bad sector changes a record that was acknowledged long ago. Going on
    without it would take an accepted change back: the start fails instead, and
    names the file and the offset.
    """
    path = tmp_path / "single.log"
    reopen(path, b"one", b"two")
    path.write_bytes(path.read_bytes().replace(b"one", b"0ne"))
    with pytest.raises(DamagedLogError, match="single.log: .* offset 12"):
        reopen(path)


@pytest.mark.parametrize("fields", [{"owner_lease": 3.0}, {"heartbeat": 2.0}])
def test_timings_that_break_the_lease_are_refused(fields):
    with pytest.raises(TimingsError):
        check_timings(Timings()._replace(**fields))
