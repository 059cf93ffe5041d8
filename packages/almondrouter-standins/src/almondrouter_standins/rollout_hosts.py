"""Simulated daemons of fleets that roll a service out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from almondrouter.coordination.rollouts.decisions import Decisions
from almondrouter.coordination.rollouts.manager import Rollouts
from almondrouter.coordination.rollouts.members import RolloutMembers
from almondrouter.coordination.rollouts.orders import OrderBook
from almondrouter.coordination.rollouts.reporting import LocalResults
from almondrouter.coordination.rollouts.tally import RunTally
from almondrouter.coordination.rollouts.versions import VersionFilter
from almondrouter.protocol.calls import RolloutPlan, RolloutReport
from almondrouter.state.bounds import RolloutBounds
from almondrouter.state.hosts import HostEntry
from almondrouter_standins.rollout_servers import (
    REGIONS,
    Server,
)
from almondrouterd.platform.rollouts import (
    ORDERS_PREFIX,
    STATUS_CODEC,
    decode_order,
)

if TYPE_CHECKING:
    from almondrouter_standins.rollout_fleet import RolloutFleet


class VirtualHost:
    """A daemon, with or without a server beside it."""

    def __init__(self, fleet: RolloutFleet, number: int, server: Server | None) -> None:
        self.fleet, self.number, self.name = fleet, number, f"h{number}"
        self.region = f"r{number % REGIONS}"
        self.address = f"{self.name}:1"
        self.incarnation = int(fleet.clock.monotonic() * 1000)
        self.server = server
        self.is_cut = False
        self.held: list[Callable[[], None]] = []
        self._task: asyncio.Task | None = None
        self._build()

    def _build(self) -> None:
        fleet, clock = self.fleet, self.fleet.clock
        store = fleet.store.connect(lambda: not self.is_cut)
        self.tally = RunTally(clock)
        self.versions = VersionFilter(
            fleet.directory,
            host=self.name,
            clock=clock,
            on_mixed=lambda service: self.manager.handle_mixed_versions(service),
        )
        self.orders = OrderBook(
            ORDERS_PREFIX,
            lambda key, value, revision: decode_order(
                key, value, revision, knows_service=lambda service: True
            ),
            clock=clock,
            on_changed=lambda service: self.manager.handle_order_change(service),
        )
        self.members = RolloutMembers(self, fleet.directory, own_host=self.name)
        backend = self if self.server is None else self.server
        self.manager = Rollouts(
            store=store,
            decisions=Decisions(store, STATUS_CODEC, self.orders),
            orders=self.orders,
            versions=self.versions,
            results=LocalResults(
                backend, self.tally, host=self.name, incarnation=self.incarnation
            ),
            members=self.members,
            bounds=RolloutBounds,
            clock=clock,
            random=fleet.random,
            owner=f"{self.name}/{self.incarnation}",
            peer_address=self.address,
            region=self.region,
            is_relay=lambda: self.number < REGIONS,
            find_ready=fleet.find_ready,
        )

    entry = None
    """The manager of a host without a server sees a backend without an entry."""

    @property
    def record(self) -> HostEntry:
        """Host record."""
        backend = self.server.entry if self.server else None
        return HostEntry(
            self.name, self.incarnation, "z", self.region, self.address, backend
        )

    def start(self) -> None:
        """Start the daemon's work; peers learn of it by their links."""
        for peer in self.fleet.hosts.values():
            if peer is not self:
                peer.members.note(self.name, knows_rollouts=True)
                self.members.note(peer.name, knows_rollouts=True)
        if self.server is not None:
            self.tally.note_start(self.server.entry.backend)
        self._task = asyncio.create_task(self.manager.run())
        self.orders.load(self.fleet.store.find(ORDERS_PREFIX), stale=True)

    def stop(self) -> None:
        """Kill the daemon, which can release nothing; its server goes on."""
        self.is_cut = True
        self._task.cancel()

    def send_notice(self, address: str, notice: RolloutPlan | RolloutReport) -> None:
        """Deliver a notice after the delay of the link."""
        peer = self.fleet.hosts.get(address.removesuffix(":1"))
        if peer is None or self._is_parted_from(peer):
            return
        self.fleet.notices += 1
        delay = 0.002 if peer.region == self.region else 0.022

        def deliver() -> None:
            if peer.is_cut:
                peer.held.append(deliver)
            elif self.fleet.hosts.get(peer.name) is peer:
                peer.receive(notice)

        def send() -> None:
            asyncio.get_running_loop().call_later(delay, deliver)

        self.held.append(send) if self.is_cut else send()

    def receive(self, notice: RolloutPlan | RolloutReport) -> None:
        """Handle a notice of a peer."""
        if isinstance(notice, RolloutPlan):
            self.manager.handle_plan(notice)
        else:
            self.manager.handle_report(notice)

    def preconnect(self, address: str) -> None:
        """All links are open."""

    def is_alive(self, address: str) -> bool:
        """Return whether a peer's process runs and is not cut off."""
        peer = self.fleet.hosts.get(address.removesuffix(":1"))
        if peer is None or self._is_parted_from(peer):
            return False
        return not peer.is_cut

    def _is_parted_from(self, peer: VirtualHost) -> bool:
        cut = self.fleet.cut_region
        return bool(cut) and (self.region == cut) != (peer.region == cut)

    def cut(self) -> None:
        """Hold all frames in both directions, and lose the store."""
        self.is_cut = True

    def wake(self) -> None:
        """Deliver what was held, late."""
        self.is_cut = False
        held, self.held = self.held, []
        for deliver in held:
            deliver()
