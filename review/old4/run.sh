#!/usr/bin/env bash
# Runs the case; see claim.txt. With TROUBLE=0 it runs without the disruption.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
