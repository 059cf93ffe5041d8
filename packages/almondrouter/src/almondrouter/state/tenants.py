"""Tenants whose requests share the services of a deployment."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TenantPolicy:
    """Declared properties of a tenant.

    Parameters
    ----------
    name
        Name that backend servers get with each request of the tenant.
    priority
        Priority rank of its requests, which precedes the rank of the route; None if
        the rank of the route decides.
    rate
        Requests per second over all daemons; 0 for no limit.
    burst
        Requests beyond the rate that may come at once.
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
