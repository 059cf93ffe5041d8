"""Builds the parts of a host's daemon that take part in roll-outs."""

from __future__ import annotations

import random as random_module
from collections.abc import Callable
from dataclasses import dataclass

from almondrouter.clock import Clock
from almondrouter.coordination.activeroutes import ActiveRoutes
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.localbackend import LocalBackend
from almondrouter.coordination.rollouts.decisions import Decisions
from almondrouter.coordination.rollouts.manager import Rollouts
from almondrouter.coordination.rollouts.members import (
    NoticeLinks,
    RolloutMembers,
    list_ready,
)
from almondrouter.coordination.rollouts.orders import OrderBook
from almondrouter.coordination.rollouts.reporting import LocalResults
from almondrouter.coordination.rollouts.tally import RunTally
from almondrouter.coordination.rollouts.versions import VersionFilter
from almondrouter.protocol.calls import Notice, RolloutPlan, RolloutReport
from almondrouter.state.rollouts import RolloutOrder
from almondrouter.transport.store import Store
from almondrouterd.platform.rollouts import ORDERS_PREFIX, STATUS_CODEC, decode_order
from almondrouterd.platform.settings import HostSettings


@dataclass(slots=True)
class RolloutParts:
    """Parts that the components of a daemon are built with.

    Parameters
    ----------
    orders, versions, tally, members
        As in `Rollouts`.
    manager
        Set by `connect`.
    """

    orders: OrderBook
    versions: VersionFilter
    tally: RunTally
    members: RolloutMembers
    manager: Rollouts | None = None

    def connect(
        self,
        *,
        settings: Callable[[], HostSettings],
        store: Store,
        backend: LocalBackend,
        directory: HostDirectory,
        clock: Clock,
        random: random_module.Random,
        incarnation: int,
        is_relay: Callable[[], bool],
        request_records: Callable[[], None],
        may_coordinate: Callable[[], bool],
    ) -> Rollouts:
        """Build the manager, which joins the parts with the rest of the daemon."""
        host = settings()
        self.manager = Rollouts(
            store=store,
            decisions=Decisions(store, STATUS_CODEC, self.orders),
            orders=self.orders,
            versions=self.versions,
            results=LocalResults(
                backend, self.tally, host=host.host, incarnation=incarnation
            ),
            members=self.members,
            bounds=lambda: settings().rollout_bounds,
            clock=clock,
            random=random,
            owner=f"{host.host}/{incarnation}",
            peer_address=host.advertised_address,
            region=host.region,
            is_relay=is_relay,
            find_ready=lambda service: list_ready(directory, service),
            request_records=request_records,
            may_coordinate=may_coordinate,
        )
        return self.manager

    def handle_notice(self, notice: Notice) -> bool:
        """Handle a frame of roll-outs; return whether it was one."""
        if isinstance(notice, RolloutPlan):
            self.manager.handle_plan(notice)
        elif isinstance(notice, RolloutReport):
            self.manager.handle_report(notice)
        else:
            return False
        return True


def make_rollout_parts(
    *,
    directory: HostDirectory,
    links: NoticeLinks,
    routes: ActiveRoutes,
    host: str,
    clock: Clock,
) -> RolloutParts:
    """Return the parts that other components need to be built."""

    def knows_service(service: str) -> bool:
        # A daemon without a configuration yet cannot judge; others refuse the order.
        return routes.table is None or service in routes.table.services

    def decode(key: str, value: bytes, revision: int) -> RolloutOrder:
        return decode_order(key, value, revision, knows_service=knows_service)

    orders = OrderBook(
        ORDERS_PREFIX,
        decode,
        clock=clock,
        on_changed=lambda service: parts.manager.handle_order_change(service),
        on_loaded=lambda: parts.manager.announce_orders(),
    )
    versions = VersionFilter(
        directory,
        host=host,
        clock=clock,
        on_mixed=lambda service: parts.manager.handle_mixed_versions(service),
    )
    members = RolloutMembers(links, directory, own_host=host)
    parts = RolloutParts(orders, versions, RunTally(clock), members)
    return parts
