"""Decides when a daemon that starts or was frozen may serve."""

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

# Spreads the questions of daemons that start at the same moment.
START_SPREAD_S = 0.5
RETRY_MIN_S = 0.5
RETRY_MAX_S = 1.5
STATUS_TIMEOUT_S = 0.5
STATUS_BATCH = 8
# Peers whose lists of members are joined: one list may lag.
MEMBER_LISTS = 2


class CatchUp:
    """Holds back service until the newest version that can be learnt is in force.

    Parameters
    ----------
    record
        This daemon.
    registry
        Addresses of the members.
    random
        Source of the delays.

    Notes
    -----
    ``ready`` tells whether the daemon may serve and ``reason`` why it may not.
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
        self._held_since = clock.monotonic()
        self._frozen = False
        self.ready = False
        self.reason = "has just started"

    async def run(self) -> None:
        """Ask peers until ready."""
        if not self._frozen:
            await asyncio.sleep(self._random.uniform(0, START_SPREAD_S))
        while not self.ready:
            began = self._clock.monotonic()
            confirm = self._compare_neighbours if self._frozen else self._ask_members
            if await confirm():
                self._release(began)
            else:
                delay = self._random.uniform(RETRY_MIN_S, RETRY_MAX_S)
                await asyncio.sleep(delay)

    def hold_after_freeze(self) -> None:
        """Stop service until heads have been compared; then `run` goes on."""
        self._held_since = self._clock.monotonic()
        if self.ready:
            self._frozen = True
            self.ready = False
            self.reason = "was frozen and has not compared versions yet"

    def confirm_by_store(self, began: float) -> None:
        """Note that the store's version is in force.

        Parameters
        ----------
        began
            Monotonic seconds when the linearizable read was sent.
        """
        self._release(began)

    def _release(self, began: float) -> None:
        # What was asked before a freeze says nothing of what came during it.
        if began < self._held_since:
            return
        self.ready = True
        self._frozen = False
        self.reason = ""

    async def _ask_members(self) -> bool:
        """Return whether the newest version of a majority is in force."""
        members = await self._list_members()
        if not members:
            self.reason = "knows no other member of its data centre"
            return False
        needed = len(members) // 2 + 1
        answers = await self._ask_heads(members, needed)
        if len(answers) < needed:
            self.reason = f"{len(answers)} of {len(members)} members have answered"
            return False
        newest = max((answer.head for answer in answers), key=lambda head: head.version)
        holders = [answer.host for answer in answers if answer.head == newest]
        # Members that all restarted together know nothing: their empty heads
        # must not confirm each other.
        agreed = newest.version > 0 and len(holders) >= needed
        if not agreed and not any(answer.ready for answer in answers):
            self.reason = "no member of its data centre is ready"
            return False
        return await self._reach(newest, holders)

    async def _compare_neighbours(self) -> bool:
        """Return whether a neighbour's version is in force here."""
        hosts = {record.host for record in self._fleet.push_targets()}
        hosts |= {r.host for r in self._fleet.live_hosts(self._record.data_centre)}
        answers = await self._ask_heads(hosts - {self._record.host}, 1)
        if not answers:
            self.reason = "was frozen and no neighbour has answered since"
            return False
        newest = max(answers, key=lambda answer: answer.head.version)
        return await self._reach(newest.head, [newest.host])

    async def _reach(self, head: Head, holders: list[str]) -> bool:
        for host in holders:
            record = self._registry.find(host)
            if record is not None:
                self._puller.offer(record, head)
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
            reply = await self._puller.ask(peer, with_members=True)
            if reply is not None:
                members.update(reply.members)
                lists += 1
            if lists == MEMBER_LISTS:
                break
        return members - {self._record.host}

    async def _ask_heads(self, hosts: Iterable[str], needed: int) -> list[StatusReply]:
        """Return the answers of at least ``needed`` hosts, or of all that answer."""
        waiting = sorted(hosts)
        self._random.shuffle(waiting)
        answers: list[StatusReply] = []
        while waiting and len(answers) < needed:
            batch, waiting = waiting[:STATUS_BATCH], waiting[STATUS_BATCH:]
            found = await asyncio.gather(*map(self._ask_head, batch))
            answers += [answer for answer in found if answer is not None]
        return answers

    async def _ask_head(self, host: str) -> StatusReply | None:
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
