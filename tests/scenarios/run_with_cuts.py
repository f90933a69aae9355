"""Run a program whose paths to upstreams can be cut: CUT_FILE PROGRAM ARGUMENTS.

PROGRAM is a file or the name of a module.
"""

import importlib.util
import runpy
import sys
from pathlib import Path

# Loaded by its path: the program may be of another tree, whose packages it imports and
# which has tests of its own.
_SPEC = importlib.util.spec_from_file_location(
    "cut_paths", Path(__file__).with_name("cut_paths.py")
)
cut_paths = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(cut_paths)

if __name__ == "__main__":
    cut_paths.install(Path(sys.argv[1]))
    program = sys.argv[2]
    sys.argv = sys.argv[2:]
    if program.endswith(".py"):
        sys.path.insert(0, str(Path(program).parent))
        runpy.run_path(program, run_name="__main__")
    else:
        runpy.run_module(program, run_name="__main__")
