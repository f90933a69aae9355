"""Run a program whose host may lose its paths: LOSS_FILE OWN_IP PORT PROGRAM."""

import runpy
import sys
from pathlib import Path

# From the tree of the program, before the path of this one comes first.
import bitterntiller  # noqa: F401

ROOT = Path(__file__).resolve().parents[2]
# The program may be of another tree, with tests of its own.
sys.path.insert(0, str(ROOT))

from tests.scenarios import lost_paths  # noqa: E402

sys.path.remove(str(ROOT))

if __name__ == "__main__":
    lost_paths.install(Path(sys.argv[1]), sys.argv[2], int(sys.argv[3]))
    program = sys.argv[4]
    sys.argv = sys.argv[4:]
    sys.path.insert(0, str(Path(program).parent))
    runpy.run_path(program, run_name="__main__")
