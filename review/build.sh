#!/usr/bin/env bash
# Checks and compiles the stand-ins of the cases; run it after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps" PYTHONPYCACHEPREFIX="target/review"
python3 -m compileall -q review packages/*/src
python3 -c "import sys; sys.path.insert(0, 'review'); import harness"
