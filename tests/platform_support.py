"""Documents of the hosting platform that several tests share."""

from __future__ import annotations

import msgspec

from almondrouter.coordination.crashevidence import CrashEvidence
from almondrouter.coordination.hostcrashes import HostCrashGuard

SERVICE = "orders"


def make_configuration(version=7, *, timeout=0.8, target_latency=0.4, **changes):
    """Return a stored configuration with one repeatable route and one that is not."""
    route = {
        "name": "r-read",
        "path_prefix": "/read/",
        "route_type": "safe",
        "timeout_s": timeout,
        "target_latency_s": target_latency,
        "priority": 2,
        "service": SERVICE,
        "max_attempts": 2,
    }
    once = route | {"name": "r-pay", "path_prefix": "/pay/", "route_type": "unsafe"}
    document = {
        "version": f"r{version}",
        "services": [
            {"name": SERVICE, "health_check_path": "/healthz", "max_connections": 9}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "virtual_hosts": [{"host": "shop.example", "paths": [route, once]}],
    }
    return msgspec.json.encode(document | changes)


def make_heartbeat(address, *, state="ready", sequence=1, born=1000, **changes):
    """Return the body of a backend server's heartbeat."""
    document = {
        "address": address,
        "born": born,
        "info": {"service": SERVICE, "version": "v1", "zone": "z1", "slots": 4},
        "status": {"state": state, "sequence": sequence, "cold_remaining_s": 0},
    }
    return msgspec.json.encode(document | changes)


def make_evidence(clock, *, host="own", on_suspects=None, on_verdicts=None):
    """Return evidence about requests that crash backend servers."""
    return CrashEvidence(
        host=host,
        clock=clock,
        on_suspects_changed=on_suspects or (lambda: None),
        on_verdicts_changed=on_verdicts or (lambda: None),
    )


def make_crash_guard(clock, *, evidence=None, has_crashed=None, on_crash=None):
    """Return the guard of a backend server that has not crashed by default."""

    async def has_not_crashed():
        return False

    return HostCrashGuard(
        evidence=evidence or make_evidence(clock),
        has_crashed=has_crashed or has_not_crashed,
        on_crash=on_crash or (lambda start: None),
    )
