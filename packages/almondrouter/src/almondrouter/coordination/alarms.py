"""Alarms: conditions that need an operator's attention while they last."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from logbook import Logger

_LOG = Logger(__name__)


class Alarm(StrEnum):
    """Conditions that a daemon reports as alarms."""

    VERSION_DIVERGED = "version_diverged"
    STORE_RECORD_INVALID = "store_record_invalid"
    STORE_BEHIND = "store_behind"


class Alarms:
    """Tracks which alarms are active.

    Notes
    -----
    ``counts`` holds how often each alarm was raised.
    """

    def __init__(self) -> None:
        self._active: dict[Alarm, str] = {}
        self.counts: Counter[Alarm] = Counter()

    @property
    def active(self) -> dict[Alarm, str]:
        """Active alarms, each with a description for operators."""
        return dict(self._active)

    def set(self, alarm: Alarm, detail: str) -> None:
        """Raise an alarm, or update the description of an active one."""
        if alarm not in self._active:
            self.counts[alarm] += 1
            _LOG.warning("alarm {} raised: {}", alarm.value, detail)
        self._active[alarm] = detail

    def clear(self, alarm: Alarm) -> None:
        """Clear an alarm if it is active."""
        if self._active.pop(alarm, None) is not None:
            _LOG.info("alarm {} cleared", alarm.value)
