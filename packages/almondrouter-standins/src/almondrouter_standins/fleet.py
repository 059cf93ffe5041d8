"""A simulated fleet: many memberships in one process on one clock."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from random import Random

from almondrouter.clock import ManualClock
from almondrouter.coordination.membership import Membership
from almondrouter.protocol.control import Head
from almondrouter.state.registry import HostRecord, HostStatus, Registry
from almondrouter_standins.network import MemoryControlEndpoint, MemoryControlNetwork
from almondrouter_standins.simulation import HostClock


class SimulatedDaemon:
    """Membership of one host with its registry, endpoint and clock."""

    def __init__(
        self,
        network: MemoryControlNetwork,
        record: HostRecord,
        *,
        clock: ManualClock,
        seeds: Iterable[str],
        random: Random,
    ) -> None:
        self.clock = HostClock(clock)
        self.registry = Registry()
        self.endpoint: MemoryControlEndpoint = network.create_endpoint(
            record.control_address,
            host=record.host,
            incarnation=record.incarnation,
            clock=self.clock,
        )
        self.membership = Membership(
            record=record,
            endpoint=self.endpoint,
            registry=self.registry,
            clock=self.clock,
            seeds=tuple(seeds),
            head=lambda: Head(1, "0" * 32),
            random=random,
        )

    def list_live(self) -> dict[str, int]:
        """Return the incarnations of the hosts that this one takes for live."""
        return {
            record.host: record.incarnation
            for record in self.registry
            if record.status < HostStatus.DEAD
        }


class SimulatedFleet:
    """Starts, stops, freezes and cuts daemons by host name.

    Parameters
    ----------
    clock
        Clock of the `SimulatedLoop` that the fleet runs on.
    hosts
        Data centre and region by host name.
    seeds
        Hosts that newcomers join through; the first host of each data centre if
        not given.
    """

    def __init__(
        self,
        clock: ManualClock,
        hosts: dict[str, tuple[str, str]],
        *,
        seed: int = 0,
        seeds: Iterable[str] = (),
    ) -> None:
        self.clock = clock
        self.hosts = hosts
        self.network = MemoryControlNetwork(seed=seed)
        self.daemons: dict[str, SimulatedDaemon] = {}
        self._random = Random(seed)
        first = {place: host for host, place in reversed(hosts.items())}
        self.seeds = tuple(seeds) or tuple(first.values())

    async def start(self, hosts: Iterable[str]) -> None:
        """Start daemons that are not running, as new runs."""
        for host in hosts:
            data_centre, region = self.hosts[host]
            record = HostRecord(
                host=host,
                data_centre=data_centre,
                region=region,
                control_address=host,
                peer_address=f"{host}-peer",
                incarnation=int(self.clock.wall() * 1000),
            )
            daemon = SimulatedDaemon(
                self.network,
                record,
                clock=self.clock,
                seeds=self.seeds,
                random=Random(self._random.random()),
            )
            self.daemons[host] = daemon
            await daemon.endpoint.start()
            await daemon.membership.start()

    async def kill(self, hosts: Iterable[str]) -> None:
        """End daemons without a word."""
        for host in hosts:
            daemon = self.daemons.pop(host)
            daemon.endpoint.kill()
            daemon.clock.thaw()
            self.network.thaw(host)
            await daemon.membership.close()
            await daemon.endpoint.close()

    async def leave(self, host: str) -> None:
        """Stop a daemon as planned."""
        daemon = self.daemons.pop(host)
        await daemon.membership.leave()
        await daemon.membership.close()
        await daemon.endpoint.close()

    def freeze(self, host: str) -> None:
        """Stop a daemon's process without ending it."""
        self.network.freeze(host)
        self.daemons[host].clock.freeze()

    def thaw(self, host: str) -> None:
        """Let a frozen daemon go on."""
        self.daemons[host].clock.thaw()
        self.network.thaw(host)

    async def stop(self) -> None:
        """End every daemon."""
        await self.kill(list(self.daemons))

    async def run_until_agreed(self, *, seconds: float) -> float | None:
        """Run until all daemons hold exactly the running ones for live.

        Returns
        -------
        float or None
            Seconds that it took, or None if they did not agree in time.
        """
        started = self.clock.monotonic()
        while not self.agrees():
            if self.clock.monotonic() - started > seconds:
                return None
            await asyncio.sleep(0.25)
        return self.clock.monotonic() - started

    def agrees(self) -> bool:
        """Return whether all daemons hold exactly the running ones for live.

        Data centres without a running daemon are left out: nobody may declare
        their hosts dead.
        """
        running = {self.hosts[host][0] for host in self.daemons}
        live = {
            host: daemon.membership.record.incarnation
            for host, daemon in self.daemons.items()
        }
        return all(
            live
            == {
                host: incarnation
                for host, incarnation in daemon.list_live().items()
                if self.hosts[host][0] in running
            }
            for daemon in self.daemons.values()
        )


def lay_out(
    *, data_centres: int, regions: int, hosts_each: int
) -> dict[str, tuple[str, str]]:
    """Return data centre and region by host name, data centres taken in turn."""
    names = [(f"dc{i}", f"region{i % regions}") for i in range(data_centres)]
    return {
        f"host{number:03d}-{name}": (name, region)
        for name, region in names
        for number in range(hosts_each)
    }
