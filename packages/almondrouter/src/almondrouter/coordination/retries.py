"""Retry budget of one daemon: keeps retries from amplifying an overload.

Used by the daemon for clusters with an etcd store. The daemon for hosting platforms
uses `almondrouter.coordination.fleetretries`.
"""

from __future__ import annotations

RETRY_RATIO = 0.1
# Initial budget of a class, before its calls have earned any retries.
INITIAL_RETRIES = 3.0
# Limits the saved budget to what this number of calls earns, so that a long time
# without failures does not permit a burst of retries.
MAX_SAVED_CALLS = 100
# In floating point, ten additions of 0.1 give slightly less than 1.
_TOLERANCE = 1e-9


class RetryBudget:
    """Token bucket that allows retries as a share of calls, separately by name.

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

        A call that its caller may retry earns nothing, since it is not retried here.
        Otherwise retries would multiply at each level of nested calls, up to depth 20.
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
            Whether the caller or one above it retries this call. Such a call is not
            retried here, as retries would multiply with the depth of nested calls.

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
