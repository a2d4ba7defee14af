#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: plain Python of the standard library, compiled as a check of their syntax.
# It needs the environment that `build` of deploy/balancer.toml leaves, and no network.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review/common-2 review/6 review/7 review/8 review/9 review/10
