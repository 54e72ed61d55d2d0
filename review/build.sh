#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can run. They need Python 3.11 and its standard
# library only, so there is nothing to compile or to install.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info[:2] != (3, 11):
    sys.exit(f"Python 3.11 is required, not {sys.version.split()[0]}")
for path in sorted(pathlib.Path().rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
PYTHON
