"""Routes that operators declare, compiled into one immutable table."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that serves a share of the requests of a route.

    Parameters
    ----------
    service
        Name of the service.
    weight
        Share of requests in relation to the other services of the route.
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
        Services that run the requests; one for most routes.
    repeatable
        Whether a request is idempotent and may run more than once.
    answer_within
        Longest time in seconds that a caller is kept waiting.
    target_latency
        Seconds within which an answer is of full use to the caller.
    max_attempts
        Backend servers that one request may be sent to.
    priority
        Rank of the route; 0 is served first.
    """

    name: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    repeatable: bool
    answer_within: float
    target_latency: float
    max_attempts: int
    priority: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, in bytes, and how long they may take, in seconds."""

    max_header_bytes: int = 32_768
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout: float = 10.0
    keep_alive: float = 75.0


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """What is declared of a service.

    Parameters
    ----------
    health_path
        Path of its health endpoint.
    max_connections
        Connections that one backend server accepts.
    """

    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes of one configuration version."""

    version: int
    hosts: Mapping[str, tuple[RouteTarget, ...]]
    services: Mapping[str, ServicePolicy]
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find(self, host: str, path: str) -> RouteTarget | None:
        """Return the route with the longest prefix of ``path``, or None."""
        routes = self.hosts.get(host)
        if routes is None:
            routes = self.hosts.get(host.partition(":")[0].lower(), ())
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None


def sort_routes(routes: list[RouteTarget]) -> tuple[RouteTarget, ...]:
    """Return the routes of one host with longer prefixes first."""
    return tuple(sorted(routes, key=lambda route: -len(route.prefix)))
