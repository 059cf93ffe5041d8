"""Groups of tenants, and the order in which hosts own them."""

from __future__ import annotations

import math
from collections.abc import Mapping

import xxhash

GROUP_HOSTS = 100
"""Hosts for each owner."""


def count_groups(hosts: int) -> int:
    """Return the number of groups of tenants, each with an owner of its own."""
    return max(1, math.ceil(hosts / GROUP_HOSTS))


def find_group(tenant: str, groups: int) -> str:
    """Return the name of the group that a tenant belongs to."""
    return f"{xxhash.xxh32_intdigest(tenant.encode()) % groups}/{groups}"


def rank_hosts(group: str, hosts: Mapping[str, float]) -> list[str]:
    """Return the hosts in the order in which they are to own a group.

    Parameters
    ----------
    hosts
        Processor time of the daemon of each host, in cores; 0 if it is not known.

    Notes
    -----
    An owner handles the reports of all daemons beside the requests of its own host, so
    those with the most processor time come first. The hash divides the groups among
    equal hosts.
    """
    return sorted(
        hosts,
        key=lambda host: (
            -hosts[host],
            xxhash.xxh64_intdigest(f"{group} {host}".encode()),
        ),
    )
