"""Keeps what a failed test leaves: its report and the files of its processes."""

import re
import shutil
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent.parent / "target" / "failed-tests"
REPORT = "report.txt"
MAX_FILE_BYTES = 16 * 1024 * 1024


def keep_files(source: Path, test: str, report: str, folder: Path = FOLDER) -> Path:
    """Copy the files of a test's folder, without folders in it, and its report.

    Return the new folder. A file over MAX_FILE_BYTES is cut off at its beginning.
    """
    name = re.sub(r"[^A-Za-z0-9._-]+", "-", test.rpartition("/")[2]).strip("-")
    kept = folder / f"{name}-{time.time_ns()}"
    kept.mkdir(parents=True)
    (kept / REPORT).write_text(report)
    for path in source.iterdir():
        if not path.is_file():
            continue
        with path.open("rb") as file, (kept / path.name).open("wb") as copy:
            file.seek(max(0, path.stat().st_size - MAX_FILE_BYTES))
            shutil.copyfileobj(file, copy)
    return kept
