import re

import pytest
import voluptuous as vol

from bitterntiller.components.config import const as config_const
from bitterntiller.components.settings.models import Limits, Timings
from bitterntiller.components.settings.schema import SCHEMA
from bitterntiller.core.outcomes import Outcome, Reason
from tests.docs.source import PACKAGE, ROOT, constants, metric_names

PAGE = (ROOT / "docs" / "OPERATING.md").read_text()
CODES = set(re.findall(r"`([^`\n]+)`", PAGE))


def setting_keys(schema, prefix=""):
    for marker, check in schema.items():
        key = f"{prefix}{marker.schema}"
        if isinstance(check, dict):
            yield from setting_keys(check, f"{key}.")
        else:
            yield key


def documented_exit_codes(program):
    section = PAGE.partition(f"Of `{program}`:")[2].partition("\nOf ")[0]
    section = section.partition("\n## ")[0]
    return {int(code) for code in re.findall(r"^\| (\d+) \|", section, re.MULTILINE)}


def test_every_setting_is_documented():
    assert isinstance(SCHEMA, vol.Schema)
    keys = set(setting_keys(SCHEMA.schema))
    assert len(keys) > 30
    assert keys - CODES == set()


@pytest.mark.parametrize(
    ("group", "defaults"), [("limits", Limits()), ("timings", Timings())]
)
def test_defaults_in_the_page_are_those_in_force(group, defaults):
    for key, value in defaults._asdict().items():
        found = re.search(rf"^\| `{group}\.{key}` \| (\S+) \|", PAGE, re.MULTILINE)
        assert found and float(found[1]) == value, key


def test_every_metric_is_documented():
    names = metric_names()
    assert {"entry.requests", "control.change", "replication.sync"} <= names
    assert names - CODES == set()


def test_every_documented_metric_exists():
    section = PAGE.partition("\n## Metrics")[2].partition("\n## ")[0]
    cells = [line.split("|")[1] for line in section.splitlines() if line[:3] == "| `"]
    documented = {name for cell in cells for name in re.findall(r"`([^`]+)`", cell)}
    assert documented == metric_names()


@pytest.mark.parametrize(
    ("program", "files"),
    [
        ("bitterntiller", ["cli/const.py"]),
        ("bitterntillerd", ["cli/daemon.py", "daemon/process.py"]),
    ],
)
def test_exit_codes_are_documented(program, files):
    codes = set()
    for file in files:
        codes |= set(constants(PACKAGE / file, "EXIT_").values())
    assert len(codes) > 2
    assert documented_exit_codes(program) == codes


def test_outcomes_reasons_and_labels_are_documented():
    labels = {
        value for name, value in vars(config_const).items() if name[:6] == "LABEL_"
    }
    names = {*Outcome, *Reason, *labels}
    assert {str(name) for name in names} - CODES == set()


def test_links_between_the_pages_lead_somewhere():
    for page in (ROOT / "docs").glob("*.md"):
        for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text()):
            assert (page.parent / target).exists(), (page.name, target)
