"""Run a program whose paths to upstreams can be cut: CUT_FILE PROGRAM ARGUMENTS.

PROGRAM is a file or the name of a module.
"""

import runpy
import sys
from pathlib import Path

PACKAGE = "bitterntiller"
ROOT = Path(__file__).resolve().parents[2]
# The program may be of another tree, with tests of its own.
sys.path.insert(0, str(ROOT))

from tests.scenarios import cut_paths  # noqa: E402

sys.path.remove(str(ROOT))
# The cuts use the package of their own tree, under whose name the program's would not
# be found any more.
for name in [item for item in sys.modules if item.partition(".")[0] == PACKAGE]:
    del sys.modules[name]

if __name__ == "__main__":
    cut_paths.install(Path(sys.argv[1]))
    program = sys.argv[2]
    sys.argv = sys.argv[2:]
    if program.endswith(".py"):
        sys.path.insert(0, str(Path(program).parent))
        runpy.run_path(program, run_name="__main__")
    else:
        runpy.run_module(program, run_name="__main__")
