"""Configuration distribution of many daemons over a simulated network and store.

Membership is simulated too: each host's view of the live hosts is updated
``MEMBERSHIP_DELAY_S`` after a failure or recovery, as by the failure detector.
"""

import asyncio
from random import Random

import msgspec
import xxhash

from almondrouter.coordination.activation import Activation
from almondrouter.coordination.distribution import Distribution
from almondrouter.coordination.watchers import WatcherSpread
from almondrouter.protocol.control import Heartbeat, HeartbeatReply
from almondrouter.state.registry import (
    BackendRecord,
    HostRecord,
    HostStatus,
    Registry,
)
from simulation.loop import LoopClock
from simulation.network import MemoryEndpoint, Network
from simulation.store import KEYS, MemoryStore, StoreClient

MEMBERSHIP_DELAY_S = 4.0
MAX_RING_HEARTBEATS = 3
SERVICES = ("accounts", "manuscripts")


def rank_hosts(records, data_centre):
    """Rank a data centre's live hosts by a hash of the name.

    Stands in for the rendezvous hashing of the production code.
    """
    live = [
        record
        for record in records
        if record.data_centre == data_centre and record.status is HostStatus.ALIVE
    ]
    return sorted(live, key=lambda r: xxhash.xxh3_64_intdigest(r.host.encode()))


