#!/bin/sh
# Builds the stand-ins of the scripts. They are Python of the standard library, so that
# compiling them shows that they can run; nothing is written into the tree.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'EOF'
import pathlib

for path in sorted(pathlib.Path().rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
EOF
