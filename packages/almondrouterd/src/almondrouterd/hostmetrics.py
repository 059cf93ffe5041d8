"""Registers the metrics of `almondrouterd.hostdaemon`."""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Mapping

from almondrouter.coordination.activeroutes import ActiveRoutes
from almondrouter.coordination.crashevidence import CrashEvidence
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.fleetretries import FleetRetryBudget
from almondrouter.coordination.localbackend import LocalBackend
from almondrouter.logs import LineWriter
from almondrouter.transport.callers import CallerServer
from almondrouter.transport.links import CallLinkPool, CallLinkServer
from almondrouterd.metrics import DaemonMetrics, Samples, make_unlabelled_samples
from almondrouterd.platform.store import PlatformStore


def register_state_metrics(
    metrics: DaemonMetrics,
    *,
    routes: ActiveRoutes,
    directory: HostDirectory,
    evidence: CrashEvidence,
    log_writer: LineWriter,
) -> None:
    """Register metrics of the configuration, the known hosts and the log."""
    metrics.add_gauge(
        "almond_configuration_version",
        "Configuration version in force",
        lambda: make_unlabelled_samples(routes.version),
    )
    metrics.add_gauge(
        "almond_hosts", "Known hosts", lambda: make_unlabelled_samples(len(directory))
    )
    metrics.add_gauge(
        "almond_condemned_requests",
        "Requests refused because they crash backend servers",
        lambda: make_unlabelled_samples(evidence.count_condemned()),
    )
    metrics.add_counter(
        "almond_log_lines_dropped_total",
        "Log lines that were not written",
        lambda: make_unlabelled_samples(log_writer.dropped),
    )


def register_call_metrics(
    metrics: DaemonMetrics,
    *,
    backend: LocalBackend,
    retry_budget: FleetRetryBudget,
    store: PlatformStore,
    callers: CallerServer,
) -> None:
    """Register metrics of callers, backend server, retries and store calls."""
    metrics.add_gauge(
        "almond_backend_load",
        "Slots, requests running and requests waiting",
        lambda: _read_load(backend),
    )
    metrics.add_counter(
        "almond_backend_events_total",
        "Requests refused, shed and failed at the backend server",
        lambda: _read_counts(backend.counts + backend.queue.counts, "event"),
    )
    metrics.add_counter(
        "almond_repeats_total",
        "Repeats allowed and denied by the budget",
        lambda: _read_counts(retry_budget.counts, "event"),
    )
    metrics.add_counter(
        "almond_caller_events_total",
        "Requests and connections refused, and requests without a response",
        lambda: _read_counts(callers.counts, "event"),
    )
    metrics.add_gauge(
        "almond_caller_memory_bytes",
        "Memory that callers hold, and its limit",
        lambda: [
            ({"figure": "held"}, callers.budget.used),
            ({"figure": "limit"}, callers.budget.limit),
        ],
    )
    metrics.add_counter(
        "almond_caller_memory_events_total",
        "Callers held back, refused and closed for lack of memory",
        lambda: _read_counts(callers.budget.counts, "event"),
    )
    metrics.add_counter(
        "almond_store_calls_total",
        "Calls to the store by kind and status; 0 means no answer",
        lambda: [
            ({"kind": kind, "status": str(status)}, count)
            for (kind, status), count in store.counts.items()
        ],
    )


def register_link_metrics(
    metrics: DaemonMetrics, *, links: CallLinkPool, server: CallLinkServer
) -> None:
    """Register metrics of the links to other daemons."""
    sides = {"outbound": links, "inbound": server}
    metrics.add_counter(
        "almond_link_events_total",
        "Links lost and refused",
        lambda: _read_counts(links.counts, "event"),
    )
    metrics.add_gauge(
        "almond_links",
        "Open links to other daemons",
        lambda: [({"side": s}, links.link_count) for s, links in sides.items()],
    )
    metrics.add_counter(
        "almond_link_frames_total",
        "Frames on the links to other daemons",
        lambda: _read_traffic(sides, "frames"),
    )
    metrics.add_counter(
        "almond_link_bytes_total",
        "Bytes on the links to other daemons",
        lambda: _read_traffic(sides, "bytes"),
    )


def _read_traffic(
    sides: Mapping[str, CallLinkPool | CallLinkServer], unit: str
) -> Samples:
    for side, links in sides.items():
        for direction in ("sent", "received"):
            count = getattr(links.traffic, f"{unit}_{direction}")
            yield {"side": side, "direction": direction}, count


def _read_load(backend: LocalBackend) -> Samples:
    load = backend.queue.load()
    yield {"figure": "slots"}, load.slots
    yield {"figure": "running"}, load.in_use
    yield {"figure": "waiting"}, load.queued
    yield {"figure": "service_seconds"}, load.service_time


def _read_counts(counts: Counter[Hashable], label: str) -> Samples:
    return [({label: str(name)}, count) for name, count in counts.items()]
