#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: they need only Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standin_*.py
