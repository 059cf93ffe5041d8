"""Daemons' configuration distribution over the network and store in memory.

Membership is replaced by one that is told who is reachable: it changes its
view ``VIEW_DELAY_S`` after the cause, as the failure detector would.
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
from simulation.store import KEYS, MemoryStore, StoreHandle

VIEW_DELAY_S = 4.0
HEARTBEATS = 3
SERVICES = ("accounts", "manuscripts")


def rank_hosts(records, data_centre):
    """Rank live hosts by a hash, as rendezvous hashing does."""
    live = [
        record
        for record in records
        if record.data_centre == data_centre and record.status is HostStatus.ALIVE
    ]
    return sorted(live, key=lambda r: xxhash.xxh3_64_intdigest(r.host.encode()))


class SimulatedHost:
    """A daemon: restarts keep its name and lose its memory."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.distribution = None
        self.paused_at = None
        self.unreachable = frozenset()
        self.endpoint = MemoryEndpoint(fleet.network, record)
        self.store = StoreHandle(fleet.store)
        self.reset()

    def reset(self):
        """Lose all memory."""
        self.registry = Registry()
        self.activation = Activation(registry=self.registry)
        self.change_listeners = []
        self.head_listeners = []
        self.resume_listeners = []
        self.heartbeats = None
        self.version_applied = 0
        self.activation.add_listener(lambda _: self.fleet.on_activation(self))

    async def start(self):
        """Start the daemon with a higher incarnation."""
        self.reset()
        self.record = msgspec.structs.replace(
            self.record,
            incarnation=self.record.incarnation + 1,
            sequence=0,
            store_down=False,
        )
        self.endpoint.handlers = {Heartbeat: self._answer_heartbeat}
        self.registry.merge([h.record for h in self.fleet.hosts.values()])
        self.fleet.spread_record(self.record)
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
        self.fleet.change_view()

    async def kill(self):
        """End the daemon at once."""
        self.heartbeats.cancel()
        await self.endpoint.close()
        await self.distribution.close()
        self.fleet.change_view()

    def pause(self):
        """Freeze the process: nothing leaves it and nothing reaches it."""
        self.endpoint.running.clear()
        self.store.running.clear()
        self.fleet.change_view()

    def wake(self):
        """Let the frozen process go on; what was buffered arrives at once."""
        for listener in self.resume_listeners:
            listener()
        self.endpoint.running.set()
        self.store.running.set()
        self.fleet.change_view()

    @property
    def data_centre(self):
        return self.record.data_centre

    @property
    def running(self):
        return self.endpoint.up and self.endpoint.running.is_set()

    # What distribution uses of membership.

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
        self.fleet.spread_record(self.record)

    def push_targets(self):
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
        first = {}
        targets = []
        for name in self.fleet.data_centres:
            delegates = rank_hosts(self.registry, name)[:2]
            if not delegates or name in self.unreachable:
                continue
            region = delegates[0].region
            first.setdefault(region, (name, delegates))
            if region == self.record.region and name != self.record.data_centre:
                targets += delegates
        if first.get(self.record.region, ("",))[0] == self.record.data_centre:
            for region, (_, delegates) in first.items():
                targets += delegates if region != self.record.region else []
        return targets

    def merge(self, records):
        accepted = self.registry.merge(records)
        if accepted:
            for listener in self.change_listeners:
                listener(accepted)

    def refute(self):
        """Raise the sequence if somebody holds this running daemon dead."""
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
            near = [r for r in targets if r.data_centre == self.record.data_centre]
            far = [r for r in targets if r not in near]
            for target in near[:HEARTBEATS] + far:
                self.endpoint.send(target.control_address, self._heartbeat(Heartbeat))
            await asyncio.sleep(1)

    def _heartbeat(self, kind):
        digests = self.registry.digests()
        record = self.record
        return kind(record.host, record.incarnation, self.activation.head(), digests)

    async def _answer_heartbeat(self, message, sender):
        self._note(sender, message.head)
        peer = self.fleet.hosts[sender]
        arrived = await self.fleet.network.carry(
            self.endpoint, peer.endpoint, self._heartbeat(HeartbeatReply)
        )
        if arrived is not None:
            peer._note(self.record.host, arrived.head)

    def _note(self, host, head):
        for listener in self.head_listeners:
            listener(self.registry.find(host), head)


class SimulatedFleet:
    """All daemons, the network and the store."""

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
        self.view_due = 0.0
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
        """Stop every daemon that runs."""
        running = [host for host in self.hosts.values() if host.endpoint.up]
        await asyncio.gather(*(host.kill() for host in running))

    def on_activation(self, host):
        """Record when a host put which version in force, and what is wrong with it."""
        version = host.activation.head().version
        self.activations.append((self.loop.time(), host.record.host, version))
        if version <= host.version_applied:
            self.faults.append(f"{host.record.host} moved back to {version}")
        if host.activation.configuration != self.store.history.get(version):
            self.faults.append(f"{host.record.host} has a bad version {version}")
        host.version_applied = version
        self.check_routes(host)

    def check_routes(self, host):
        """Record routes that lead to what the host does not know."""
        known = {
            (record.host, backend.name, backend.service)
            for record in host.registry
            if record.takes_calls
            for backend in record.backends
        }
        snapshot = host.activation.snapshot
        for route in snapshot.routes.values():
            ends = {(d.host, d.backend, route.service) for d in route.destinations}
            services = host.activation.configuration.services
            if ends - known or route.service not in services:
                self.faults.append(f"{host.record.host} has a bad route")

    def list_behind(self):
        """Return the running hosts that lack the newest accepted version."""
        newest = self.store.accepted.version
        return [
            host.record.host
            for host in self.hosts.values()
            if host.endpoint.up and host.activation.head().version != newest
        ]

    def list_unready(self):
        """Return the running hosts that do not serve."""
        return [
            host.record.host
            for host in self.hosts.values()
            if host.endpoint.up and not host.distribution.ready
        ]

    async def wait_until(self, condition, within):
        """Return whether a condition holds within so many virtual seconds."""
        deadline = self.loop.time() + within
        while not condition() and self.loop.time() < deadline:
            await asyncio.sleep(0.05)
        return condition()

    def spread_record(self, record):
        """Carry a changed record to all that are reachable."""
        for host in self.hosts.values():
            if self.network.reaches(record, host.record):
                self.loop.call_later(0.05, host.merge, [record])

    def change_view(self):
        """Let membership notice who is reachable now."""
        due = self.loop.time() + VIEW_DELAY_S
        if due > self.view_due:
            self.view_due = due
            self.loop.call_at(due, self.refresh_views)

    def refresh_views(self):
        """Give every running daemon the records that it would have by now."""
        running = [host for host in self.hosts.values() if host.running]
        for host in running:
            host.refute()
        for host in running:
            heard = {p.record.host: p for p in running if self._hears(host, p)}
            centres = {peer.record.data_centre for peer in heard.values()}
            host.unreachable = frozenset(self.data_centres) - centres
            gone = [
                msgspec.structs.replace(peer.record, status=HostStatus.DEAD)
                for peer in self.hosts.values()
                if peer.record.host not in heard
                and peer.data_centre in centres
                and (peer.data_centre == host.data_centre or not peer.running)
            ]
            host.merge([peer.record for peer in heard.values()] + gone)

    def _hears(self, host, peer):
        if not self.network.cuts:
            return True
        there = self.network.reaches(host.record, peer.record)
        return there and self.network.reaches(peer.record, host.record)
