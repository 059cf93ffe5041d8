"""Named conditions that need an operator, as long as they last."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from logbook import Logger

_LOG = Logger(__name__)


class Alarm(StrEnum):
    """Conditions that a daemon reports."""

    VERSION_DIVERGED = "version_diverged"
    STORE_RECORD_INVALID = "store_record_invalid"
    STORE_BEHIND = "store_behind"


class Alarms:
    """The conditions that hold now.

    Notes
    -----
    ``counts`` has the number of times that each condition came up.
    """

    def __init__(self) -> None:
        self._active: dict[Alarm, str] = {}
        self.counts: Counter[Alarm] = Counter()

    @property
    def active(self) -> dict[Alarm, str]:
        """The conditions that hold, each with a sentence for people."""
        return dict(self._active)

    def set(self, alarm: Alarm, detail: str) -> None:
        """Note that a condition holds."""
        if alarm not in self._active:
            self.counts[alarm] += 1
            _LOG.warning("alarm {}: {}", alarm.value, detail)
        self._active[alarm] = detail

    def clear(self, alarm: Alarm) -> None:
        """Note that a condition does not hold, or no longer."""
        if self._active.pop(alarm, None) is not None:
            _LOG.info("alarm {} is over", alarm.value)
