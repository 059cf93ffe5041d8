"""Numbers that quotas are computed from, and counts over a sliding window."""

from __future__ import annotations

import bisect
import math
from collections import deque

from almondrouter.state.bounds import QuotaBounds
from almondrouter.state.tenants import TenantPolicy

FLOOR_SHARE = 0.25
"""Share of what the bound allows beyond the quota that daemons without an owner may use
together. Another such share is for a new owner that does not know what others have used
before. The rest adds to the quota in `compute_capacity`."""
BUCKET_S = 0.05
"""Resolution of the window in seconds. Tokens leave it up to this time too late, so
that the bound holds."""

UNKNOWN_HOLD_S = 2.0
"""Seconds after which a new owner grants more than `compute_floor` of a tenant that it
knows nothing of. They limit what any owner grants at once (`compute_depth`)."""
PARTS = 5
"""Parts of the window of which a new owner is told."""


def compute_bound(policy: TenantPolicy, bounds: QuotaBounds) -> float:
    """Return how many requests may reach backend servers in any window."""
    quota = policy.rate * bounds.window + policy.burst
    return quota * (1 + bounds.overage) + bounds.slack


def compute_floor(policy: TenantPolicy, bounds: QuotaBounds) -> float:
    """Return the requests of a window that daemons without an owner admit together.

    Notes
    -----
    An owner grants as many while another one may have granted the whole capacity.
    """
    quota = policy.rate * bounds.window + policy.burst
    return FLOOR_SHARE * (compute_bound(policy, bounds) - quota)


def compute_capacity(policy: TenantPolicy, bounds: QuotaBounds) -> float:
    """Return the tokens of a window that the owner may grant.

    Notes
    -----
    This exceeds the quota itself: a token counts until its request has ended, and then
    for one window, so that tokens count longer than requests are in a window.
    """
    return compute_bound(policy, bounds) - 2 * compute_floor(policy, bounds)


def compute_refill(policy: TenantPolicy, bounds: QuotaBounds) -> float:
    """Return the tokens per second that are granted for long: the quota of a window."""
    return policy.rate + policy.burst / bounds.window


def compute_depth(policy: TenantPolicy, bounds: QuotaBounds) -> float:
    """Return the tokens that may be used at once.

    Notes
    -----
    `UNKNOWN_HOLD_S` after the last grant of an owner, what it can have granted within a
    window leaves room for what `compute_unknown_capacity` allows.
    """
    refilled = compute_refill(policy, bounds) * (bounds.window - UNKNOWN_HOLD_S)
    depth = compute_bound(policy, bounds) - compute_floor(policy, bounds) - refilled
    return min(depth, compute_capacity(policy, bounds))


def compute_unknown_capacity(
    policy: TenantPolicy, bounds: QuotaBounds, elapsed: float
) -> float:
    """Return the tokens of a window where an earlier owner's grants are not known.

    Parameters
    ----------
    elapsed
        Seconds since the earlier owner can have granted the last token.
    """
    refilled = compute_refill(policy, bounds) * (elapsed - UNKNOWN_HOLD_S)
    return max(compute_floor(policy, bounds), refilled)


def compute_local_floor(
    policy: TenantPolicy, bounds: QuotaBounds, *, hosts: int
) -> int:
    """Return the requests of a window that one daemon without an owner admits.

    Notes
    -----
    The parts of all daemons add up to at most `compute_floor`, in whole requests. The
    remainder of the division is not used.
    """
    return math.floor(compute_floor(policy, bounds) / max(1, hosts))


def keep_newest(parts: tuple[int, ...], limit: int) -> tuple[int, ...]:
    """Return the parts of a window with only the newest tokens, up to a limit."""
    kept = []
    for count in reversed(parts):
        kept.append(min(count, limit))
        limit -= kept[-1]
    return tuple(reversed(kept))


class TokenBucket:
    """Tokens that come at a steady rate and pile up to a limit; full at first."""

    def __init__(self) -> None:
        self._level = math.inf
        self._filled_at = 0.0

    def use(self, count: int) -> None:
        """Take tokens, also more than there are."""
        self._level -= count

    def fill(self, depth: float, refill: float, now: float) -> float:
        """Return the tokens at the present time.

        Parameters
        ----------
        depth
            Most tokens.
        refill
            Tokens per second.
        """
        elapsed = now - self._filled_at
        self._level = min(depth, self._level + refill * elapsed)
        self._filled_at = now
        return self._level


class WindowCount:
    """Counts tokens over a sliding window.

    Parameters
    ----------
    window
        Length of the window in seconds.
    """

    def __init__(self, window: float) -> None:
        self.total = 0
        self._window = window
        self._times: deque[float] = deque()
        self._counts: deque[int] = deque()

    def add(self, count: int, at: float) -> None:
        """Count tokens that were used at a time, or not later than that."""
        if count <= 0:
            return
        self.total += count
        place = bisect.bisect_right(self._times, at)
        if place and at - self._times[place - 1] < BUCKET_S:
            self._counts[place - 1] += count
        else:
            self._times.insert(place, at)
            self._counts.insert(place, count)

    def expire(self, now: float) -> None:
        """Forget the tokens that have left the window."""
        oldest = now - self._window - BUCKET_S
        while self._times and self._times[0] < oldest:
            self._times.popleft()
            self.total -= self._counts.popleft()

    def list_parts(self, now: float) -> tuple[int, ...]:
        """Return the tokens of each part of the window, the oldest part first."""
        self.expire(now)
        parts = [0] * PARTS
        for at, count in zip(self._times, self._counts, strict=True):
            # Tokens count up to BUCKET_S later than the time of their bucket.
            age = max(0.0, now - at - BUCKET_S)
            parts[max(0, PARTS - 1 - int(age / self._window * PARTS))] += count
        return tuple(parts)

    def add_parts(self, parts: tuple[int, ...], now: float) -> None:
        """Count the tokens that another daemon has listed by the parts of a window."""
        for place, count in enumerate(parts):
            age = self._window * (len(parts) - 1 - place) / len(parts)
            self.add(count, now - age)

    def find_wait(self, count: float, now: float) -> float:
        """Return the seconds until so many tokens have left the window."""
        for at, tokens in zip(self._times, self._counts, strict=True):
            count -= tokens
            if count <= 0:
                return max(0.0, at + self._window + BUCKET_S - now)
        return self._window
