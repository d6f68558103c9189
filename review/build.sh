#!/bin/sh
# Builds what the scripts of the cases start: the stand-ins are Python files
# that need the standard library only, so this compiles them as a check.
cd "$(dirname "$0")" && exec python3 - <<'PYTHON'
import pathlib
import sys

for path in sorted(pathlib.Path(".").rglob("*.py")):
    try:
        compile(path.read_bytes(), str(path), "exec")
    except SyntaxError as error:
        sys.exit(f"{path}: {error}")
PYTHON
