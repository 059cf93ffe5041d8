"""Decodes the routing configuration that operators write to the store."""

from __future__ import annotations

import re
from collections import Counter
from types import MappingProxyType
from typing import Annotated

import msgspec

from almondrouter.errors import MALFORMED_DATA_ERRORS, ErrorCode, Finding, FindingsError
from almondrouter.state.hosts import Name
from almondrouter.state.routes import (
    CallerLimits,
    RouteTable,
    RouteTarget,
    ServicePolicy,
    ServiceShare,
    sort_routes,
)
from almondrouter.state.tenants import TenantPolicy, TenantTable, digest_key

CONFIGURATION_KEY = "op/config"
_VERSION = re.compile(r"r([0-9]{1,15})")
_REPEATABLE_TYPES = frozenset({"safe", "download"})
MAX_KEY_BYTES = 1024
"""Longest key of a tenant; longer ones would not fit beside other headers."""


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Path(msgspec.Struct):
    name: str
    path_prefix: str
    route_type: str
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int = 0
    public: bool = False
    service: str | None = None
    backends: tuple[_Share, ...] = ()
    """Services with their weights; the platform names the field ``backends``."""


class _VirtualHost(msgspec.Struct):
    host: str
    paths: tuple[_Path, ...]


class _Service(msgspec.Struct):
    name: str
    health_check_path: str = "/"
    max_connections: int = 100


class _Tenant(msgspec.Struct):
    name: Name
    api_keys: tuple[str, ...] = ()
    priority: Annotated[int, msgspec.Meta(ge=0)] | None = None
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 32_768
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


class _Configuration(msgspec.Struct):
    version: str
    virtual_hosts: tuple[_VirtualHost, ...]
    services: tuple[_Service, ...]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Tenant, ...] | None = None


_DECODER = msgspec.json.Decoder(_Configuration)


def decode_routes(data: bytes) -> RouteTable:
    """Decode and validate a stored configuration.

    Raises
    ------
    FindingsError
        With every error and its place; no part of the configuration is usable.
    """
    try:
        configuration = _DECODER.decode(data)
    except MALFORMED_DATA_ERRORS as error:
        code = ErrorCode.CONFIGURATION_MALFORMED
        raise FindingsError([Finding(CONFIGURATION_KEY, code, str(error))]) from error
    findings = _validate_configuration(configuration)
    if findings:
        raise FindingsError(findings)
    return _compile_routes(configuration)


def _validate_configuration(configuration: _Configuration) -> list[Finding]:
    findings = []
    if not _VERSION.fullmatch(configuration.version):
        code = ErrorCode.VALUE_OUT_OF_RANGE
        findings.append(
            Finding(
                "version",
                code,
                f"{configuration.version!r} is not r with 1 to 15 digits",
            )
        )
    services = {service.name for service in configuration.services}
    for virtual_host in configuration.virtual_hosts:
        for path in virtual_host.paths:
            place = f"{virtual_host.host}{path.path_prefix}"
            shares = _make_shares(path)
            unknown = [s.service for s in shares if s.service not in services]
            if unknown:
                code = ErrorCode.SERVICE_UNKNOWN
                findings.append(
                    Finding(place, code, f"undeclared services: {', '.join(unknown)}")
                )
            if not sum(share.weight for share in shares) > 0:
                code = ErrorCode.VALUE_OUT_OF_RANGE
                findings.append(Finding(place, code, "no service has a weight above 0"))
    return findings + _validate_tenants(configuration.tenants or ())


def _validate_tenants(tenants: tuple[_Tenant, ...]) -> list[Finding]:
    """Find the errors of tenants; no finding shows a key."""
    faults = []
    names = Counter(tenant.name for tenant in tenants)
    faults += [(name, "declared twice") for name, count in names.items() if count > 1]
    holders: dict[str, str] = {}
    for tenant in tenants:
        for key in tenant.api_keys:
            holder = holders.setdefault(key, tenant.name)
            if holder != tenant.name:
                faults.append((tenant.name, f"has a key of tenant {holder}"))
            if not 0 < len(key.encode()) <= MAX_KEY_BYTES:
                message = f"a key has not 1 to {MAX_KEY_BYTES} bytes"
                faults.append((tenant.name, message))
    code = ErrorCode.VALUE_OUT_OF_RANGE
    return [Finding(f"tenants.{name}", code, fault) for name, fault in faults]


def _compile_routes(configuration: _Configuration) -> RouteTable:
    hosts: dict[str, list[RouteTarget]] = {}
    for virtual_host in configuration.virtual_hosts:
        routes = hosts.setdefault(virtual_host.host.lower(), [])
        routes += [_compile_route(path) for path in virtual_host.paths]
    services = {
        service.name: ServicePolicy(service.health_check_path, service.max_connections)
        for service in configuration.services
    }
    limits = configuration.limits
    return RouteTable(
        version=int(configuration.version[1:]),
        hosts=MappingProxyType({h: sort_routes(r) for h, r in hosts.items()}),
        services=MappingProxyType(services),
        limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        ),
        tenants=_compile_tenants(configuration.tenants),
    )


def _compile_tenants(tenants: tuple[_Tenant, ...] | None) -> TenantTable | None:
    if tenants is None:
        return None
    policies = {
        tenant.name: TenantPolicy(
            tenant.name, tenant.priority, tenant.rate_per_s, tenant.burst
        )
        for tenant in tenants
    }
    owners = {
        digest_key(key.encode()): tenant.name
        for tenant in tenants
        for key in tenant.api_keys
    }
    return TenantTable(MappingProxyType(policies), MappingProxyType(owners))


def _compile_route(path: _Path) -> RouteTarget:
    return RouteTarget(
        name=path.name,
        prefix=path.path_prefix,
        shares=_make_shares(path),
        repeatable=path.route_type in _REPEATABLE_TYPES,
        answer_within=path.timeout_s,
        target_latency=path.target_latency_s,
        max_attempts=max(1, path.max_attempts),
        priority=path.priority,
        public=path.public,
    )


def _make_shares(path: _Path) -> tuple[ServiceShare, ...]:
    if path.backends:
        return tuple(ServiceShare(s.service, s.weight) for s in path.backends)
    return (ServiceShare(path.service or "", 1.0),)
