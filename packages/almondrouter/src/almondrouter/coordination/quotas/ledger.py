"""Account of the owner: tokens of one tenant that are used, and that may be used."""

from __future__ import annotations

import math

from almondrouter.coordination.quotas.bounds import (
    TokenBucket,
    WindowCount,
    compute_capacity,
    compute_depth,
    compute_refill,
    compute_unknown_capacity,
    keep_newest,
)
from almondrouter.coordination.quotas.holdings import (
    GRANT_VALID_S,
    RESERVE_VALID_S,
    Ceiling,
    Holding,
    Inherited,
)
from almondrouter.protocol.quotas import FleetUse, TenantGrant, TenantUse
from almondrouter.state.bounds import QuotaBounds
from almondrouter.state.tenants import TenantPolicy

RESERVE_FACTOR = 3
"""Factor on what a daemon wants in the reserved part: a change of the owner takes two
seconds. With 2, one host with all requests of a tenant lost 1% of them at a change."""
RESERVE_SHARE = 0.25
"""Largest share of the capacity that is reserved, over all daemons: tokens of a daemon
that has died count until they have expired."""
GENEROUS_SHARE = 0.5
"""Share of the capacity in the window below which tokens are reserved."""
AMPLE_SHARE = 0.15
"""Share of the capacity: with more free tokens, allowances are generous."""
GENEROUS_FACTOR = 3
"""Factor on what a daemon wants in a generous allowance, as the load of a tenant may
rise sixfold within a moment."""
GENEROUS_LEAST = 2
"""Tokens of the least generous allowance."""
GENEROUS_PART = 1 / 3
"""Share of the free tokens that a generous allowance contains at most, so that a daemon
that asks next gets some, too."""
SHORT_SHARE = 0.02
"""Share of the capacity: with less left, requests without a token are refused at once.
With more they wait for one, as their daemon may only have asked for too few."""
BLIND_S = 0.5
"""Seconds for which an earlier owner may have gone on, at the rate of the quota, after
it told the daemons last."""
DEMAND_VALID_S = 2.0
"""Seconds after which the demand of a daemon that no longer reports is forgotten."""
FORGET_S = 60.0
"""Seconds after which a daemon that has no tokens of a tenant is forgotten."""


