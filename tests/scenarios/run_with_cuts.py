"""Start a platform process whose paths to engines can be cut: FILE PORT."""

import runpy
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform"))
sys.path.append(str(ROOT))

from tests.platform import cut_paths  # noqa: E402

if __name__ == "__main__":
    cut_paths.install(Path(sys.argv[1]), int(sys.argv[2]))
    sys.argv = sys.argv[:1]
    runpy.run_path(str(ROOT / "platform" / "start.py"), run_name="__main__")
