#!/bin/sh
# Run once after the build of the deploy file. The stand-ins are Python of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
