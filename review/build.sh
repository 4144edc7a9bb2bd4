#!/bin/sh
# Checks that the stand-ins, which are Python 3 without packages, can be run.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || { echo "python3 is missing"; exit 2; }
exec python3 -c '
import ast, pathlib
for f in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(f.read_text(encoding="utf-8"), str(f))
    print("checked", f)'
