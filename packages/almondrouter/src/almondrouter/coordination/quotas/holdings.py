"""Tokens that the owner of a quota has granted, and those of an earlier owner."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

GRANT_VALID_S = 1.0
"""Seconds for which an allowance is valid, from the report that it answers."""
RESERVE_VALID_S = 20.0
"""Seconds for which the reserved part of an allowance is valid. It bridges the time
without an owner, and is at hand for the next request of a tenant that sends few."""


@dataclass(slots=True)
class Ceiling:
    """A grant that its daemon may be using.

    Parameters
    ----------
    number
        Number of the grant.
    ceiling, reserve
        As in `TenantGrant`.
    sent_at
        Monotonic seconds.
    """

    number: int
    ceiling: int
    reserve: int
    sent_at: float

    def find_ceiling(self, now: float, window: float) -> int:
        """Return the tokens that may be used, or used without having been reported."""
        if now < self.sent_at + GRANT_VALID_S + window:
            return self.ceiling
        if now < self.sent_at + RESERVE_VALID_S + window:
            return self.reserve
        return 0


@dataclass(slots=True)
class Holding:
    """What one daemon has used of the quota and may still use.

    Parameters
    ----------
    used, held, wanted
        As in `TenantUse`.
    outstanding
        Tokens that may reach backend servers and are not in the window yet.
    reserved
        Of these, the tokens that may be used without the owner.
    """

    used: int
    held: int = 0
    wanted: int = 0
    outstanding: int = 0
    reserved: int = 0
    reported_at: float = 0.0
    ceilings: list[Ceiling] = field(default_factory=list)

    def drop_replaced(self, echo: int) -> None:
        """Forget the grants that the daemon has replaced by a later one."""
        newest = max((c.number for c in self.ceilings if c.number <= echo), default=0)
        self.ceilings = [c for c in self.ceilings if c.number >= newest]

    def update(self, now: float, window: float) -> None:
        """Compute ``outstanding`` and ``reserved`` from the valid grants."""
        self.ceilings = [c for c in self.ceilings if c.find_ceiling(now, window)]
        level = self.used + self.held
        highest = max((c.find_ceiling(now, window) for c in self.ceilings), default=0)
        self.outstanding = max(level, highest) - self.used
        reserve = max((c.reserve for c in self.ceilings), default=0)
        self.reserved = max(0, reserve - level)


@dataclass(slots=True)
class Inherited:
    """What an earlier owner may have granted to daemons that do not report.

    Parameters
    ----------
    fleet, reserved
        Largest figures that it has told the daemons which have turned to this owner.
    known, returned
        Of these, what this owner has had in its own account, and what daemons that it
        has not known before have told of themselves.
    told, told_reserved
        What all daemons have told of themselves.
    members
        These daemons.
    at
        Monotonic seconds at which the figures have last risen.
    """

    fleet: int = 0
    reserved: int = 0
    known: int = 0
    returned: int = 0
    told: int = 0
    told_reserved: int = 0
    members: set[tuple[str, int]] = field(default_factory=set)
    at: float = -math.inf
