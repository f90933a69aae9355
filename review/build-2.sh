#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start. Their stand-ins are Python files
# that need only the standard library, so that this compiles them and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import sys
from pathlib import Path

for path in [*Path("rig").glob("*.py"), *Path(".").glob("[0-9]*/case.py")]:
    compile(path.read_text(), str(path), "exec")
sys.stdout.write("the stand-ins compile\n")
PY
