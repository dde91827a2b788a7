#!/bin/sh
# The stand-ins of all cases need no build: they use Python's standard library
# only. This checks that they compile.
cd "$(dirname "$0")/.." || exit 1
exec python3 - <<'CHECK'
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("ok", path)
CHECK
