"""Exit codes of almondctl."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Outcome of a command; listed in ``docs/operators.md``."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4
    NOT_CONVERGED = 5
