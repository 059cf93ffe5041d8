"""Decides when a daemon may serve after it started or after its process was frozen."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from random import Random

from almondrouter.clock import Clock
from almondrouter.coordination.activation import Activation
from almondrouter.coordination.fleet import Fleet
from almondrouter.coordination.pulls import PULL_TIMEOUT_S, ConfigurationPuller
from almondrouter.errors import AlmondError
from almondrouter.protocol.control import Head, StatusReply, StatusRequest
from almondrouter.state.registry import HostRecord, Registry
from almondrouter.transport.control import ControlEndpoint

# Spreads the requests of daemons that start at the same moment.
START_JITTER_S = 0.5
MIN_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 1.5
STATUS_TIMEOUT_S = 0.5
# Number of members whose versions are requested at the same time.
STATUS_BATCH_SIZE = 8
# Number of peers whose member lists are merged; a single list may be outdated.
MAX_MEMBER_LISTS = 2


class CatchUp:
    """Keeps a daemon not ready until the newest known version is in force.

    After a start, a majority of the data centre's members has to confirm the
    version; after a freeze, one neighbour is enough. A read of the store confirms
    it in both cases.

    Parameters
    ----------
    record
        Host record of this daemon.
    registry
        Addresses of the members.
    activation
        Holds the version in force.
    fleet
        Lists live hosts and neighbours.
    endpoint
        Control links to peers.
    puller
        Fetches newer versions from peers.
    clock
        Source of monotonic time.
    random
        Randomizes delays and the order of requests.

    Notes
    -----
    ``ready`` tells whether the daemon may serve; if not, ``reason`` tells why.
    """

    def __init__(
        self,
        *,
        record: HostRecord,
        registry: Registry,
        activation: Activation,
        fleet: Fleet,
        endpoint: ControlEndpoint,
        puller: ConfigurationPuller,
        clock: Clock,
        random: Random,
    ) -> None:
        self._record = record
        self._registry = registry
        self._activation = activation
        self._fleet = fleet
        self._endpoint = endpoint
        self._puller = puller
        self._clock = clock
        self._random = random
        self._not_ready_since = clock.monotonic()
        self._frozen = False
        self.ready = False
        self.reason = "has just started and has not confirmed its version yet"

    async def run(self) -> None:
        """Query peers repeatedly until ready."""
        if not self._frozen:
            await asyncio.sleep(self._random.uniform(0, START_JITTER_S))
        while not self.ready:
            began = self._clock.monotonic()
            confirm = (
                self._confirm_with_neighbour
                if self._frozen
                else self._confirm_with_majority
            )
            if await confirm():
                self._mark_ready(began)
            else:
                delay = self._random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
                await asyncio.sleep(delay)

    def mark_not_ready_after_freeze(self) -> None:
        """Mark the daemon as not ready until its version is confirmed again.

        Call `run` afterwards to confirm it.
        """
        self._not_ready_since = self._clock.monotonic()
        if self.ready:
            self._frozen = True
            self.ready = False
            self.reason = "was frozen and has not confirmed its version since"

    def confirm_by_store(self, began: float) -> None:
        """Mark the daemon as ready because the store's version is in force.

        Parameters
        ----------
        began
            Monotonic time in seconds at which the linearizable read was sent.
        """
        self._mark_ready(began)

    def _mark_ready(self, began: float) -> None:
        # A request sent before a freeze may have missed versions that were
        # accepted during it.
        if began < self._not_ready_since:
            return
        self.ready = True
        self._frozen = False
        self.reason = ""

    async def _confirm_with_majority(self) -> bool:
        """Query a majority of the members and pull the newest version they have.

        Returns
        -------
        bool
            Whether that version is confirmed and in force.
        """
        members = await self._list_members()
        if not members:
            self.reason = "knows no other member of its data centre"
            return False
        needed = len(members) // 2 + 1
        answers = await self._query_heads(members, needed)
        if len(answers) < needed:
            self.reason = (
                f"{len(answers)} of {len(members)} members of its data centre have "
                "responded, fewer than a majority"
            )
            return False
        newest = max((answer.head for answer in answers), key=lambda head: head.version)
        holders = [answer.host for answer in answers if answer.head == newest]
        # Members that all restarted together have no version; their empty heads
        # must not confirm each other.
        agreed = newest.version > 0 and len(holders) >= needed
        if not agreed and not any(answer.ready for answer in answers):
            self.reason = "no member of its data centre is ready"
            return False
        return await self._pull_until_in_force(newest, holders)

    async def _confirm_with_neighbour(self) -> bool:
        """Pull the newest version of the neighbours that answer.

        Returns
        -------
        bool
            Whether a neighbour answered and its version is in force here.
        """
        hosts = {record.host for record in self._fleet.push_targets()}
        hosts |= {r.host for r in self._fleet.live_hosts(self._record.data_centre)}
        answers = await self._query_heads(hosts - {self._record.host}, 1)
        if not answers:
            self.reason = "was frozen and no neighbour has responded since"
            return False
        newest = max(answers, key=lambda answer: answer.head.version)
        return await self._pull_until_in_force(newest.head, [newest.host])

    async def _pull_until_in_force(self, head: Head, holders: list[str]) -> bool:
        for host in holders:
            record = self._registry.find(host)
            if record is not None:
                self._puller.add_source(record, head)
        deadline = self._clock.monotonic() + 2 * PULL_TIMEOUT_S
        if await self._puller.wait_for(head, deadline=deadline):
            return True
        self.reason = f"has not received version {head.version} yet"
        return False

    async def _list_members(self) -> set[str]:
        peers = self._fleet.live_hosts(self._record.data_centre)
        peers = [peer for peer in peers if peer.host != self._record.host]
        members = {peer.host for peer in peers}
        self._random.shuffle(peers)
        lists = 0
        for peer in peers:
            reply = await self._puller.fetch(peer, with_members=True)
            if reply is not None:
                members.update(reply.members)
                lists += 1
            if lists == MAX_MEMBER_LISTS:
                break
        return members - {self._record.host}

    async def _query_heads(
        self, hosts: Iterable[str], needed: int
    ) -> list[StatusReply]:
        """Query hosts in batches until ``needed`` have answered or all were asked."""
        waiting = sorted(hosts)
        self._random.shuffle(waiting)
        answers: list[StatusReply] = []
        while waiting and len(answers) < needed:
            batch, waiting = waiting[:STATUS_BATCH_SIZE], waiting[STATUS_BATCH_SIZE:]
            found = await asyncio.gather(*map(self._query_head, batch))
            answers += [answer for answer in found if answer is not None]
        return answers

    async def _query_head(self, host: str) -> StatusReply | None:
        record = self._registry.find(host)
        if record is None:
            return None
        deadline = self._clock.monotonic() + STATUS_TIMEOUT_S
        address = record.control_address
        try:
            reply = await self._endpoint.request(
                address, StatusRequest(), deadline=deadline
            )
        except AlmondError:
            return None
        return reply if isinstance(reply, StatusReply) else None
