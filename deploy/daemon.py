"""Starts the daemon from a checkout."""

import sys
from pathlib import Path

PACKAGES = Path(__file__).resolve().parent.parent / "packages"

for name in ("almondrouter", "almondrouterd"):
    sys.path.insert(0, str(PACKAGES / name / "src"))

from almondrouterd.platform.main import main  # noqa: E402

sys.exit(main())
