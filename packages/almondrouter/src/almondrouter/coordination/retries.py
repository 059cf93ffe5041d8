"""Budget for retries, so that they cannot multiply an overload."""

from __future__ import annotations

RETRY_RATIO = 0.1
# Retries that a class may make before its calls have earned any.
INITIAL_RETRIES = 3.0
# Calls whose unspent retries are kept; older ones must not pay for a burst.
MAX_SAVED_CALLS = 100
# Ten tenths add up to slightly less than 1.
_TOLERANCE = 1e-9


class RetryBudget:
    """Allows retries as a share of calls, separately by name.

    Parameters
    ----------
    ratio
        Retries earned by each call.
    """

    def __init__(self, *, ratio: float = RETRY_RATIO) -> None:
        self._ratio = ratio
        self._limit = max(INITIAL_RETRIES, ratio * MAX_SAVED_CALLS)
        self._balances: dict[str, float] = {}

    def record_call(self, name: str, *, caller_retries: bool = False) -> None:
        """Count a first attempt, which earns a share of a retry.

        A call whose caller retries earns nothing, since it may not be retried
        here; at depth 20 its earnings would let retries grow at each level.
        """
        if caller_retries:
            return
        balance = self._balances.get(name, INITIAL_RETRIES)
        self._balances[name] = min(self._limit, balance + self._ratio)

    def try_spend(self, name: str, *, caller_retries: bool = False) -> bool:
        """Take one retry from the budget.

        Parameters
        ----------
        name
            Class of work.
        caller_retries
            Whether a caller above retries this call itself. Such a call gets
            no retry here, or retries would multiply with the depth of calls.

        Returns
        -------
        bool
            Whether the call may be retried.
        """
        balance = self._balances.get(name, INITIAL_RETRIES)
        if caller_retries or balance < 1 - _TOLERANCE:
            return False
        self._balances[name] = balance - 1
        return True
