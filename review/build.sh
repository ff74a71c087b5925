#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library alone: nothing is to be
# built beyond the deploy file's build. This compiles them, so that an error shows here.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q standins [0-9]*/
