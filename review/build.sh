#!/usr/bin/env bash
# Checks the stand-ins of the cases, which are Python programs without dependencies. The boxes are the
# program of the deploy file's build.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standin [0-9]*/case.py
test -x ../target/release/hollyspoke-node
