"""Tests of the files from which the platform builds and starts processes."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def test_platform_installs_what_the_project_declares():
    """A library that is added in one file only would be missing on the platform."""
    with (ROOT / "pyproject.toml").open("rb") as file:
        declared = tomllib.load(file)["project"]["dependencies"]
    listed = (ROOT / "requirements.txt").read_text().split()
    assert sorted(listed) == sorted(declared)


def test_each_role_starts_an_existing_program():
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        roles = tomllib.load(file)["roles"]
    assert set(roles) == {"entry", "control"}
    for role in roles.values():
        program, script, port = role["run"].split()
        assert program == "python3"
        assert (ROOT / script).is_file()
        assert role["metrics"] == f"{port}/metrics"


def test_platform_folder_is_not_a_package():
    assert not (ROOT / "platform" / "__init__.py").exists()