class SimulatedHost:
    """A daemon with its simulated membership.

    A restart keeps the host's name and loses everything in memory.
    """

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.distribution = None
        self.paused_at = None
        self.unreachable = frozenset()
        self.endpoint = MemoryEndpoint(fleet.network, record)
        self.store = StoreClient(fleet.store)
        self.reset()

    def reset(self):
        """Discard everything that the daemon holds in memory."""
        self.registry = Registry()
        self.activation = Activation(registry=self.registry)
        self.change_listeners = []
        self.head_listeners = []
        self.resume_listeners = []
        self.heartbeats = None
        self.newest_active_version = 0
        self.activation.add_listener(lambda _: self.fleet.on_activation(self))

    async def start(self):
        """Start the daemon with the next incarnation."""
        self.reset()
        self.record = msgspec.structs.replace(
            self.record,
            incarnation=self.record.incarnation + 1,
            sequence=0,
            store_down=False,
        )
        self.endpoint.handlers = {Heartbeat: self._answer_heartbeat}
        self.registry.merge([h.record for h in self.fleet.hosts.values()])
        self.fleet.broadcast_record(self.record)
        self.distribution = Distribution(
            record=self.record,
            registry=self.registry,
            activation=self.activation,
            membership=self,
            endpoint=self.endpoint,
            store=self.store,
            keys=KEYS,
            clock=self.fleet.clock,
            spread=self.fleet.spread,
            rank=rank_hosts,
            random=self.fleet.random,
        )
        await self.endpoint.start()
        await self.distribution.start()
        self.heartbeats = asyncio.create_task(self._send_heartbeats())
        self.fleet.schedule_view_refresh()

    async def kill(self):
        """Stop the daemon without a drain."""
        self.heartbeats.cancel()
        await self.endpoint.close()
        await self.distribution.close()
        self.fleet.schedule_view_refresh()

    def pause(self):
        """Freeze the process: it neither sends nor receives until `resume`."""
        self.endpoint.running.clear()
        self.store.running.clear()
        self.fleet.schedule_view_refresh()

    def resume(self):
        """Resume the frozen process; buffered messages arrive immediately."""
        for listener in self.resume_listeners:
            listener()
        self.endpoint.running.set()
        self.store.running.set()
        self.fleet.schedule_view_refresh()

    @property
    def data_centre(self):
        return self.record.data_centre

    @property
    def running(self):
        return self.endpoint.up and self.endpoint.running.is_set()

    # The part of the membership interface that distribution uses.

    discovery_done = True

    def add_seeds(self, addresses):
        self.seeds = list(addresses)

    def add_change_listener(self, listener):
        self.change_listeners.append(listener)

    def add_head_listener(self, listener):
        self.head_listeners.append(listener)

    def add_resume_listener(self, listener):
        self.resume_listeners.append(listener)

    def live_hosts(self, data_centre):
        found = self.registry.list_data_centre(data_centre)
        return [record for record in found if record.takes_calls]

    def unreachable_data_centres(self):
        return self.unreachable

    def update_store_down(self, store_down):
        self.record = msgspec.structs.replace(
            self.record, store_down=store_down, sequence=self.record.sequence + 1
        )
        self.merge([self.record])
        self.fleet.broadcast_record(self.record)

    def push_targets(self):
        """Return the overlay neighbours that changes are pushed to.

        These are ring neighbours at power-of-two distances and, for the two
        delegates of a data centre, the delegates of others. Heartbeats go to the
        first `MAX_RING_HEARTBEATS` ring neighbours and to all of these delegates.
        """
        ring = rank_hosts(self.registry, self.record.data_centre)
        names = [record.host for record in ring]
        if self.record.host not in names:
            return ()
        own = names.index(self.record.host)
        steps = [2**i for i in range(16) if 2**i < len(ring)]
        targets = [ring[(own + step) % len(ring)] for step in steps]
        targets += self._list_delegate_links() if own < 2 else []
        return tuple(targets)

    def _list_delegate_links(self):
        """Return the delegates that this delegate exchanges heartbeats with.

        Every delegate has links to the data centres of its own region; only those
        of a region's first reachable data centre have links to other regions.
        """
        delegates_by_region = {}
        targets = []
        for name in self.fleet.data_centres:
            delegates = rank_hosts(self.registry, name)[:2]
            if not delegates or name in self.unreachable:
                continue
            region = delegates[0].region
            delegates_by_region.setdefault(region, (name, delegates))
            if region == self.record.region and name != self.record.data_centre:
                targets += delegates
        if (
            delegates_by_region.get(self.record.region, ("",))[0]
            == self.record.data_centre
        ):
            for region, (_, delegates) in delegates_by_region.items():
                targets += delegates if region != self.record.region else []
        return targets

    def merge(self, records):
        accepted = self.registry.merge(records)
        if accepted:
            for listener in self.change_listeners:
                listener(accepted)

    def refute_death(self):
        """Raise the sequence if a peer has a newer record, such as a false death.

        The record with the higher sequence then replaces the peer's.
        """
        for peer in self.fleet.hosts.values():
            known = peer.registry.find(self.record.host)
            if known is not None and known.order_key() > self.record.order_key():
                self.record = msgspec.structs.replace(
                    self.record, sequence=known.sequence + 1
                )

    async def _send_heartbeats(self):
        await asyncio.sleep(self.fleet.random.random())
        while True:
            targets = list(self.push_targets())
            ring_targets = [
                r for r in targets if r.data_centre == self.record.data_centre
            ]
            delegate_targets = [r for r in targets if r not in ring_targets]
            for target in ring_targets[:MAX_RING_HEARTBEATS] + delegate_targets:
                self.endpoint.send(
                    target.control_address, self._make_heartbeat(Heartbeat)
                )
            await asyncio.sleep(1)

    def _make_heartbeat(self, message_type):
        digests = self.registry.digests()
        record = self.record
        return message_type(
            record.host, record.incarnation, self.activation.head(), digests
        )

    async def _answer_heartbeat(self, message, sender):
        self._notify_head(sender, message.head)
        peer = self.fleet.hosts[sender]
        arrived = await self.fleet.network.deliver(
            self.endpoint, peer.endpoint, self._make_heartbeat(HeartbeatReply)
        )
        if arrived is not None:
            peer._notify_head(self.record.host, arrived.head)

    def _notify_head(self, host, head):
        for listener in self.head_listeners:
            listener(self.registry.find(host), head)


