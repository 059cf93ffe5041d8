"""Registers the metrics of `almondrouterd.daemon`."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from almondrouterd.metrics import Samples, make_unlabelled_samples

if TYPE_CHECKING:
    from almondrouterd.daemon import Daemon


def register_daemon_metrics(daemon: Daemon) -> None:
    """Register gauges and counters that read the daemon's state when rendered."""
    metrics = daemon.metrics
    metrics.add_gauge(
        "almond_configuration_version",
        "Configuration version in force",
        lambda: make_unlabelled_samples(daemon.control.activation.head().version),
    )
    metrics.add_gauge(
        "almond_ready",
        "1 if the daemon takes calls",
        lambda: make_unlabelled_samples(daemon.ready),
    )
    metrics.add_gauge(
        "almond_hosts",
        "Known hosts by status",
        lambda: _count_hosts(daemon),
    )
    metrics.add_gauge(
        "almond_alarms",
        "1 for each alarm that stands",
        lambda: [({"alarm": name}, 1) for name in daemon.control.distribution.alarms],
    )
    metrics.add_gauge(
        "almond_target_share",
        "Share of calls answered in time in the last minutes, by class",
        lambda: _read_attainment(daemon),
    )
    metrics.add_gauge(
        "almond_backend_load",
        "Slots, calls in flight and calls in the queue, by backend server",
        lambda: _read_loads(daemon),
    )
    metrics.add_counter(
        "almond_control_bytes_total",
        "Control bytes by direction and scope of the other end",
        lambda: _read_control_bytes(daemon),
    )
    metrics.add_counter(
        "almond_store_calls_total",
        "Calls to the store by kind",
        lambda: [({"kind": k}, n) for k, n in daemon.control.store.calls.items()],
    )
    metrics.add_counter(
        "almond_refused_total",
        "What was refused or dropped, by link and code",
        lambda: _read_refusals(daemon),
    )
    metrics.add_counter(
        "almond_backend_crashes_total",
        "Crashes of the backend server on this host",
        lambda: make_unlabelled_samples(daemon.backends.crashes),
    )


def _count_hosts(daemon: Daemon) -> Samples:
    counts = Counter(record.status.name.lower() for record in daemon.control.registry)
    return [({"status": status}, count) for status, count in counts.items()]


def _read_attainment(daemon: Daemon) -> Samples:
    for name, route in daemon.control.activation.snapshot.routes.items():
        found = daemon.attainment.find(name)
        if found.calls:
            yield {"class": name, "figure": "answered"}, found.share
            yield {"class": name, "figure": "wanted"}, route.share


def _read_loads(daemon: Daemon) -> Samples:
    for name, admission in daemon.backends.admissions.items():
        load = admission.load()
        for figure in ("slots", "in_use", "queued"):
            yield {"backend": name, "figure": figure}, getattr(load, figure)


def _read_control_bytes(daemon: Daemon) -> Samples:
    sent, received = daemon.status.count_control_bytes()
    for direction, counts in (("sent", sent), ("received", received)):
        for scope, value in counts.items():
            yield {"direction": direction, "scope": scope}, value


def _read_refusals(daemon: Daemon) -> Samples:
    counters = {
        "control": daemon.control.endpoint.refused,
        "call_served": daemon.link_server.counts,
        "call_sent": daemon.links.counts,
        "caller": daemon.caller_server.counts,
        "configuration": daemon.control.activation.refusals,
    }
    for link, counts in counters.items():
        for code, value in counts.items():
            yield {"link": link, "code": str(getattr(code, "value", code))}, value
    yield {"link": "control", "code": "dropped"}, daemon.control.endpoint.dropped
