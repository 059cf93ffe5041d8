"""Starts the daemon from a checkout."""

import signal
import sys
from pathlib import Path

# A reload signal would end the process until the daemon has its own handler.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

PACKAGES = Path(__file__).resolve().parent.parent / "packages"

for name in ("almondrouter", "almondrouterd"):
    sys.path.insert(0, str(PACKAGES / name / "src"))

from almondrouterd.platform.main import main  # noqa: E402

sys.exit(main())
