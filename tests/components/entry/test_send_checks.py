"""The check whether a granted upstream may go on with a stream."""

from types import SimpleNamespace
from typing import Any

import pytest

from bitterntiller.components.entry.models import GrantReceived
from bitterntiller.components.entry.send_checks import OTHER_VERSION, check_version


def grant(version: str) -> GrantReceived:
    return GrantReceived("llm", 1, "e1", "10.0.0.1:80", 1000.0, "b:1", version=version)


def listed(version: str | None) -> Any:
    labels = {} if version is None else {"version": version}
    return SimpleNamespace(labels=lambda name: labels, is_departing=lambda name: False)


@pytest.mark.parametrize(
    ("granted", "known", "required", "reason"),
    [
        ("v1", "v1", "v1", None),
        ("v1", None, "v1", None),
        ("v2", "v2", None, None),
        ("", "", "", None),
        ("v2", "v2", "v1", OTHER_VERSION),
        ("v2", "v1", "v1", OTHER_VERSION),
        ("v1", "v2", "v1", OTHER_VERSION),
        ("", "v1", "v1", OTHER_VERSION),
    ],
    ids=[
        "same",
        "not-listed-yet",
        "new-stream",
        "no-versions",
        "other",
        "owner-differs",
        "restarted-under-another-version",
        "owner-knows-no-version",
    ],
)
def test_stream_is_sent_only_to_its_version(granted, known, required, reason):
    """A stream went to an upstream of which owner and host knew different versions."""
    found = check_version(grant(granted), required, listed(known))
    assert found == reason
