import json

import pytest

from bitterntiller.cli import const
from bitterntiller.cli.file_checks import NOTE_LABELS_NOT_CHECKED
from tests.components.config.builders import config_document, service, workspace
from tests.components.settings.builders import settings_value, write_settings


def write_config(folder, **changes):
    path = folder / "config.json"
    path.write_text(json.dumps(config_document(**changes), indent=1))
    return path


def line_of(path, text):
    lines = path.read_text().splitlines()
    return next(number for number, line in enumerate(lines, 1) if text in line)


def test_valid_files_of_both_kinds(tool, tmp_path):
    settings = write_settings(tmp_path, settings_value())
    result = tool("check", settings, "config.json")
    assert result.code == const.EXIT_OK
    assert f"{settings}: settings, no problems" in result.out
    assert "config.json: configuration, no problems" in result.out
    assert NOTE_LABELS_NOT_CHECKED in result.err


def test_problem_is_printed_with_file_line_and_key(tool, tmp_path):
    path = write_config(tmp_path, workspaces={"w": workspace(tier="silver")})
    result = tool("check", "config.json")
    assert result.code == const.EXIT_PROBLEMS
    line = line_of(path, '"silver"')
    assert f"config.json:{line}: workspaces.w.tier: there is no tier" in result.out


def test_json_output_lists_every_problem(tool, tmp_path):
    write_settings(tmp_path, settings_value(host=7, zone=8))
    result = tool("check", "--json", "settings.json")
    assert result.code == const.EXIT_PROBLEMS
    (found,) = json.loads(result.out)
    assert found["kind"] == "settings"
    assert [problem["key"] for problem in found["problems"]] == ["host", "zone"]


def test_unknown_kind_and_unreadable_file_are_problems(tool, tmp_path):
    (tmp_path / "other.json").write_text("{}")
    assert tool("check", "other.json").code == const.EXIT_PROBLEMS
    assert tool("check", "none.json").code == const.EXIT_PROBLEMS
    assert tool("check", "--kind", "configuration", "other.json").code == const.EXIT_OK


def test_selectors_are_checked_against_the_vocabulary(tool, tmp_path):
    selector = {"match": {"modle": ["canopy"]}, "exclude": {"zone": ["bole", "yeca"]}}
    path = write_config(
        tmp_path,
        services={"llm": service(selector=selector)},
        labels={"model": ["canopy"], "zone": ["bole", "yeka"]},
    )
    result = tool("check", "config.json")
    assert result.code == const.EXIT_PROBLEMS
    assert result.out.splitlines() == [
        f"config.json:{line_of(path, 'modle')}: services.llm.selector.match.modle: "
        "unknown label modle",
        f"config.json:{line_of(path, 'yeca')}: services.llm.selector.exclude.zone[1]: "
        "unknown value yeca of label zone",
    ]


UPSTREAMS = [
    {"name": "u1", "service": "llm", "labels": {"zone": "bole", "gen": "g1"}},
    {"name": "u2", "service": "llm", "labels": {"zone": "yeka", "gen": "g2"}},
    {"name": "u3", "service": "map", "labels": {"color": "red"}},
]


@pytest.mark.parametrize(
    ("changes", "key", "word"),
    [
        (
            {"services": {"llm": service(selector={"match": {"color": ["red"]}})}},
            "services.llm.selector.match.color",
            "no upstream has the label color",
        ),
        (
            {"services": {"llm": service(selector={"match": {"zone": ["kirkos"]}})}},
            "services.llm.selector",
            "matches no upstream of the service",
        ),
        (
            {"services": {"llm": service(selector={"exclude": {"gen": ["g1", "g2"]}})}},
            "services.llm.selector",
            "matches no upstream of the service",
        ),
        (
            {"workspaces": {"w": workspace(selector={"match": {"gen": ["g3"]}})}},
            "workspaces.w.selector",
            "matches no upstream of service llm",
        ),
        (
            {
                "tiers": {
                    "gold": {
                        "rank": 0,
                        "deadline_ms": 1,
                        "selector": {"match": {"gen": ["g3"]}},
                    }
                }
            },
            "tiers.gold.selector",
            "matches no upstream of any service",
        ),
        (
            {
                "tiers": {
                    "gold": {
                        "rank": 0,
                        "deadline_ms": 1,
                        "selector": {"match": {"gen": ["g2"]}},
                    }
                },
                "workspaces": {"w": workspace(selector={"match": {"zone": ["bole"]}})},
            },
            "workspaces.w.selector",
            "with the selector of tier gold, matches no upstream",
        ),
    ],
)
def test_selectors_are_checked_against_upstreams(tool, tmp_path, changes, key, word):
    write_config(tmp_path, **changes)
    for value in (UPSTREAMS, {"host": "a", "upstreams": UPSTREAMS}):
        (tmp_path / "upstreams.json").write_text(json.dumps(value))
        result = tool("check", "--upstreams", "upstreams.json", "config.json")
        assert result.code == const.EXIT_PROBLEMS
        assert f": {key}: {word}" in result.out


def test_valid_selectors_match_upstreams(tool, tmp_path):
    write_config(
        tmp_path,
        services={"llm": service(selector={"match": {"gen": ["g1", "g2"]}})},
        workspaces={"w": workspace(selector={"exclude": {"zone": ["bole"]}})},
    )
    (tmp_path / "upstreams.json").write_text(json.dumps(UPSTREAMS))
    result = tool("check", "--upstreams", "upstreams.json", "config.json")
    assert (result.code, result.err) == (const.EXIT_OK, "")


@pytest.mark.parametrize("text", ["", "3", '{"host": "a"}', '[{"name": "u"}]'])
def test_invalid_upstreams_file_is_a_usage_error(tool, tmp_path, text):
    (tmp_path / "upstreams.json").write_text(text)
    result = tool("check", "--upstreams", "upstreams.json", "config.json")
    assert result.code == const.EXIT_USAGE
