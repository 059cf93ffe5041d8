"""Registers the metrics of `almondrouterd.hostdaemon`."""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Mapping

from almondrouter.coordination.activeroutes import ActiveRoutes
from almondrouter.coordination.crashevidence import CrashEvidence
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.fleetretries import FleetRetryBudget
from almondrouter.coordination.localbackend import LocalBackend
from almondrouter.coordination.quotas.service import QuotaService
from almondrouter.coordination.rollouts.manager import Rollouts
from almondrouter.coordination.rollouts.orders import OrderBook
from almondrouter.coordination.transfers.admission import TransferAdmission
from almondrouter.coordination.transfers.scheduler import TransferScheduler
from almondrouter.logs import LineWriter
from almondrouter.state.rollouts import RolloutPhase
from almondrouter.transport.callers import CallerServer
from almondrouter.transport.links import CallLinkPool, CallLinkServer
from almondrouterd.loopdelay import LoopDelay
from almondrouterd.metrics import DaemonMetrics, Samples, make_unlabelled_samples
from almondrouterd.platform.store import PlatformStore

QUOTA_EXCHANGE_BUCKETS = (0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2)
"""Seconds; requests wait for `service.MAX_WAIT_S`, and grants are valid for
`holdings.GRANT_VALID_S`."""


def register_state_metrics(
    metrics: DaemonMetrics,
    *,
    routes: ActiveRoutes,
    directory: HostDirectory,
    evidence: CrashEvidence,
    log_writer: LineWriter,
    loop_delay: LoopDelay,
) -> None:
    """Register metrics of the configuration, the known hosts, the log and the loop."""
    metrics.add_gauge(
        "almond_event_loop_delay_seconds",
        "Longest delay of a timer within the last 10 to 20 seconds",
        lambda: make_unlabelled_samples(loop_delay.longest),
    )
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
    choices: Mapping[tuple[str, str], int],
) -> None:
    """Register metrics of callers, backend server, retries and store calls.

    Parameters
    ----------
    choices
        Number of chosen destinations by service and by what calls leave to reach them.
    """
    metrics.add_gauge(
        "almond_store_era",
        "Era of the store; rises when it comes back from an older copy, 0 without eras",
        lambda: make_unlabelled_samples(store.era),
    )
    metrics.add_counter(
        "almond_calls_placed_total",
        "Destinations chosen, by service and by what the call leaves to reach them",
        lambda: [
            ({"service": service, "leaves": leaves}, count)
            for (service, leaves), count in choices.items()
        ],
    )
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


def register_quota_metrics(metrics: DaemonMetrics, *, quotas: QuotaService) -> None:
    """Register metrics of the quotas of tenants."""
    quotas.on_exchange = metrics.add_histogram(
        "almond_quota_exchange_seconds",
        "Time from a report to the owner of quotas until its grant",
        QUOTA_EXCHANGE_BUCKETS,
    )
    metrics.add_counter(
        "almond_quota_events_total",
        "Requests admitted and refused by the quotas of tenants; frames about them",
        lambda: _read_counts(quotas.counts, "event"),
    )
    metrics.add_counter(
        "almond_quota_refused_total",
        "Requests refused by quotas, by tenant",
        lambda: _read_counts(quotas.refused, "tenant"),
    )
    metrics.add_gauge(
        "almond_quota_groups",
        "Groups of tenants whose owner has a quorum and answers this daemon",
        lambda: make_unlabelled_samples(quotas.count_attached()),
    )
    metrics.add_gauge(
        "almond_quota_members",
        "Daemons that report to this one, by group of tenants",
        lambda: [({"group": g}, n) for g, n in quotas.count_members().items()],
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


def register_transfer_metrics(
    metrics: DaemonMetrics,
    *,
    scheduler: TransferScheduler,
    admission: TransferAdmission,
) -> None:
    """Register metrics of the long responses that leave over the link of the host."""
    metrics.add_gauge(
        "almond_transfer_waiting_bytes",
        "Bytes of long responses that have yet to leave, by rank",
        lambda: _read_counts(scheduler.count_bytes_by_rank(), "rank"),
    )
    metrics.add_gauge(
        "almond_link_wait_seconds",
        "Seconds until the link has carried what waits and what is expected",
        lambda: make_unlabelled_samples(admission.link_wait),
    )
    metrics.add_gauge(
        "almond_link_share",
        "Share of the stated rate of the link that it was found to carry",
        lambda: make_unlabelled_samples(scheduler.budget.control.share),
    )
    metrics.add_counter(
        "almond_transfer_events_total",
        "Long responses admitted, refused, sent in parts and dropped",
        lambda: _read_counts(scheduler.counts + admission.counts, "event"),
    )


def register_rollout_metrics(
    metrics: DaemonMetrics, *, rollouts: Rollouts, orders: OrderBook
) -> None:
    """Register metrics of roll-outs."""
    metrics.add_gauge(
        "almond_rollout_share",
        "Share of the requests for the ordered version",
        lambda: [({"service": s}, share) for s, _, share in rollouts.list_states()],
    )
    metrics.add_gauge(
        "almond_rollout_phase",
        "1 for the phase of each roll-out that this daemon knows, 0 for the others",
        lambda: [
            ({"service": service, "phase": phase.value}, float(phase is reached))
            for service, reached, _ in rollouts.list_states()
            for phase in RolloutPhase
        ],
    )
    metrics.add_gauge(
        "almond_rollout_responses",
        "Responses of both versions since the order, at the coordinator",
        lambda: [
            ({"service": service, "version": version}, count)
            for service, version, count, _ in rollouts.list_evidence()
        ],
    )
    metrics.add_gauge(
        "almond_rollout_failure_share",
        "Failed share of these responses",
        lambda: [
            ({"service": service, "version": version}, share)
            for service, version, _, share in rollouts.list_evidence()
        ],
    )
    metrics.add_counter(
        "almond_rollout_events_total",
        "Orders refused, plans, reports and coordinations, and failed store calls",
        lambda: _read_counts(orders.counts + rollouts.counts, "event"),
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
