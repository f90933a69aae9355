"""Tests of the simulated days that run on every deployment."""

import tomllib
from pathlib import Path

import pytest

FOLDER = Path(__file__).parents[2] / "deploy" / "days"
FILES = sorted(FOLDER.glob("*.toml"))

KINDS = frozenset(
    """
    ack_lost add_nodes after_ack_kill after_ack_wipe answer_lost bad_config big_config
    burst
    clock_step config_change config_race config_storm core_cut disk_full disk_slow
    disk_stall garble give_up herd_kill hot_key hot_tenant hup lossy node_cut
    node_freeze node_kill node_slow release replace_core replace_with_reuse
    reset_conns retry_abuse revoke roll_term scale_in scale_out seed_turnover
    srv_crash srv_cut srv_grey srv_slow
    """.split()
)
"""The kinds of faults and events that can occur on any deployment."""

PLACES = ("zone", "service", "class", "to_zone")


def entries(file: Path) -> list[dict]:
    day = tomllib.loads(file.read_text())
    return [*day["plan"], *day["faults"]]


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_day_fits_any_deployment(file):
    """A day with the name of a zone could run on that deployment only."""
    day = tomllib.loads(file.read_text())
    assert day["name"] == file.stem
    for entry in entries(file):
        assert entry["at"] >= 0
        for place in PLACES:
            assert entry.get(place, "@").startswith("@")


def test_days_cover_each_kind():
    assert {entry["kind"] for file in FILES for entry in entries(file)} == KINDS
