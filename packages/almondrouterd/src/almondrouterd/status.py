"""Status of the daemon and of the fleet as JSON-compatible data."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from almondrouter.coordination.fleetstatus import DataCentreStatus

if TYPE_CHECKING:
    from almondrouterd.daemon import Daemon

_UNREACHED_VERSION = 2**53
"""Version that no daemon has in force, so that each daemon is asked for its status."""


class StatusReports:
    """Reports the status of a daemon, and of the fleet as that daemon sees it.

    Parameters
    ----------
    daemon
        The daemon to report on.
    """

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon

    def describe_daemon(self) -> dict[str, Any]:
        """Return the daemon's own status."""
        daemon = self._daemon
        head = daemon.control.activation.head()
        snapshot = daemon.control.activation.snapshot
        sent, received = self.count_control_bytes()
        return {
            "host": daemon.host,
            "incarnation": daemon.incarnation,
            "ready": daemon.ready,
            "reason": daemon.control.distribution.not_ready_reason or "",
            "stopping": daemon.stopping,
            "version": head.version,
            "digest": head.digest,
            "hosts": len(daemon.control.registry),
            "routes": {n: len(r.destinations) for n, r in snapshot.routes.items()},
            "alarms": dict(daemon.control.distribution.alarms),
            "unreachable": sorted(daemon.control.membership.unreachable_data_centres()),
            "backends": sorted(daemon.backends.admissions),
            "announced": [r.name for r in daemon.control.membership.record.backends],
            "started_at": daemon.incarnation / 1000,
            "version_at": daemon.version_at,
            "other_region_bytes_sent": sent["other_region"],
            "control_bytes_sent": sum(sent.values()),
            "control_bytes_received": sum(received.values()),
            "store_calls": dict(daemon.control.store.calls),
        }

    async def describe_fleet(self, version: int | None) -> dict[str, Any]:
        """Return the status of every data centre.

        Parameters
        ----------
        version
            Version that daemons should have in force; the latest found if None.
        """
        requested_version = _UNREACHED_VERSION if version is None else version
        collected = await self._daemon.fleet.collect(requested_version)
        heads = [reply.head.version for dc in collected for reply in dc.replies]
        expected = max(heads, default=0) if version is None else version
        return {
            "version": expected,
            "hosts": sum(len(dc.replies) + len(dc.silent) for dc in collected),
            "alarms": dict(self._daemon.control.distribution.alarms),
            "data_centres": [describe_data_centre(dc, expected) for dc in collected],
        }

    def count_control_bytes(self) -> tuple[Counter[str], Counter[str]]:
        """Return bytes sent and received on control links, by scope of the other end.

        The scopes are ``data_centre``, ``region`` and ``other_region``, and
        ``unknown`` for an address that no host record has.
        """
        own = self._daemon.control.registry.find(self._daemon.host)
        by_address = {r.control_address: r for r in self._daemon.control.registry}
        sent: Counter[str] = Counter()
        received: Counter[str] = Counter()
        for address, count in self._daemon.control.endpoint.count_bytes().items():
            record = by_address.get(address)
            if record is None or own is None:
                scope = "unknown"
            elif record.data_centre == own.data_centre:
                scope = "data_centre"
            elif record.region == own.region:
                scope = "region"
            else:
                scope = "other_region"
            sent[scope] += count.sent
            received[scope] += count.received
        return sent, received


def describe_data_centre(status: DataCentreStatus, expected: int) -> dict[str, Any]:
    """Return the status of a data centre as JSON-compatible data.

    Parameters
    ----------
    expected
        Version that hosts should have in force; hosts at an earlier one are listed.
    """
    versions = Counter(reply.head.version for reply in status.replies)
    return {
        "data_centre": status.data_centre,
        "hosts": len(status.replies) + len(status.silent),
        "ready": sum(reply.ready for reply in status.replies),
        "versions": {str(version): count for version, count in versions.items()},
        "behind": sorted(
            reply.host for reply in status.replies if reply.head.version < expected
        ),
        "unreachable": sorted(status.silent),
    }
