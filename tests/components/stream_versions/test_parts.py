"""The decisions on what began a stream."""

import pytest

from bitterntiller.components.stream_versions import const
from bitterntiller.components.stream_versions.candidates import StreamCandidates
from bitterntiller.components.stream_versions.conclusion import conclude
from bitterntiller.components.stream_versions.holders import holders
from bitterntiller.components.stream_versions.memory import StreamMemory
from bitterntiller.components.stream_versions.models import Answer, Beginning
from bitterntiller.core.interfaces import StreamOrigin
from tests.components.stream_versions.builders import (
    POOL,
    ConfigView,
    Upstreams,
    route,
)

T0 = 1000.0
OLD, NEW = Beginning(POOL, "v1"), Beginning(POOL, "v2")
KNOWS = Answer(OLD, 0.5)
LACKS = Answer()
YOUNG = Answer(settled=False)
SILENT = None


@pytest.mark.parametrize(
    ("answers", "candidates", "expected"),
    [
        ([KNOWS, LACKS, LACKS], (OLD, NEW), "v1"),
        ([SILENT, SILENT, KNOWS], None, "v1"),
        ([LACKS, LACKS, LACKS], (OLD,), "v1"),
        ([SILENT, SILENT, SILENT], (OLD,), "v1"),
        ([LACKS, LACKS, LACKS], (OLD, NEW), "never"),
        ([], (OLD, NEW), "never"),
        ([LACKS, LACKS, SILENT], (OLD, NEW), "later"),
        ([LACKS, YOUNG, LACKS], (OLD, NEW), "later"),
        ([LACKS, LACKS, LACKS], None, "later"),
        ([LACKS, LACKS, LACKS], (), "later"),
        ([Answer(conflict=True), LACKS], (OLD,), "never"),
    ],
    ids=[
        "a-holder-knows",
        "one-holder-is-left",
        "single-version",
        "single-version-holders-lost",
        "several-versions",
        "no-id-several-versions",
        "a-holder-is-silent",
        "a-holder-was-restarted",
        "no-leader",
        "no-upstream",
        "id-used-twice",
    ],
)
def test_conclusion(answers, candidates, expected):
    """The version of a stream was guessed, or a known one was not used."""
    found = conclude(answers, candidates)
    if isinstance(found, StreamOrigin):
        assert found.version == expected
    else:
        assert ("never" if found.final else "later") == expected


def test_memory_keeps_a_stream_at_least_as_long_as_promised():
    """A stream was forgotten while its caller could still take it up."""
    memory = StreamMemory(T0)
    at = T0 + const.KEPT_SECONDS - 0.1
    memory.remember(7, OLD, at, at)
    later = at + const.KEPT_SECONDS
    assert memory.find(7, later).beginning == OLD
    assert memory.find(7, at + 2 * const.KEPT_SECONDS) is None


def test_memory_is_bounded(monkeypatch):
    """Callers with many streams filled the memory of a host."""
    monkeypatch.setattr(
        "bitterntiller.components.stream_versions.memory.MAX_KEPT_STREAMS", 3
    )
    memory = StreamMemory(T0)
    for digest in range(10):
        memory.remember(digest, OLD, T0, T0)
    assert len(memory) == 3
    assert memory.find(9, T0).beginning == OLD


def test_stream_that_goes_on_is_remembered_longer():
    """A long stream was forgotten after its first event had become old."""
    memory = StreamMemory(T0)
    memory.remember(7, OLD, T0, T0)
    later = T0 + const.KEPT_SECONDS + 1
    memory.remember(7, OLD, later, later)
    assert memory.find(7, T0 + 2 * const.KEPT_SECONDS + 1).beginning == OLD


def test_id_with_two_beginnings_is_unknown():
    """A stream was continued at the version of another one with the same id."""
    memory = StreamMemory(T0)
    memory.remember(7, OLD, T0, T0)
    memory.remember(7, NEW, T0, T0)
    assert memory.find(7, T0).beginning is None
    memory.remember(7, OLD, T0, T0)
    assert memory.find(7, T0).beginning is None


def test_holders_are_spread_and_change_little():
    """All streams were remembered by the same hosts, or moved when one was lost."""
    names = ["c1", "c2", "c3", "c4", "c5"]
    chosen = [holders(digest, names) for digest in range(-500, 500)]
    assert all(len(set(pair)) == const.HOLDERS for pair in chosen)
    load = [sum(name in pair for pair in chosen) for name in names]
    assert min(load) > 0.7 * max(load)
    left = [holders(digest, names[1:]) for digest in range(-500, 500)]
    kept = [set(old) & set(new) for old, new in zip(chosen, left, strict=True)]
    assert all(len(pair) >= const.HOLDERS - 1 for pair in kept)


def test_version_and_service_that_left_lately_still_count():
    """A stream of a version that had just left was taken for one of the other."""
    config, upstreams = ConfigView(), Upstreams("v1")
    candidates = StreamCandidates(config, upstreams)
    assert not candidates.has_several(route(), OLD, T0)
    upstreams.set("v2")
    assert candidates.has_several(route(), NEW, T0 + 1)
    gone = T0 + 1 + 2 * const.KEPT_SECONDS
    assert not candidates.has_several(route(), NEW, gone)
    config.set(route("map"))
    assert candidates.services(route("map"), gone) == {POOL, "map"}
    later = gone + 2 * const.KEPT_SECONDS
    assert candidates.services(route("map"), later) == {"map"}


def test_version_that_the_list_lacks_counts():
    """An upstream of a new version was granted before the host had heard of it."""
    candidates = StreamCandidates(ConfigView(), Upstreams("v1"))
    assert candidates.has_several(route(), NEW, T0)
