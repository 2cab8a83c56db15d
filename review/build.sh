#!/bin/sh
# The stand-ins are Python programs without dependencies; this checks that they compile.
cd "$(dirname "$0")" && exec python3 -c '
import pathlib, sys
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text("utf-8"), str(path), "exec")
if sys.version_info < (3, 11):
    raise SystemExit("the stand-ins need Python 3.11")
'
