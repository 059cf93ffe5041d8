"""Backend servers that fail more than others, judged by the results of calls."""

from __future__ import annotations

from dataclasses import dataclass

# Four failures in a row, or most of the last ten calls.
FAILURE_WEIGHT = 0.2
MAX_FAILURE_SHARE = 0.5
FIRST_EXCLUSION_SECONDS = 1.0
MAX_EXCLUSION_SECONDS = 60.0
# Successes that readmit fully; the calls allowed in flight double with each.
SUCCESSES_TO_READMIT = 4


@dataclass(slots=True)
class OutlierRecord:
    """How the calls to one backend server have ended lately.

    Parameters
    ----------
    failure_share
        Smoothed share of calls that failed.
    exclusions
        Exclusions since it was last fully readmitted.
    excluded_until
        Monotonic seconds until which no call is sent there.
    trials
        Successes since the exclusion ended; None if fully admitted.
    unavailable
        Whether it was excluded because its daemon could not be reached.
    """

    failure_share: float = 0.0
    exclusions: int = 0
    excluded_until: float = 0.0
    trial_successes: int | None = None
    unavailable: bool = False

    def allows(self, in_flight: int, now: float) -> bool:
        """Return whether one more call may be sent."""
        if self.trial_successes is None:
            return True
        return now >= self.excluded_until and in_flight < 2**self.trial_successes

    def record_success(self) -> None:
        """Count a call that a backend server answered or refused in good order."""
        self.failure_share *= 1 - FAILURE_WEIGHT
        if self.trial_successes is None:
            return
        self.trial_successes += 1
        if self.trial_successes >= SUCCESSES_TO_READMIT:
            self.trial_successes, self.exclusions, self.failure_share = None, 0, 0.0

    def record_failure(self, now: float, *, unavailable: bool) -> None:
        """Count a failed call; exclude the backend server if it fails too often.

        Parameters
        ----------
        unavailable
            Whether its daemon refused the connection; one such failure is enough.
        """
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        if now < self.excluded_until:
            return  # A call that left before the exclusion proves nothing new.
        fails_often = self.failure_share > MAX_FAILURE_SHARE
        if unavailable or fails_often or self.trial_successes is not None:
            self._exclude(now, unavailable)

    def _exclude(self, now: float, unavailable: bool) -> None:
        seconds = FIRST_EXCLUSION_SECONDS * 2**self.exclusions
        self.excluded_until = now + min(seconds, MAX_EXCLUSION_SECONDS)
        self.exclusions = min(self.exclusions + 1, 16)
        self.trial_successes = 0
        self.unavailable = unavailable
