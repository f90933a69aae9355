"""Tests of the crash history on disk."""

from pathlib import Path

import curio
import pytest

from bitterntiller.components.crashes.errors import DamagedHistoryError
from bitterntiller.components.crashes.history import CrashHistory
from bitterntiller.components.crashes.history_file import load, save
from bitterntiller.components.crashes.models import Block, CrashUpdate
from bitterntiller.components.crashes.store import HistoryStore
from bitterntiller.core.clock import ManualClock
from tests.components.crashes import builders as build

OFFSET = 500_000.0


def test_history_is_the_same_after_a_restart_with_another_clock(tmp_path):
    path = tmp_path / "folder" / "crashes.json"
    known = CrashUpdate(
        build.crashes(3, workspace=7, ran=0.5).crashes + build.crashes(1).crashes,
        build.clearing(1005.0, build.INNOCENT).clearings,
        (Block(build.INNOCENT, 1006.0, 60.0),),
    )
    save(path, known, OFFSET)
    assert load(path, OFFSET) == known
    (first, *_) = load(path, OFFSET + 900.0).crashes
    assert first.at == known.crashes[0].at - 900.0
    (block,) = load(path, OFFSET + 900.0).blocks
    assert block.at == 106.0


def test_file_of_an_earlier_release_is_read(tmp_path):
    path = tmp_path / "crashes.json"
    path.write_text('{"crashes": [[5, "e1", "1", 500900.0]], "clearings": []}')
    (crash,) = load(path, OFFSET).crashes
    assert (crash.at, crash.workspace, crash.ran) == (900.0, 0, None)


def test_missing_file_is_an_empty_history(tmp_path):
    assert load(tmp_path / "crashes.json", OFFSET).empty


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        '{"crashes": []}',
        '{"crashes": [[1]], "clearings": []}',
        "[" * 9999,
    ],
)
def test_error_names_the_damaged_file(tmp_path, text):
    path = tmp_path / "crashes.json"
    path.write_text(text)
    with pytest.raises(DamagedHistoryError, match=r"crashes\.json"):
        load(path, OFFSET)


def test_failed_save_keeps_the_previous_file(tmp_path, monkeypatch):
    path = tmp_path / "crashes.json"
    save(path, build.crashes(1), OFFSET)

    def full(_fd: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fsync", full)
    with pytest.raises(OSError, match="No space"):
        save(path, build.crashes(3), OFFSET)
    assert len(load(path, OFFSET).crashes) == 1


def make_store(path, history: CrashHistory) -> HistoryStore:
    return HistoryStore(path, history, ManualClock())


async def async_until_saved(path: Path) -> None:
    """Wait for the file, whose replacement is atomic."""
    async with curio.timeout_after(10):
        while not path.exists():
            await curio.sleep(0.01)


def test_quarantine_survives_a_restart_of_all_processes(tmp_path):
    path = tmp_path / "crashes.json"

    async def async_main() -> None:
        history = CrashHistory()
        store = make_store(path, history)
        task = await curio.spawn(store.async_run)
        history.merge(build.one_by_one(4, newest_at=1000.0), 1000.0)
        await store.async_schedule_save(frozenset({build.POISON}))
        await async_until_saved(path)
        await task.cancel()

    curio.run(async_main)
    after = CrashHistory()
    make_store(path, after).load()
    assert after.quarantined_for(build.POISON, 1000.0) > 100


def test_damaged_file_does_not_prevent_startup(tmp_path):
    path = tmp_path / "crashes.json"
    path.write_text("{")
    history = CrashHistory()
    make_store(path, history).load()
    assert history.snapshot(1000.0).empty


def test_failed_save_is_retried(tmp_path, monkeypatch):
    path = tmp_path / "crashes.json"
    monkeypatch.setattr("bitterntiller.components.crashes.const.SAVE_RETRY_DELAY", 0.05)
    monkeypatch.setattr(
        "bitterntiller.components.crashes.const.MIN_SAVE_INTERVAL", 0.01
    )
    failures = [OSError(28, "full"), None]

    def flaky(target, known, offset) -> None:
        error = failures.pop(0)
        if error is not None:
            raise error
        save(target, known, offset)

    monkeypatch.setattr("bitterntiller.components.crashes.store.save", flaky)

    async def async_main() -> None:
        history = CrashHistory()
        store = make_store(path, history)
        task = await curio.spawn(store.async_run)
        history.merge(build.crashes(3), 1004.0)
        await store.async_schedule_save(frozenset({build.POISON}))
        await async_until_saved(path)
        await task.cancel()

    curio.run(async_main)
    assert not failures
    assert len(load(path, OFFSET).crashes) == 3
