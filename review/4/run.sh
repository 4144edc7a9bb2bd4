#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
command -v python3 > /dev/null || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 "$(dirname "$0")/run.py"
