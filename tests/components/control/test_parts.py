"""Pool assignment, merge patches and validation of timings."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bitterntiller.components.control.errors import TimingsError
from bitterntiller.components.control.merge_patch import apply_patch, make_patch
from bitterntiller.components.control.models import Owner
from bitterntiller.components.control.placement import plan_assignments
from bitterntiller.components.control.sessions import SessionTable
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
def test_patch_yields_the_document_or_is_none(before, after):
    patch = make_patch(before, after)
    assert patch is None or apply_patch(before, patch) == after
    if "None" not in str(after):
        assert patch is not None


def place(owners, *hosts, gone=()):
    table = SessionTable(0.0)
    for host in hosts:
        table.record_heartbeat(make_heartbeat(host, leased=True), 0.0)
    plan = plan_assignments(
        POOLS,
        owners,
        table.assignable_sessions(0.0, 4.0),
        lambda item: item.host in gone,
    )
    changed = {item.pool: Owner(item.host, "a", item.address, 1) for item in plan}
    return {**owners, **changed}, len(plan)


def test_pools_are_balanced_and_move_only_from_expired_owners():
    owners, _ = place({}, "a", "b", "c")
    hosts = [owner.host for owner in owners.values()]
    assert {hosts.count(host) for host in "abc"} == {4}
    assert place(owners, "a", "b", "c", "d")[1] == 0
    moved, moves = place(owners, "a", "b", "d", gone=("c",))
    assert moves == 4
    assert all(
        moved[pool] == owners[pool] for pool in POOLS if owners[pool].host != "c"
    )


@pytest.mark.parametrize("fields", [{"owner_lease": 3.0}, {"heartbeat": 2.0}])
def test_timings_that_break_leases_are_rejected(fields):
    with pytest.raises(TimingsError):
        check_timings(Timings()._replace(**fields))
