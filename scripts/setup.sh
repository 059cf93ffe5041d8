#!/usr/bin/env bash
# Creates .venv with the pinned dependencies and the workspace's packages.
# Does nothing when requirements and package definitions have not changed.
set -euo pipefail
cd "$(dirname "$0")/.."
python=${PYTHON:-python3}
if ! "$python" -c 'import sys; sys.exit(sys.version_info < (3, 11))' 2>/dev/null; then
    echo "setup: error [python_too_old]: Python 3.11 or later is needed; $("$python" --version 2>&1 || echo "$python not found"). Set PYTHON to a newer one." >&2
    exit 2
fi
stamp=.venv/installed
want=$(cat requirements.txt packages/*/pyproject.toml scripts/setup.sh | sha256sum | cut -d' ' -f1)
if [ -x .venv/bin/python ] && [ "$(cat "$stamp" 2>/dev/null)" = "$want" ]; then
    exit 0
fi
[ -x .venv/bin/python ] || "$python" -m venv .venv
.venv/bin/pip install --quiet --disable-pip-version-check -r requirements.txt
.venv/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
    -e packages/almondrouter -e packages/almondrouterd -e packages/almondctl -e packages/almondrouter-standins
echo "$want" > "$stamp"
