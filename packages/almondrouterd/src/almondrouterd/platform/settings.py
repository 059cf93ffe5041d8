"""Settings of a host, read from the platform's TOML file."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec

from almondrouter.coordination.fleetretries import FleetRetryLimits
from almondrouter.errors import ErrorCode, Finding, FindingsError
from almondrouter.state.bounds import QuotaBounds, RevocationBounds, RolloutBounds
from almondrouter.state.hosts import MAX_PROCESSORS

SETTINGS_VARIABLE = "ALMONDROUTER_SETTINGS"


class _Listen(msgspec.Struct):
    outbound: str
    inbound: str
    ready_address: str
    control: str


class _Bounds(msgspec.Struct):
    drain_s: float = 2.5
    grace_s: float = 6.0
    config_apply_s: float = 2.5
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_extra: float = 50.0
    quota_window_s: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0
    exposure_share: float = 0.1
    exposure_slack: float = 50.0
    rollback_s: float = 5.0
    strict_revoke: bool = False
    revoke_s: float = 5.0


class _Provider(msgspec.Struct):
    address: str
    writes_per_s: float
    reads_per_s: float
    max_value_bytes: int = 1_048_576


class _Limits(msgspec.Struct):
    memory_mb: float
    max_fds: int
    link_mbps: float = 0.0
    cpu_share: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    cores: Annotated[float, msgspec.Meta(ge=0)] = 1.0


class _File(msgspec.Struct):
    node: str
    zone: str
    region: str
    ip: str
    app_addr: str
    service: str
    heartbeat_s: float
    port_range: tuple[int, int]
    listen: _Listen
    provider: _Provider
    limits: _Limits
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    zones: dict[str, str] = {}
    bootstrap: bool = False


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings that the platform gives the daemon of a host.

    Parameters
    ----------
    host, data_centre, region, ip
        Names and IP address of the host on which the daemon runs.
    own_service, backend_address
        Service and ``ip:port`` of the backend server on this host.
    caller_address
        ``ip:port`` for requests of local clients and of the backend server.
    peer_address
        ``ip:port`` for calls from other daemons.
    advertised_address
        ``ip:port`` that other daemons connect to; differs from `peer_address` only
        behind a port forwarder.
    ready_address
        ``ip:port`` for readiness checks.
    backend_control_address
        ``ip:port`` for heartbeats of the backend server.
    metrics_port
        Port of the metrics endpoint.
    store_address
        ``ip:port`` of the key-value service.
    stop_within
        Seconds from a stop signal until the process is killed.
    repeat_limits
        Limits on retries over the whole fleet.
    link_bytes_per_second
        Capacity of the network link of the host.
    memory_bytes
        Memory that the platform allows the daemon.
    processors
        Processor time that the platform allows the daemon, in cores; 0 if unknown.
    max_descriptors
        Open descriptors of the host, part of which belong to the platform.
    is_first_start
        Whether the whole fleet starts for the first time.
    operator_address
        ``ip:port`` on loopback for questions of operators; empty for none.
    quota_bounds, rollout_bounds, revocation
        Bounds on the quotas of tenants, on roll-outs, and on removed keys.
    """

    host: str
    data_centre: str
    region: str
    ip: str
    own_service: str
    backend_address: str
    caller_address: str
    peer_address: str
    advertised_address: str
    ready_address: str
    backend_control_address: str
    metrics_port: int
    store_address: str
    stop_within: float
    repeat_limits: FleetRetryLimits
    link_bytes_per_second: float
    memory_bytes: float
    max_descriptors: int
    processors: float = 0.0
    is_first_start: bool = False
    quota_bounds: QuotaBounds = QuotaBounds()
    rollout_bounds: RolloutBounds = RolloutBounds()
    revocation: RevocationBounds = RevocationBounds()
    operator_address: str = ""


BYTES_PER_MEGABIT = 125_000
BYTES_PER_MEGABYTE = 1_000_000
ASSUMED_LINK_MBPS = 1000.0
"""Megabits per second of a link whose rate the file leaves out."""
METRICS_PORT = 9464
"""Port of the metrics endpoint; must match ``metrics`` in ``deploy/system.toml``."""


def read_host_settings(
    path: str, *, advertised_address: str | None = None
) -> HostSettings:
    """Read and check the settings file.

    Parameters
    ----------
    path
        TOML file.
    advertised_address
        ``ip:port`` that other daemons connect to; the listening address if None.

    Raises
    ------
    FindingsError
        ``file_unreadable`` or ``setting_invalid``, with the place of the error.
    """
    try:
        data = tomllib.loads(Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        code = ErrorCode.FILE_UNREADABLE
        raise FindingsError([Finding(path, code, str(error))]) from error
    try:
        file = msgspec.convert(data, _File)
    except msgspec.ValidationError as error:
        code = ErrorCode.SETTING_INVALID
        raise FindingsError([Finding(path, code, str(error))]) from error
    return _make_host_settings(file, advertised_address or file.listen.inbound)


def _make_host_settings(file: _File, advertised_address: str) -> HostSettings:
    bounds = file.bounds
    return HostSettings(
        host=file.node,
        data_centre=file.zone,
        region=file.region,
        ip=file.ip,
        own_service=file.service,
        backend_address=file.app_addr,
        caller_address=file.listen.outbound,
        peer_address=file.listen.inbound,
        advertised_address=advertised_address,
        ready_address=file.listen.ready_address,
        backend_control_address=file.listen.control,
        metrics_port=METRICS_PORT,
        store_address=file.provider.address,
        stop_within=bounds.grace_s,
        repeat_limits=FleetRetryLimits(
            bounds.retry_budget_ratio, bounds.budget_extra, bounds.budget_window_s
        ),
        link_bytes_per_second=compute_link_rate(file.limits.link_mbps),
        memory_bytes=file.limits.memory_mb * BYTES_PER_MEGABYTE,
        max_descriptors=file.limits.max_fds,
        processors=min(file.limits.cpu_share * file.limits.cores, MAX_PROCESSORS),
        is_first_start=file.bootstrap,
        quota_bounds=QuotaBounds(
            bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack
        ),
        rollout_bounds=RolloutBounds(
            bounds.exposure_share, bounds.exposure_slack, bounds.rollback_s
        ),
        revocation=RevocationBounds(bounds.strict_revoke, bounds.revoke_s),
    )


def compute_link_rate(megabits: float) -> float:
    """Return the rate of a link in bytes per second.

    Parameters
    ----------
    megabits
        Megabits per second; 0 or less means unknown.
    """
    return (megabits if megabits > 0 else ASSUMED_LINK_MBPS) * BYTES_PER_MEGABIT
