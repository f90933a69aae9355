import subprocess
import sys

PROGRAM = """
from absl import logging
from bitterntiller.core.logs import set_up_logs
set_up_logs("warning")
logging.info("small")
logging.warning("large")
"""


def test_only_records_of_the_level_reach_stderr_without_absl_warnings():
    run = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True
    )
    lines = run.stderr.splitlines()
    assert len(lines) == 1
    assert lines[0].endswith("large")
    assert run.stdout == ""
