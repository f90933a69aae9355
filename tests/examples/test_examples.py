from collections import Counter
from pathlib import Path

import pytest

from bitterntiller.cli import const
from bitterntiller.cli.file_checks import read_upstreams
from bitterntiller.cli.tool import run
from bitterntiller.components.config.parse import parse_config
from bitterntiller.components.settings.load import load_settings
from bitterntiller.core.document import read_document

EXAMPLES = Path(__file__).parents[2] / "examples"
NOT_SETTINGS_FILES = ("config.json", "upstreams.json")

DEPLOYMENTS = [
    ("canopy", 9, {"bole", "kirkos", "yeka", "lideta"}, [4, 5]),
    ("keskus", 6, {"tallinn", "rakvere", "narva"}, [3, 6]),
]


def host_files(folder):
    return [
        path for path in folder.glob("*.json") if path.name not in NOT_SETTINGS_FILES
    ]


@pytest.mark.parametrize("name", ["canopy", "keskus"])
def test_example_passes_check(name, capsys):
    folder = EXAMPLES / name
    files = [str(path) for path in host_files(folder)]
    assert run(["check", *files]) == const.EXIT_OK
    upstreams = str(folder / "upstreams.json")
    arguments = ["check", "--upstreams", upstreams, str(folder / "config.json")]
    assert run(arguments) == const.EXIT_OK
    assert capsys.readouterr().err == ""


@pytest.mark.parametrize(("name", "hosts", "zones", "upstreams"), DEPLOYMENTS)
def test_example_has_the_size_of_its_deployment(name, hosts, zones, upstreams):
    folder = EXAMPLES / name
    settings = [load_settings(path) for path in host_files(folder)]
    config = parse_config(read_document(folder / "config.json").value, 1)
    services = Counter(
        item.service for item in read_upstreams(folder / NOT_SETTINGS_FILES[1])
    )
    assert len(settings) == hosts
    assert {item.zone for item in settings} == zones
    assert sorted(services.values()) == upstreams
    assert len(config.workspaces_by_name) == 5


@pytest.mark.parametrize("name", ["canopy", "keskus"])
def test_hosts_of_an_example_are_consistent(name):
    settings = [load_settings(path) for path in host_files(EXAMPLES / name)]
    control = [item for item in settings if "control" in item.roles]
    assert len(control) == 3
    assert len({item.zone for item in control}) == 3
    assert len({item.host for item in settings}) == len(settings)
    assert len({item.listen.internal for item in settings}) == len(settings)
    addresses = {item.listen.internal for item in control}
    assert all(set(item.control.addresses) == addresses for item in settings)
    names = {item.host for item in control}
    assert all(set(item.control.bootstrap) == names for item in control)
    assert len({item.keys for item in settings}) == 1
