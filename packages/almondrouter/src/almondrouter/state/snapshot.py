"""Immutable routing snapshot compiled from the configuration and the registry.

It routes calls by class. The routes of a hosting platform, by virtual host and path
prefix, are in `almondrouter.state.routes`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from almondrouter.state.registry import BackendState, HostRecord, HostStatus
from almondrouter.state.targets import ClassTarget, Configuration, Priority


@dataclass(frozen=True, slots=True)
class Destination:
    """Backend server that calls of a route may be sent to."""

    backend: str
    host: str
    data_centre: str
    region: str
    peer_address: str
    incarnation: int
    slots: int
    suspect: bool
    version: str = ""


@dataclass(frozen=True, slots=True)
class Route:
    """How calls of a class are served.

    Parameters
    ----------
    class_name, service
        Class of the calls, and the service that serves it.
    answer_within
        Target response time in seconds.
    share
        Share of calls that should meet the target response time.
    repeatable, priority
        As in `ClassTarget`.
    limit_names
        Names of the rate limits that a call counts against.
    destinations
        Known backend servers that may serve the class; may be empty.
    """

    class_name: str
    service: str
    answer_within: float
    repeatable: bool
    priority: Priority
    limit_names: tuple[str, ...]
    destinations: tuple[Destination, ...]
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Routes of one configuration to the backend servers known at compile time.

    Parameters
    ----------
    version, digest
        Version and digest of the configuration.
    routes
        Routes by class.
    limits
        Fleet-wide rate limits in calls per second, by limit name.
    """

    version: int
    digest: str
    routes: Mapping[str, Route]
    limits: Mapping[str, float]


EMPTY_SNAPSHOT = Snapshot(0, "", MappingProxyType({}), MappingProxyType({}))


def compile_snapshot(
    configuration: Configuration, records: Iterable[HostRecord]
) -> Snapshot:
    """Compile a validated configuration and the records of the known hosts.

    Returns
    -------
    Snapshot
        Routes lead only to backend servers in ``records`` that accept calls.
    """
    destinations_by_service = _group_destinations_by_service(records)
    routes = {
        name: _compile_route(name, target, configuration, destinations_by_service)
        for name, target in configuration.classes.items()
    }
    return Snapshot(
        version=configuration.version,
        digest=configuration.digest(),
        routes=MappingProxyType(routes),
        limits=MappingProxyType(_collect_limits(configuration)),
    )


def service_limit_name(service: str) -> str:
    """Return the name of a service's rate limit."""
    return f"services.{service}"


def class_limit_name(class_name: str) -> str:
    """Return the name of a class's rate limit."""
    return f"classes.{class_name}"


def _compile_route(
    name: str,
    target: ClassTarget,
    configuration: Configuration,
    destinations_by_service: dict[str, list[Destination]],
) -> Route:
    service = configuration.services[target.service]
    allowed = set(target.data_centres or service.data_centres)
    destinations = tuple(
        destination
        for destination in destinations_by_service.get(target.service, ())
        if not allowed or destination.data_centre in allowed
    )
    limits = []
    if service.calls_per_second is not None:
        limits.append(service_limit_name(target.service))
    if target.calls_per_second is not None:
        limits.append(class_limit_name(name))
    return Route(
        class_name=name,
        service=target.service,
        answer_within=target.answer_within_ms / 1000,
        repeatable=target.repeatable,
        priority=target.priority,
        limit_names=tuple(limits),
        destinations=destinations,
        share=target.share,
    )


def _collect_limits(configuration: Configuration) -> dict[str, float]:
    limits = {}
    for name, service in configuration.services.items():
        if service.calls_per_second is not None:
            limits[service_limit_name(name)] = service.calls_per_second
    for name, target in configuration.classes.items():
        if target.calls_per_second is not None:
            limits[class_limit_name(name)] = target.calls_per_second
    return limits


def _group_destinations_by_service(
    records: Iterable[HostRecord],
) -> dict[str, list[Destination]]:
    grouped: dict[str, list[Destination]] = {}
    for record in records:
        if not record.takes_calls:
            continue
        for backend in record.backends:
            if backend.state is not BackendState.READY:
                continue
            destination = Destination(
                backend=backend.name,
                host=record.host,
                data_centre=record.data_centre,
                region=record.region,
                peer_address=record.peer_address,
                incarnation=record.incarnation,
                slots=backend.slots,
                suspect=record.status is HostStatus.SUSPECT,
            )
            grouped.setdefault(backend.service, []).append(destination)
    for destinations in grouped.values():
        destinations.sort(key=lambda item: item.backend)
    return grouped
