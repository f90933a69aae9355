import pytest

from bitterntiller.components.settings.errors import SettingsError
from bitterntiller.components.settings.load import load_settings
from bitterntiller.components.settings.models import Address, Limits, Timings
from tests.components.settings.builders import (
    settings_value,
    write_keys,
    write_settings,
)


def problems_of(path):
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert caught.value.code == "settings"
    return [(problem.key, problem.text) for problem in caught.value.problems]


def test_settings_with_defaults(tmp_path):
    settings = load_settings(write_settings(tmp_path, settings_value()))
    assert settings.host == "bole-a"
    assert settings.roles == ("entry", "dispatch")
    assert settings.listen.internal == Address("127.0.0.1", 8081)
    assert settings.keys.operator == b"operator-key"
    assert settings.control.addresses == (Address("127.0.0.1", 8081),)
    assert settings.data_folder is None
    assert settings.limits == Limits()
    assert settings.timings == Timings()


def test_relative_paths_are_relative_to_the_file(tmp_path):
    value = settings_value(
        roles=["control"],
        data_folder="data",
        timings={"lease": 3.5},
        statsd="1.2.3.4:5",
    )
    settings = load_settings(write_settings(tmp_path, value))
    assert settings.data_folder == tmp_path / "data"
    assert settings.timings.lease == 3.5
    assert settings.statsd == Address("1.2.3.4", 5)


def test_every_problem_is_reported_with_file_line_and_key(tmp_path):
    path = write_settings(tmp_path, settings_value())
    lines = path.read_text().splitlines()
    text = "\n".join(lines).replace('"bole-a"', "7").replace(":8080", "")
    path.write_text(text.replace('"zone"', '// the zone\n "zoen"'))
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    found = [str(problem) for problem in caught.value.problems]
    assert [line for line in found if line.startswith(f"{path}:2: host: ")]
    assert f"{path}:4: zoen: unknown key" in found
    assert f"{path}:1: zone: required, but not given" in found
    assert f"{path}:10: listen.caller: expected IP:port" in found


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"roles": []}, "roles"),
        ({"roles": ["entry", "entry"]}, "roles"),
        ({"roles": ["entry", "god"]}, "roles[1]"),
        ({"roles": ["control"]}, "data_folder"),
        ({"roles": [{}]}, "roles[0]"),
        ({"statsd": "metrics.example:8125"}, "statsd"),
        ({"statsd": "127.0.0.1:70000"}, "statsd"),
        ({"limits": {"body_bytes": 0}}, "limits.body_bytes"),
        ({"limits": {"body_bytes": True}}, "limits.body_bytes"),
        ({"limits": {"reserved_fraction": 1}}, "limits.reserved_fraction"),
        ({"timings": {"lease": 1.0}}, "timings.lease"),
        ({"timings": {"lease": 5}}, "timings.owner_lease"),
        ({"timings": {"owner_lease": 3.02}}, "timings.owner_lease"),
        ({"timings": {"election_max": 0.6}}, "timings.election_max"),
        ({"timings": {"raft_heartbeat": 0.3}}, "timings.election_min"),
        ({"timings": {"head": -1}}, "timings.head"),
        ({"control": {"addresses": []}}, "control.addresses"),
        ({"log_level": "loud"}, "log_level"),
    ],
)
def test_bad_value_is_reported_at_its_key(tmp_path, changes, key):
    path = write_settings(tmp_path, settings_value(**changes))
    assert [found for found, _ in problems_of(path)] == [key]


def test_control_host_must_be_among_the_control_addresses(tmp_path):
    value = settings_value(
        roles=["control"], data_folder="d", control={"addresses": ["127.0.0.1:9"]}
    )
    assert problems_of(write_settings(tmp_path, value))[0][0] == "control.addresses"


def test_listen_addresses_differ_and_internal_is_reachable(tmp_path):
    listen = {
        "caller": "0.0.0.0:8080",
        "internal": "0.0.0.0:8081",
        "operator": "127.0.0.1:8080",
    }
    found = problems_of(write_settings(tmp_path, settings_value(listen=listen)))
    assert [key for key, _ in found] == ["listen.operator", "listen.internal"]


@pytest.mark.parametrize("content", [None, b"", b" \n", b"two words", b"\xff\xfe"])
def test_bad_key_file_is_reported(tmp_path, content):
    path = write_settings(tmp_path, settings_value())
    key_file = tmp_path / "internal.key"
    key_file.unlink() if content is None else key_file.write_bytes(content)
    assert [key for key, _ in problems_of(path)] == ["keys.internal"]


@pytest.mark.parametrize(
    ("content", "line", "word"),
    [
        (b'{"host": "a",\n "host": "b"}', 2, "twice"),
        (b'{"host": "a",\n}', 2, "comma before }"),
        (b'{"host":\n "\xff"}', 2, "UTF-8"),
        (b'{"host":\n', 2, "ends too early"),
        (b"", 1, "ends too early"),
        (b"{\n\"host\": 'a'}", 2, "unexpected character"),
        (b'{\n"n": 1e999}', 2, "out of range"),
        (b'{\n"n": "\\ud800"}', 2, "surrogate"),
        (b"[" * 5000 + b"]" * 5000, 1, "nested"),
    ],
)
def test_bad_json_is_reported_with_its_line(tmp_path, content, line, word):
    write_keys(tmp_path)
    path = tmp_path / "settings.json"
    path.write_bytes(content)
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    problem = caught.value.problems[0]
    assert (problem.file, problem.line) == (str(path), line)
    assert word in problem.text


def test_missing_file_is_reported(tmp_path):
    assert "No such file" in problems_of(tmp_path / "none.json")[0][1]
