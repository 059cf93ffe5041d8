"""Joins the fleet through seeds and reconnects hosts after a partition."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random

import logbook

from almondrouter.clock import Clock
from almondrouter.coordination.dissemination import Dissemination
from almondrouter.state.registry import HostRecord, HostStatus, Registry

INITIAL_JOIN_DELAY_SECONDS = 1.0
MAX_JOIN_DELAY_SECONDS = 10.0

_logger = logbook.Logger("almondrouter.membership")


class Joining:
    """Pulls records from seeds and from lost hosts that may be reachable again.

    Parameters
    ----------
    record
        Record of this host.
    seeds
        Control addresses of the seeds; the own address is ignored.
    """

    def __init__(
        self,
        *,
        record: HostRecord,
        registry: Registry,
        dissemination: Dissemination,
        clock: Clock,
        seeds: Sequence[str],
        random: Random,
    ) -> None:
        self._join_finished = False
        self._record = record
        self._registry = registry
        self._dissemination = dissemination
        self._clock = clock
        self._seeds: list[str] = []
        self._random = random
        self.add_seeds(seeds)

    @property
    def joined(self) -> bool:
        """Whether another daemon is known, or every seed has answered."""
        return len(self._registry) > 1 or self._join_finished

    @property
    def discovery_done(self) -> bool:
        """Whether the discovery of peers is complete.

        True once another live host of the data centre is known or every seed has
        answered.
        """
        return bool(self._list_local_members()) or self._join_finished

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Join through more addresses, such as those kept in the store."""
        known = {*self._seeds, self._record.control_address}
        self._seeds += [a for a in dict.fromkeys(addresses) if a not in known]

    async def run(self) -> None:
        """Join through the seeds, in random order and with random delays.

        Continues until another host of the data centre is known or every seed has
        answered, because a seed that has just started knows no other host.
        """
        max_delay = INITIAL_JOIN_DELAY_SECONDS
        answered: set[str] = set()
        while len(answered) < len(self._seeds) and not (
            answered and self._list_local_members()
        ):
            delay = self._random.random() * max_delay
            await self._clock.sleep_until(self._clock.monotonic() + delay)
            seed = self._random.choice([s for s in self._seeds if s not in answered])
            if await self._join_through_seed(seed):
                answered.add(seed)
            else:
                if max_delay == INITIAL_JOIN_DELAY_SECONDS:
                    _logger.warn("the first seed did not respond; trying others")
                max_delay = min(2 * max_delay, MAX_JOIN_DELAY_SECONDS)
        self._join_finished = True

    async def probe_lost_host(self) -> None:
        """Pull from a random seed or dead host that may be reachable again.

        Seeds are needed after a partition that lasted so long that the records of
        dead hosts were removed.
        """
        own = self._record
        live = {r.control_address for r in self._registry if r.status < HostStatus.DEAD}
        addresses = [seed for seed in self._seeds if seed not in live]
        addresses += [
            record.control_address
            for record in self._registry.list_data_centre(own.data_centre)
            if record.status is HostStatus.DEAD
        ]
        if addresses:
            address = self._random.choice(addresses)
            await self._dissemination.pull(address, own.data_centre)

    async def _join_through_seed(self, seed: str) -> bool:
        """Pull the own data centre from a seed and the rest from one of its hosts.

        Seeds are few; when many daemons start, the hosts they list share the load.
        """
        if not await self._dissemination.pull(seed, self._record.data_centre):
            return False
        members = self._list_local_members()
        member = self._random.choice(members).control_address if members else seed
        await self._dissemination.pull(member, "")
        return True

    def _list_local_members(self) -> list[HostRecord]:
        """Return the other live hosts of the own data centre."""
        return [
            record
            for record in self._registry.list_data_centre(self._record.data_centre)
            if record.status < HostStatus.DEAD and record.host != self._record.host
        ]