class SimulatedFleet:
    """All daemons of a simulated cluster, their network and their store.

    Parameters
    ----------
    sizes
        Number of hosts by data centre. The part of a name before the first hyphen
        is the region.
    spread
        How many daemons watch the store.
    seed
        Seed of all random decisions.
    services
        Services that the hosts' backend servers belong to, in turn.

    Attributes
    ----------
    activations
        Time, host and version of every activation.
    faults
        Descriptions of the invariants that daemons broke.
    """

    def __init__(
        self, sizes, *, spread=WatcherSpread.ECONOMICAL, seed=1, services=SERVICES
    ):
        self.loop = asyncio.get_running_loop()
        self.random = Random(seed)
        self.clock = LoopClock(self.loop)
        self.network = Network(self.random)
        self.store = MemoryStore(self.random)
        self.spread = spread
        self.data_centres = tuple(sizes)
        self.activations = []
        self.faults = []
        self.next_refresh_at = 0.0
        self.hosts = {}
        for name, size in sizes.items():
            for index in range(size):
                record = self._make_record(name, index, services)
                self.hosts[record.host] = SimulatedHost(self, record)

    def _make_record(self, data_centre, index, services):
        host = f"{data_centre}-{index}"
        service = services[len(self.hosts) % len(services)]
        backends = (BackendRecord(f"{service}-{host}", service, 9),)
        return HostRecord(
            host,
            data_centre,
            data_centre.partition("-")[0],
            f"{host}:1",
            f"{host}:2",
            1,
            backends=backends,
        )

    async def start(self):
        """Start every daemon."""
        await asyncio.gather(*(host.start() for host in self.hosts.values()))

    async def close(self):
        """Stop every running daemon."""
        running = [host for host in self.hosts.values() if host.endpoint.up]
        await asyncio.gather(*(host.kill() for host in running))

    def on_activation(self, host):
        """Record that a host activated a version, and any invariant it breaks."""
        version = host.activation.head().version
        self.activations.append((self.loop.time(), host.record.host, version))
        if version <= host.newest_active_version:
            self.faults.append(
                f"{host.record.host} activated an active or older version: {version}"
            )
        if host.activation.configuration != self.store.history.get(version):
            self.faults.append(
                f"{host.record.host} activated other content as version {version}"
            )
        host.newest_active_version = version
        self.check_routes(host)

    def check_routes(self, host):
        """Add a fault for each route to what the host does not know.

        That is a backend server of no live host, or a service without a target.
        """
        known = {
            (record.host, backend.name, backend.service)
            for record in host.registry
            if record.takes_calls
            for backend in record.backends
        }
        snapshot = host.activation.snapshot
        for route in snapshot.routes.values():
            destinations = {
                (d.host, d.backend, route.service) for d in route.destinations
            }
            services = host.activation.configuration.services
            if destinations - known or route.service not in services:
                self.faults.append(f"{host.record.host} has an invalid route")

    def list_behind(self):
        """Return the running hosts that lack the newest accepted version."""
        newest = self.store.accepted.version
        return [
            host.record.host
            for host in self.hosts.values()
            if host.endpoint.up and host.activation.head().version != newest
        ]

    def list_unready(self):
        """Return the running hosts that are not ready."""
        return [
            host.record.host
            for host in self.hosts.values()
            if host.endpoint.up and not host.distribution.ready
        ]

    async def wait_until(self, condition, timeout):
        """Wait for a condition, at most ``timeout`` virtual seconds.

        Return whether it holds.
        """
        deadline = self.loop.time() + timeout
        while not condition() and self.loop.time() < deadline:
            await asyncio.sleep(0.05)
        return condition()

    def broadcast_record(self, record):
        """Deliver a changed record to every reachable host."""
        for host in self.hosts.values():
            if self.network.reaches(record, host.record):
                self.loop.call_later(0.05, host.merge, [record])

    def schedule_view_refresh(self):
        """Schedule the update of all membership views to the present state."""
        due = self.loop.time() + MEMBERSHIP_DELAY_S
        if due > self.next_refresh_at:
            self.next_refresh_at = due
            self.loop.call_at(due, self.refresh_views)

    def refresh_views(self):
        """Update the records of every running daemon to the present state."""
        running = [host for host in self.hosts.values() if host.running]
        for host in running:
            host.refute_death()
        for host in running:
            connected_peers = {
                p.record.host: p for p in running if self._are_connected(host, p)
            }
            connected_centres = {
                peer.record.data_centre for peer in connected_peers.values()
            }
            host.unreachable = frozenset(self.data_centres) - connected_centres
            # A running host of another data centre stays alive in this view, even if
            # it cannot be reached from here.
            dead_records = [
                msgspec.structs.replace(peer.record, status=HostStatus.DEAD)
                for peer in self.hosts.values()
                if peer.record.host not in connected_peers
                and peer.data_centre in connected_centres
                and (peer.data_centre == host.data_centre or not peer.running)
            ]
            host.merge(
                [peer.record for peer in connected_peers.values()] + dead_records
            )

    def _are_connected(self, host, peer):
        if not self.network.cuts:
            return True
        outbound = self.network.reaches(host.record, peer.record)
        return outbound and self.network.reaches(peer.record, host.record)
