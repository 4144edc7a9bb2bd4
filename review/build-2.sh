#!/usr/bin/env bash
# Builds what the scripts of this review start besides the deployed program:
# their stand-ins are Python programs, which need no build.
set -eu
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
