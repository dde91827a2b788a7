#!/bin/bash
# Builds the stand-ins of the cases 6 to 10: plain Python files, which need
# only the standard library.
cd "$(dirname "$0")" && python3 -B - <<'END'
import pathlib

for path in sorted(pathlib.Path("common-2").glob("*.py")):
    compile(path.read_text(), str(path), "exec")
END
