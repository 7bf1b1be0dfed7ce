#!/bin/sh
# The stand-ins are Python and need no build: checks that Python 3.8 or later
# and the program of the deploy file are there.
cd "$(dirname "$0")/.." || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || {
  echo "review: python3 of version 3.8 or later is needed" >&2
  exit 2
}
python3 -m py_compile review/stand/small_site.py review/*/case.py || exit 2
rm -rf review/stand/__pycache__ review/*/__pycache__
test -x target/comfreyflow-host || {
  echo "review: build target/comfreyflow-host by the deploy file first" >&2
  exit 2
}
