"""Immutable table of the routes that the operators of a hosting platform declare.

Requests are matched by virtual host and path prefix. Clusters with an etcd store
route by class instead; see `almondrouter.state.snapshot`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from almondrouter.state.tenants import TenantTable


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Service that receives a share of the requests of a route.

    Parameters
    ----------
    service
        Name of the service.
    weight
        Weight relative to the other services of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RouteTarget:
    """How the requests of one route are served.

    Parameters
    ----------
    name
        Name of the route, unique within a table.
    prefix
        Path prefix that selects the route within its virtual host.
    shares
        Services that the requests are split between; most routes have one.
    repeatable
        Whether a request is idempotent and may run more than once.
    answer_within
        Longest time in seconds that a caller waits for the response.
    target_latency
        Latency in seconds up to which a response has its full value to the caller.
    max_attempts
        Limit on the backend servers that one request is sent to.
    priority
        Priority rank of the route; rank 0 is served first.
    public
        Whether requests need no key, even if the configuration has tenants.
    """

    name: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    repeatable: bool
    answer_within: float
    target_latency: float
    max_attempts: int
    priority: int
    public: bool = False


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    Parameters
    ----------
    max_header_bytes, max_body_bytes
        Size limits of a request.
    header_timeout
        Seconds in which the headers of a request must arrive.
    idle_timeout
        Seconds for which an idle connection is kept open.
    """

    max_header_bytes: int = 32_768
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 75.0


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Declared properties of a service.

    Parameters
    ----------
    health_path
        Path of the health check endpoint.
    max_connections
        Number of connections that one backend server accepts.
    """

    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes of one configuration version.

    Parameters
    ----------
    hosts
        Routes by virtual host, those with longer prefixes first.
    services
        Policies by service name.
    tenants
        Tenants and their keys; None if requests need no key.
    """

    version: int
    hosts: Mapping[str, tuple[RouteTarget, ...]]
    services: Mapping[str, ServicePolicy]
    limits: CallerLimits = field(default_factory=CallerLimits)
    tenants: TenantTable | None = None

    def find(self, host: str, path: str) -> RouteTarget | None:
        """Return the route of a virtual host with the longest prefix of ``path``.

        If ``host`` is unknown as given, its port is dropped and its letter case is
        ignored. Returns None if no route matches.
        """
        routes = self.hosts.get(host)
        if routes is None:
            routes = self.hosts.get(host.partition(":")[0].lower(), ())
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None


def sort_routes(routes: list[RouteTarget]) -> tuple[RouteTarget, ...]:
    """Return the routes of one virtual host, those with longer prefixes first."""
    return tuple(sorted(routes, key=lambda route: -len(route.prefix)))
