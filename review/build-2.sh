#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs that use
# the standard library only, so that they are checked and not compiled; the
# hosts are those that the deploy file builds into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 9), "the cases need Python 3.9 or later"
for path in sorted(pathlib.Path("review").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
PYTHON
