"""Allowance of this daemon for one tenant: tokens that requests take and use."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from almondrouter.coordination.quotas.bounds import WindowCount
from almondrouter.coordination.quotas.holdings import GRANT_VALID_S, RESERVE_VALID_S
from almondrouter.protocol.quotas import TenantGrant, TenantUse

DEMAND_TIME_CONSTANT_S = 1.0
"""Time constant of the average by which the demand of the next second is estimated."""
LEAST_DEMAND = 0.3
"""Requests a second below which a tenant counts as idle."""
SHORT_VALID_S = 0.3
"""Seconds for which the news that the quota is used up holds; a little more than the
interval of reports. Requests without a token are refused meanwhile without waiting."""

Waiter = Callable[["QuotaToken"], bool]
"""Takes the token for a request that waits; returns whether the request still waits."""


class Allowance:
    """Tokens of one tenant that this daemon may use.

    Parameters
    ----------
    window
        Length of the window in seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._recent = WindowCount(window)
        self._floor = WindowCount(window)
        self._demand = 0.0
        self._demand_at = -math.inf
        self._used = 0
        self._held = 0
        self._ceiling = 0
        self._expires = -math.inf
        self._reserve = 0
        self._reserve_expires = -math.inf
        self._last_tokens = 0
        self._short_until = -math.inf
        self._wait_until = -math.inf
        self._fleet = 0
        self._reserved = 0
        self._own = (0, 0)
        self._told_at = -math.inf
        self._is_settled = True
        self._has_changed = False
        self._reported = (0, 0)
        self.waiters: deque[Waiter] = deque()

    def record_arrival(self, now: float) -> None:
        """Count a request for the estimate of the demand."""
        self._demand = self._find_demand(now) + 1.0
        self._demand_at = now
        self._is_settled = False
        self._has_changed = True

    def _find_demand(self, now: float) -> float:
        elapsed = now - self._demand_at
        return self._demand * math.exp(-elapsed / DEMAND_TIME_CONSTANT_S)

    def _count_tokens(self, now: float) -> int:
        """Return the tokens that can be taken."""
        ceiling = 0
        if now < self._expires:
            ceiling = self._ceiling
        elif now < self._reserve_expires:
            ceiling = self._reserve
        return max(0, ceiling - self._used - self._held)

    def count_left(self, now: float) -> int:
        """Return the tokens for requests that do not wait for those before them."""
        return 0 if self.waiters else self._count_tokens(now)

    def count_floor(self, limit: int, now: float) -> int:
        """Return how many tokens `take_floor` would give at most."""
        self._floor.expire(now)
        return max(0, limit - self._floor.total)

    def take(self, now: float) -> QuotaToken | None:
        """Take a token; None if there is none."""
        if not self._count_tokens(now):
            return None
        self._held += 1
        return QuotaToken(self)

    def take_floor(self, limit: int, now: float) -> QuotaToken | None:
        """Take one of the tokens that a daemon has without an owner.

        Parameters
        ----------
        limit
            Such tokens in a window.
        """
        if not self.count_floor(limit, now):
            return None
        self._floor.add(1, now)
        return QuotaToken(None)

    def settle(self, *, taken: int, used: int, now: float) -> None:
        """Return the tokens of a request that has ended.

        Parameters
        ----------
        taken
            Tokens that it had.
        used
            Of these, the ones whose attempt may have reached a backend server.
        """
        self._held -= taken
        self._used += used
        self._recent.add(used, now)
        self._is_settled = False
        self._has_changed = True

    def wake_waiters(self, now: float) -> None:
        """Give the tokens to the requests that wait for them, in their order."""
        while self.waiters and (token := self.take(now)) is not None:
            if not self.waiters.popleft()(token):
                token.settle(now)

    @property
    def is_waited_for(self) -> bool:
        """Whether requests wait for tokens."""
        return bool(self.waiters)

    def is_half_used(self, now: float) -> bool:
        """Return whether half of the last allowance has been used."""
        return 2 * self._count_tokens(now) <= self._last_tokens and not self.is_short(
            now
        )

    def is_short(self, now: float) -> bool:
        """Return whether the owner has said that the quota is used up."""
        return now < self._short_until

    def find_wait(self, now: float) -> float:
        """Return the seconds until a token can be expected, by the owner's word."""
        return max(0.0, self._wait_until - now)

    @property
    def is_in_use(self) -> bool:
        """Whether requests wait for tokens or hold some."""
        return bool(self.waiters or self._held)

    def is_active(self, now: float) -> bool:
        """Return whether the tenant has requests, so that reports follow soon."""
        if self.is_in_use:
            return True
        return self._find_demand(now) >= LEAST_DEMAND

    def needs_report(self, now: float) -> bool:
        """Return whether the owner has to hear of this tenant."""
        return not self._is_settled or self.is_active(now)

    def needs_tokens(self, now: float) -> bool:
        """Return whether the owner has to hear of this tenant soon."""
        return bool(self.waiters) or (self._has_changed and self.is_half_used(now))

    def was_told(self, now: float) -> bool:
        """Return whether another owner needs to hear what the last one has told."""
        return now - self._told_at < RESERVE_VALID_S

    def make_use(self, tenant: str, now: float, *, is_first: bool) -> TenantUse:
        """Return the figures for a report.

        Parameters
        ----------
        is_first
            Whether the owner is another one than that of the last grant.
        """
        self._recent.expire(now)
        demand = self._find_demand(now)
        wanted = len(self.waiters)
        if demand >= LEAST_DEMAND:
            wanted = max(wanted, math.ceil(demand))
        self._reported = (self._used, wanted + self._held)
        self._has_changed = False
        if not is_first:
            total = (self._recent.total,)
            return TenantUse(tenant, self._used, self._held, wanted, total)
        told = self.was_told(now)
        is_news = now - self._told_at < self._window + GRANT_VALID_S
        return TenantUse(
            tenant,
            self._used,
            self._held,
            wanted,
            self._recent.list_parts(now),
            self._fleet if is_news else 0,
            self._reserved if told else 0,
            self._own[0] if is_news else 0,
            self._own[1] if told else 0,
            self._count_tokens(now),
        )

    def note_fleet(self, fleet: int, reserved: int, now: float) -> None:
        """Note what all daemons together have used or may use, for another owner."""
        self._fleet, self._reserved = fleet, reserved
        self._told_at = now
        self._recent.expire(now)
        level = self._used + self._held
        ceiling = max(self._ceiling, self._reserve, level)
        reserve = self._reserve if now < self._reserve_expires else 0
        self._own = (
            self._recent.total + ceiling - self._used,
            max(0, reserve - level),
        )

    def apply(self, grant: TenantGrant, *, asked_at: float, now: float) -> None:
        """Replace the allowance.

        Parameters
        ----------
        asked_at
            Time of the report, from which the allowance is valid.
        """
        self._ceiling, self._reserve = grant.ceiling, grant.reserve
        self._expires = asked_at + GRANT_VALID_S
        self._reserve_expires = asked_at + RESERVE_VALID_S
        self._last_tokens = self._count_tokens(now)
        self._short_until = now + SHORT_VALID_S if grant.is_short else -math.inf
        self._wait_until = now + grant.wait_ms / 1000
        self.note_fleet(grant.fleet, grant.reserved, now)
        # The grant answers the last report, if nothing has changed since.
        self._is_settled = self._reported == (self._used, 0) and not self._held


class QuotaToken:
    """Tokens of one request: one for each backend server that it may reach.

    Parameters
    ----------
    allowance
        Allowance that the token was taken from; None for the part of a daemon without
        an owner, which is not given back.
    """

    def __init__(self, allowance: Allowance | None) -> None:
        self._allowance = allowance
        self._taken = 1
        self._used = 0

    def record_use(self) -> None:
        """Enter that an attempt may have reached a backend server."""
        self._used = min(self._used + 1, self._taken)

    def take_another(self, now: float) -> bool:
        """Take a token for another attempt; return whether there was one."""
        if self._allowance is None or self._allowance.take(now) is None:
            return False
        self._taken += 1
        return True

    def settle(self, now: float) -> None:
        """Return the tokens that were not used; the request has ended."""
        if self._allowance is not None:
            self._allowance.settle(taken=self._taken, used=self._used, now=now)
            self._allowance = None