class TenantLedger:
    """Tokens of one tenant, over all daemons.

    In any window, the tokens used and those that may be used without a further grant
    are at most the capacity. A token that was used counts from the report of it, which
    is not earlier than its request reached a backend server, for one window.

    Parameters
    ----------
    bounds
        Bounds of the deployment.
    """

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._window = WindowCount(bounds.window)
        self._bucket = TokenBucket()
        self._holdings: dict[tuple[str, int], Holding] = {}
        self._inherited = Inherited()
        self._outstanding = 0
        self._reserved = 0
        self._wanted = 0
        self._updated_at = -math.inf
        self.last_report_at = -math.inf
        self.is_tight = False
        """Whether the tenant uses so much of its quota that allowances are small."""

    @property
    def is_inherited(self) -> bool:
        """Return whether daemons have told what an earlier owner granted."""
        return self._inherited.fleet > 0

    def record(
        self,
        member: tuple[str, int],
        use: TenantUse,
        *,
        echo: int,
        is_first: bool,
        now: float,
    ) -> None:
        """Enter the report of a daemon."""
        self.last_report_at = now
        if is_first:
            self._inherit(member, use, now)
        holding = self._holdings.get(member)
        if holding is None:
            holding = self._holdings[member] = Holding(use.used)
            self._window.add_parts(use.recent, now)
        else:
            used = max(0, use.used - holding.used)
            self._bucket.use(used)
            if is_first:
                self._window.add_parts(keep_newest(use.recent, used), now)
            else:
                self._window.add(used, now)
            holding.used = max(use.used, holding.used)
        holding.drop_replaced(echo)
        if is_first and use.returned:
            level = use.used + use.held + use.returned
            holding.ceilings = [Ceiling(0, level, level, now), *holding.ceilings]
        holding.reported_at = now
        self._wanted += use.wanted - holding.wanted
        holding.held, holding.wanted = use.held, use.wanted
        self._refresh(holding, now)

    def _inherit(self, member: tuple[str, int], use: TenantUse, now: float) -> None:
        """Enter what a daemon has been told by the owner that it had before."""
        inherited = self._inherited
        if now - inherited.at > RESERVE_VALID_S + self._bounds.window:
            inherited = self._inherited = Inherited(
                known=self._window.total + self._outstanding, returned=self._reserved
            )
        if use.fleet > inherited.fleet or use.reserved > inherited.reserved:
            inherited.at = now
        inherited.fleet = max(inherited.fleet, use.fleet)
        inherited.reserved = max(inherited.reserved, use.reserved)
        if member not in inherited.members:
            inherited.members.add(member)
            inherited.told += use.own
            inherited.told_reserved += use.own_reserved
            if member not in self._holdings:
                inherited.known += use.own
                inherited.returned += use.own_reserved

    def acknowledge(self, member: tuple[str, int], echo: int, now: float) -> None:
        """Enter that a daemon has received the grants up to a number."""
        holding = self._holdings.get(member)
        if holding is not None and len(holding.ceilings) > 1:
            holding.drop_replaced(echo)
            self._refresh(holding, now)

    def _refresh(self, holding: Holding, now: float) -> None:
        self._outstanding -= holding.outstanding
        self._reserved -= holding.reserved
        holding.update(now, self._bounds.window)
        self._outstanding += holding.outstanding
        self._reserved += holding.reserved

    def expire(self, now: float) -> None:
        """Forget what has left the window, and grants that have expired."""
        self._window.expire(now)
        if now - self._updated_at < GRANT_VALID_S / 2:
            return
        self._updated_at = now
        for key, holding in list(self._holdings.items()):
            self._refresh(holding, now)
            if holding.wanted and now - holding.reported_at > DEMAND_VALID_S:
                self._wanted -= holding.wanted
                holding.wanted = 0
            idle = not holding.outstanding
            if idle and now - holding.reported_at > FORGET_S:
                del self._holdings[key]

    def _count_inherited(self, now: float) -> float:
        """Return the tokens that daemons which do not report may be using."""
        inherited = self._inherited
        elapsed = now - inherited.at
        if elapsed < self._bounds.window + GRANT_VALID_S:
            return max(0, inherited.fleet - max(inherited.known, inherited.told))
        if elapsed < RESERVE_VALID_S + self._bounds.window:
            known = max(inherited.returned, inherited.told_reserved)
            return max(0, inherited.reserved - known)
        return 0

    def _count_blind(self, policy: TenantPolicy, now: float) -> float:
        """Return the tokens that an earlier owner may have granted at the end."""
        since = now - self._inherited.at
        is_new = self.is_inherited and since < self._bounds.window + GRANT_VALID_S
        return policy.rate * BLIND_S if is_new else 0.0

    def _find_capacity(self, policy: TenantPolicy, owned_for: float) -> float:
        """Return the tokens of a window.

        Notes
        -----
        The daemons that have told a new owner nothing about a tenant had no requests of
        it, but another one that has died may have used the whole capacity.
        """
        capacity = compute_capacity(policy, self._bounds)
        if self.is_inherited or owned_for > RESERVE_VALID_S + self._bounds.window:
            return capacity
        unknown = compute_unknown_capacity(policy, self._bounds, owned_for)
        if owned_for < self._bounds.window + GRANT_VALID_S:
            return min(unknown, capacity * (1 - RESERVE_SHARE))
        return capacity * (1 - RESERVE_SHARE)

    def _count_free(
        self, holding: Holding, policy: TenantPolicy, capacity: float, now: float
    ) -> int:
        """Return the tokens that can be granted to a daemon."""
        pending = self._outstanding - holding.outstanding + holding.held
        taken = self._window.total + self._count_inherited(now)
        taken += self._count_blind(policy, now)
        level = self._bucket.fill(
            compute_depth(policy, self._bounds),
            compute_refill(policy, self._bounds),
            now,
        )
        return max(0, math.floor(min(capacity - taken, level) - pending))

    def grant(
        self,
        member: tuple[str, int],
        tenant: str,
        policy: TenantPolicy,
        *,
        number: int,
        owned_for: float,
        now: float,
    ) -> TenantGrant:
        """Return the allowance of a daemon that has reported.

        Parameters
        ----------
        number
            Number of the grant.
        owned_for
            Seconds since this daemon became the owner.
        """
        self.expire(now)
        holding = self._holdings[member]
        capacity = self._find_capacity(policy, owned_for)
        free = self._count_free(holding, policy, capacity, now)
        inherited = self._count_inherited(now)
        is_generous = self._window.total + inherited < GENEROUS_SHARE * capacity
        self.is_tight = not is_generous
        is_ample = free > AMPLE_SHARE * capacity
        tokens = self._choose_tokens(holding, free, is_generous=is_ample)
        reserve = 0
        if is_generous:
            reserve = self._choose_reserve(holding, tokens, capacity, free)
        level = holding.used + holding.held
        ceiling = level + max(tokens, reserve)
        holding.ceilings.append(Ceiling(number, ceiling, level + reserve, now))
        self._refresh(holding, now)
        left = free - tokens
        is_short = tokens < holding.wanted and left <= SHORT_SHARE * capacity
        wait = self._window.find_wait(1 + self._wanted / 4, now) if is_short else 0.0
        return TenantGrant(
            tenant,
            ceiling,
            level + reserve,
            is_short,
            math.ceil(wait * 1000),
            self._count_fleet(now),
            self._reserved,
        )

    def _choose_tokens(self, holding: Holding, free: int, *, is_generous: bool) -> int:
        if not holding.wanted or not free:
            return 0
        if is_generous:
            wish = max(GENEROUS_LEAST, GENEROUS_FACTOR * holding.wanted)
            return max(1, min(wish, math.floor(free * GENEROUS_PART)))
        share = free * holding.wanted / max(self._wanted, holding.wanted)
        return min(holding.wanted, max(1, math.floor(share)))

    def _choose_reserve(
        self, holding: Holding, tokens: int, capacity: float, free: int
    ) -> int:
        """Return the tokens to reserve; one for a daemon without recent requests."""
        left = RESERVE_SHARE * capacity - (self._reserved - holding.reserved)
        if left < 1:
            return 0
        wish = max(
            1, min(tokens, RESERVE_FACTOR * holding.wanted, math.floor(left / 2))
        )
        return min(wish, free)

    def describe(self, tenant: str, now: float) -> FleetUse:
        """Return what all daemons together have used or may use."""
        self.expire(now)
        return FleetUse(tenant, self._count_fleet(now), self._reserved)

    def _count_fleet(self, now: float) -> int:
        """Return the tokens that another owner would have to take into account.

        Notes
        -----
        What this owner has inherited counts less as it leaves the window. Otherwise
        owners that fail in turn would keep adding to it.
        """
        lasts = self._bounds.window + GRANT_VALID_S
        left = max(0.0, 1.0 - (now - self._inherited.at) / lasts)
        inherited = left * self._count_inherited(now)
        return math.ceil(self._window.total + self._outstanding + inherited)

    def recall(
        self, member: tuple[str, int], tenant: str, *, number: int, now: float
    ) -> TenantGrant | None:
        """Return a grant that takes back what an idle daemon has; None if nothing."""
        holding = self._holdings.get(member)
        if holding is None or not holding.outstanding:
            return None
        level = holding.used + holding.held
        holding.ceilings.append(Ceiling(number, level, level, now))
        fleet = self._count_fleet(now)
        return TenantGrant(tenant, level, level, False, 0, fleet, self._reserved)
