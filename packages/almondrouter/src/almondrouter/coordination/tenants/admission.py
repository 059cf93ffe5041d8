"""Admits requests by the key of their tenant.

Used by the daemon for hosting platforms.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import HeaderList
from almondrouter.protocol.dialect import Dialect
from almondrouter.protocol.outcomes import CallError
from almondrouter.state.routes import RouteTarget
from almondrouter.state.tenants import TenantPolicy, TenantTable

RANKS_PER_PRIORITY = 3
"""Ranks within each priority of tenants: the priority of a tenant precedes that of the
route, which decides among tenants of equal priority. Load reports tell 10 ranks apart
(`slots.MAX_RANK`)."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may be forwarded.

    Parameters
    ----------
    tenant
        Tenant that holds the key of the request; None without one.
    headers
        Headers to forward, without the key.
    rank
        Priority rank of the request; rank 0 is served first.
    """

    tenant: TenantPolicy | None
    headers: HeaderList
    rank: int


class TenantAdmission:
    """Finds the tenant of each request, or refuses it.

    Parameters
    ----------
    dialect
        Reads the keys from the headers.
    may_trust_keys
        Returns whether the configuration in force is recent enough for its keys to
        be accepted.
    """

    def __init__(
        self, dialect: Dialect, *, may_trust_keys: Callable[[], bool] = lambda: True
    ) -> None:
        self._dialect = dialect
        self._may_trust_keys = may_trust_keys

    def admit(
        self,
        headers: HeaderList,
        route: RouteTarget,
        tenants: TenantTable | None,
        *,
        nested: bool,
    ) -> Admitted:
        """Return the tenant, headers and rank of a request.

        Parameters
        ----------
        headers
            Headers of the request.
        tenants
            Tenants of the configuration in force; None if it declares none, and the
            headers are then forwarded as they are.
        nested
            Whether a backend server makes the request while it serves another one.
            Such requests carry no key.

        Raises
        ------
        CallError
            ``key_unknown`` if the request needs a key and has not exactly one that is
            known; ``not_ready`` if keys may have been removed since this daemon last
            heard of the configuration.
        """
        if tenants is None:
            return Admitted(None, headers, route.priority)
        keys = self._dialect.read_keys(headers)
        tenant = tenants.find_owner(keys[0]) if len(keys) == 1 else None
        if tenant is None and not (route.public or nested):
            reason = "unknown key" if len(keys) == 1 else f"{len(keys)} keys"
            raise CallError(ErrorCode.KEY_UNKNOWN, reason)
        return self.admit_tenant(headers, route, tenant)

    def admit_tenant(
        self, headers: HeaderList, route: RouteTarget, tenant: TenantPolicy | None
    ) -> Admitted:
        """Return headers and rank of a request whose tenant is known, None for none.

        Raises
        ------
        CallError
            ``not_ready`` as in `admit`.
        """
        if tenant is not None and not self._may_trust_keys():
            message = "no news of the configuration, so keys may have been removed"
            raise CallError(ErrorCode.NOT_READY, message)
        kept = self._dialect.drop_credentials(headers)
        return Admitted(tenant, kept, compute_rank(route, tenant))


def counts_for_quota(tenant: TenantPolicy | None, *, nested: bool) -> bool:
    """Return whether a request takes a token of its tenant's quota."""
    return tenant is not None and not nested and tenant.rate > 0


def compute_rank(route: RouteTarget, tenant: TenantPolicy | None) -> int:
    """Return the rank of a request by the priorities of its tenant and route."""
    if tenant is None or tenant.priority is None:
        return route.priority
    within = min(route.priority, RANKS_PER_PRIORITY - 1)
    return tenant.priority * RANKS_PER_PRIORITY + within
