"""A program of another tree is run with its own code though its paths can be cut."""

import os
import subprocess
import sys
from pathlib import Path

from tests.scenarios.processes import ROOT

PROGRAM = "from bitterntiller.core import tcp; print(tcp.__file__)"


def test_program_of_another_tree_uses_its_own_package(tmp_path: Path):
    """Runs of an earlier state were played with the code of the present one."""
    package = tmp_path / "bitterntiller" / "core"
    package.mkdir(parents=True)
    for name in ("../__init__.py", "__init__.py", "tcp.py"):
        (package / name).write_text("")
    program = tmp_path / "program.py"
    program.write_text(PROGRAM)
    script = ROOT / "tests/scenarios/run_with_cuts.py"
    done = subprocess.run(
        [sys.executable, str(script), str(tmp_path / "cut"), str(program)],
        env=os.environ | {"PYTHONPATH": str(tmp_path)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert Path(done.stdout.strip()) == package / "tcp.py"
