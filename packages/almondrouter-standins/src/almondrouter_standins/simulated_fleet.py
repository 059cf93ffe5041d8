"""A simulated fleet: the memberships of many hosts in one process, on one clock."""

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
    """The membership of one host, with its registry, control endpoint and clock."""

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

    def list_live_hosts(self) -> dict[str, int]:
        """Return the incarnations of the hosts that this daemon considers live."""
        return {
            record.host: record.incarnation
            for record in self.registry
            if record.status < HostStatus.DEAD
        }


class SimulatedFleet:
    """Starts, stops, kills and freezes simulated daemons by host name.

    Parameters
    ----------
    clock
        Clock of the `SimulatedLoop` that the fleet runs on.
    hosts
        Data centre and region by host name.
    seed
        Seed of the random numbers of the network and the daemons.
    seeds
        Hosts that a starting daemon joins through; the first host of each data
        centre if not given.
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
        first_hosts = {place: host for host, place in reversed(hosts.items())}
        self.seeds = tuple(seeds) or tuple(first_hosts.values())

    async def start(self, hosts: Iterable[str]) -> None:
        """Start daemons that are not running, with new incarnations."""
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
        """End daemons without notice to their peers, as SIGKILL does."""
        for host in hosts:
            daemon = self.daemons.pop(host)
            daemon.endpoint.kill()
            daemon.clock.resume()
            self.network.resume(host)
            await daemon.membership.close()
            await daemon.endpoint.close()

    async def leave(self, host: str) -> None:
        """Stop a daemon gracefully: it tells its peers that it leaves."""
        daemon = self.daemons.pop(host)
        await daemon.membership.leave()
        await daemon.membership.close()
        await daemon.endpoint.close()

    def freeze(self, host: str) -> None:
        """Suspend a daemon, as SIGSTOP does."""
        self.network.freeze(host)
        self.daemons[host].clock.freeze()

    def resume(self, host: str) -> None:
        """Resume a frozen daemon, as SIGCONT does."""
        self.daemons[host].clock.resume()
        self.network.resume(host)

    async def stop(self) -> None:
        """Kill every daemon."""
        await self.kill(list(self.daemons))

    async def run_until_converged(self, *, seconds: float) -> float | None:
        """Wait until all daemons consider exactly the running daemons live.

        Parameters
        ----------
        seconds
            Time limit.

        Returns
        -------
        float or None
            Seconds that it took, or None if the time limit passed.
        """
        started = self.clock.monotonic()
        while not self.has_converged():
            if self.clock.monotonic() - started > seconds:
                return None
            await asyncio.sleep(0.25)
        return self.clock.monotonic() - started

    def has_converged(self) -> bool:
        """Return whether all daemons consider exactly the running daemons live.

        Hosts of data centres without a running daemon are ignored: daemons of
        other data centres may not declare them dead.
        """
        running_data_centres = {self.hosts[host][0] for host in self.daemons}
        live = {
            host: daemon.membership.record.incarnation
            for host, daemon in self.daemons.items()
        }
        return all(
            live
            == {
                host: incarnation
                for host, incarnation in daemon.list_live_hosts().items()
                if self.hosts[host][0] in running_data_centres
            }
            for daemon in self.daemons.values()
        )


def make_topology(
    *, data_centres: int, regions: int, hosts_each: int
) -> dict[str, tuple[str, str]]:
    """Return the data centre and region of each host by host name.

    Data centres are assigned to the regions in turn.
    """
    names = [(f"dc{i}", f"region{i % regions}") for i in range(data_centres)]
    return {
        f"host{number:03d}-{name}": (name, region)
        for name, region in names
        for number in range(hosts_each)
    }
