"""The components of a daemon that use control links and the store."""

from __future__ import annotations

import random

from almondrouter.clock import Clock
from almondrouter.coordination.activation import Activation
from almondrouter.coordination.broadcast import Broadcast
from almondrouter.coordination.claimbatches import ClaimBatcher
from almondrouter.coordination.claims import StoreClaims
from almondrouter.coordination.delegates import rank_hosts
from almondrouter.coordination.distribution import Distribution
from almondrouter.coordination.limits import BorrowingRateLimiter
from almondrouter.coordination.membership import Membership
from almondrouter.coordination.quarantine import Quarantine
from almondrouter.coordination.slices import SliceHolder
from almondrouter.coordination.watchers import WatcherSpread
from almondrouter.protocol.control import Claim
from almondrouter.protocol.keys import StoreKeys
from almondrouter.settings import SettingValues
from almondrouter.state.registry import HostRecord, Registry
from almondrouter.transport.lazystore import LazyStore
from almondrouter.transport.store import Store
from almondrouter.transport.zeromq import ZmqControlEndpoint

IDLE_RATE_LIMIT_SHARE = 0.5
"""Share of a rate limit that idle hosts reserve evenly among themselves.

The rest is left for hosts whose demand rises suddenly.
"""

STORE_TIMEOUT_S = 5.0
"""Timeout of a store call, long enough that a slow store does not count as down.
Callers that need an answer sooner set their own timeouts."""


class ControlPlane:
    """Membership, configuration, claims, rate limits and quarantine of a daemon.

    Parameters
    ----------
    settings
        Validated settings.
    clock
        Clock of the daemon.
    incarnation
        Start time in Unix milliseconds, which identifies this run of the daemon.
    """

    def __init__(
        self, settings: SettingValues, *, clock: Clock, incarnation: int
    ) -> None:
        self._settings = settings
        self.host: str = settings["host"]
        self.clock = clock
        self.incarnation = incarnation
        self._build_configuration()
        self._build_claims_and_limits()
        self.quarantine = Quarantine(host=self.host, clock=self.clock)
        self.broadcast = Broadcast(
            endpoint=self.endpoint,
            quarantine=self.quarantine,
            push_addresses=self._list_push_addresses,
            clock=self.clock,
            random=random.Random(),
        )

    async def start(self) -> None:
        """Start all components; the control endpoint must be bound already."""
        await self.membership.start()
        await self.distribution.start()
        self.slices.start()
        self.limits.start()

    async def close(self) -> None:
        """Close all components, each before the ones that it uses."""
        for component in (
            self.claims,
            self.batcher,
            self.limits,
            self.slices,
            self.distribution,
            self.membership,
            self.endpoint,
            self.store,
        ):
            await component.close()

    def prepare_limits(self) -> None:
        """Request shares of the rate limits of this host's services."""
        services = {r.service for r in self.membership.record.backends}
        snapshot = self.activation.snapshot
        demands = {
            name: IDLE_RATE_LIMIT_SHARE
            * snapshot.limits[name]
            / len(route.destinations)
            for route in snapshot.routes.values()
            if route.service in services and route.destinations
            for name in route.limit_names
        }
        self.limits.set_minimum_demands(demands)

    def _list_push_addresses(self) -> list[str]:
        return [record.control_address for record in self.membership.push_targets()]

    def find_delegate(self) -> str | None:
        """Return the control address of this data centre's first delegate.

        None if that is this daemon or no delegate is known.
        """
        ranked = self.membership.overlay.ranked_hosts(self._settings["data-centre"])
        if not ranked or ranked[0].host == self.host:
            return None
        return ranked[0].control_address

    def find_peer(self, claim: Claim) -> str | None:
        """Return the peer address of the host that holds a claim, or None."""
        # The incarnation need not match: a daemon that has restarted since the claim
        # replies that it does not know the call.
        record = self.registry.find(claim.host)
        return record.peer_address if record is not None else None

    def describe_version(self) -> list[str]:
        """Return lines on the version in force, alarms and unreachable data centres."""
        head = self.activation.head()
        lines = [f"version {head.version}, digest {head.digest}"]
        if not self.distribution.ready:
            lines.append(f"not ready: {self.distribution.not_ready_reason}")
        alarms = self.distribution.alarms
        lines += [f"alarm {name}: {text}" for name, text in alarms.items()]
        lines += [
            f"data centre {name} is unreachable"
            for name in sorted(self.membership.unreachable_data_centres())
        ]
        return lines

    def _make_record(self) -> HostRecord:
        settings = self._settings
        return HostRecord(
            host=self.host,
            data_centre=settings["data-centre"],
            region=settings["region"],
            control_address=settings["control-address"],
            peer_address=settings["peer-address"],
            incarnation=self.incarnation,
        )

    def _build_configuration(self) -> None:
        settings = self._settings
        self._record = self._make_record()
        self.registry = Registry()
        self.activation = Activation(registry=self.registry)
        self.keys = StoreKeys(settings["cluster"])
        self.store = LazyStore(self._open_store)
        self.endpoint = ZmqControlEndpoint(
            cluster=settings["cluster"],
            host=self.host,
            incarnation=self.incarnation,
            address=settings["control-address"],
            clock=self.clock,
        )
        self.membership = Membership(
            record=self._record,
            endpoint=self.endpoint,
            registry=self.registry,
            clock=self.clock,
            seeds=settings["seeds"],
            head=self.activation.head,
        )
        self.distribution = Distribution(
            record=self._record,
            registry=self.registry,
            activation=self.activation,
            membership=self.membership,
            endpoint=self.endpoint,
            store=self.store,
            keys=self.keys,
            clock=self.clock,
            spread=WatcherSpread(settings["spread"]),
            rank=rank_hosts,
            random=random.Random(),
        )

    def _build_claims_and_limits(self) -> None:
        self.batcher = ClaimBatcher(self.store, self.keys, clock=self.clock)
        self.claims = StoreClaims(
            host=self.host,
            incarnation=self.incarnation,
            endpoint=self.endpoint,
            batcher=self.batcher,
            delegate=self.find_delegate,
            clock=self.clock,
        )
        self.slices = SliceHolder(
            self.store,
            self.keys,
            host=self.host,
            find_rate=lambda name: self.activation.snapshot.limits.get(name),
            clock=self.clock,
        )
        self.limits = BorrowingRateLimiter(
            host=self.host,
            incarnation=self.incarnation,
            endpoint=self.endpoint,
            slices=self.slices,
            delegate=self.find_delegate,
            clock=self.clock,
        )

    def _open_store(self) -> Store:
        from almondrouter.transport.etcd import EtcdStore

        endpoints = tuple(f"http://{address}" for address in self._settings["store"])
        return EtcdStore(endpoints, clock=self.clock, timeout=STORE_TIMEOUT_S)
