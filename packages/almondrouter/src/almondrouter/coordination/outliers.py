"""Outlier detection: exclusion of backend servers whose calls fail too often."""

from __future__ import annotations

from dataclasses import dataclass

# Weight of the newest result in the moving failure share. Four failures in a row, or
# failures of most of the last ten calls, exceed MAX_FAILURE_SHARE.
FAILURE_WEIGHT = 0.2
MAX_FAILURE_SHARE = 0.5
FIRST_EXCLUSION_SECONDS = 1.0
MAX_EXCLUSION_SECONDS = 60.0
# Successes after an exclusion that restore unlimited calls; until then each success
# doubles the number of calls allowed in flight.
SUCCESSES_TO_READMIT = 4


@dataclass(slots=True)
class OutlierRecord:
    """Recent results of the calls to one backend server, and its exclusion.

    Parameters
    ----------
    failure_share
        Moving average of the share of failed calls.
    exclusions
        Exclusions since it was last fully readmitted; each doubles the duration of
        the next one.
    excluded_until
        Monotonic seconds until which no call is sent there.
    trial_successes
        Successes since the last exclusion; None if fully readmitted.
    unavailable
        Whether it was excluded because its daemon could not be reached.
    """

    failure_share: float = 0.0
    exclusions: int = 0
    excluded_until: float = 0.0
    trial_successes: int | None = None
    unavailable: bool = False

    def allows_call(self, in_flight: int, now: float) -> bool:
        """Return whether one more call may be sent beside those in flight."""
        if self.trial_successes is None:
            return True
        return now >= self.excluded_until and in_flight < 2**self.trial_successes

    def record_success(self) -> None:
        """Record a call that was answered without error, or refused by admission."""
        self.failure_share *= 1 - FAILURE_WEIGHT
        if self.trial_successes is None:
            return
        self.trial_successes += 1
        if self.trial_successes >= SUCCESSES_TO_READMIT:
            self.trial_successes, self.exclusions, self.failure_share = None, 0, 0.0

    def record_failure(self, now: float, *, unavailable: bool) -> None:
        """Record a failed call; exclude the backend server if it fails too often.

        Parameters
        ----------
        unavailable
            Whether its daemon could not be reached; one such failure excludes it.
        """
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        if now < self.excluded_until:
            return  # Calls sent before the exclusion are no new evidence.
        fails_often = self.failure_share > MAX_FAILURE_SHARE
        if unavailable or fails_often or self.trial_successes is not None:
            self._exclude_destination(now, unavailable)

    def _exclude_destination(self, now: float, unavailable: bool) -> None:
        seconds = FIRST_EXCLUSION_SECONDS * 2**self.exclusions
        self.excluded_until = now + min(seconds, MAX_EXCLUSION_SECONDS)
        self.exclusions = min(self.exclusions + 1, 16)
        self.trial_successes = 0
        self.unavailable = unavailable
