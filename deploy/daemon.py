"""Starts the daemon from a checkout."""

import signal
import sys
from pathlib import Path

# SIGHUP asks for a reload; ignored until the daemon has installed its handler, as the
# default action would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

PACKAGES = Path(__file__).resolve().parent.parent / "packages"

for name in ("almondrouter", "almondrouterd"):
    sys.path.insert(0, str(PACKAGES / name / "src"))

from almondrouterd.platform.main import main  # noqa: E402

sys.exit(main())
