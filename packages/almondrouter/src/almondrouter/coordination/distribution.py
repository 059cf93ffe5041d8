"""Spreads configuration versions and puts them in force on this daemon."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from random import Random

from logbook import Logger

from almondrouter.clock import Clock
from almondrouter.coordination.activation import Activation
from almondrouter.coordination.alarms import Alarm, Alarms
from almondrouter.coordination.catchup import START_SPREAD_S, CatchUp
from almondrouter.coordination.fleet import Fleet, HostRanking
from almondrouter.coordination.pulls import ConfigurationPuller
from almondrouter.coordination.seeds import SeedKeeper
from almondrouter.coordination.storewatch import StoreWatch
from almondrouter.coordination.watchers import (
    FAST_WATCHERS,
    MAX_WATCHER_CANDIDATES,
    WatcherChoice,
    WatcherSpread,
)
from almondrouter.protocol.control import (
    Announcement,
    ConfigurationReply,
    ConfigurationRequest,
    Head,
    StatusReply,
    StatusRequest,
)
from almondrouter.protocol.keys import StoreKeys
from almondrouter.state.registry import HostRecord, Registry
from almondrouter.transport.control import ControlEndpoint
from almondrouter.transport.store import Store

# The second delegate, and one whose region watches the store itself, leaves
# the copy across regions to the other for this long.
CROSS_REGION_DELAY_S = 0.5
RECONCILE_INTERVAL_S = 1.0
# Seeds may be down, and a data centre of one host has nobody to wait for.
MEMBERS_PATIENCE_S = 3.0
# Joins membership changes that arrive together into one choice of watchers.
RECONCILE_PAUSE_S = 0.1
RESTART_DELAY_S = 1.0

_LOG = Logger(__name__)
_Work = Callable[[], Awaitable[None]]


class Distribution:
    """Announces, pulls and repairs versions, and watches the store if chosen.

    Parameters
    ----------
    record
        This daemon.
    registry
        Known hosts.
    activation
        Puts versions in force.
    membership
        Neighbours, their heads and their liveness.
    rank
        Sorts the live hosts of a data centre, delegates first.
    spread
        ``economical`` saves control bytes, ``fast`` saves time.
    random
        Source of the delays.
    """

    def __init__(
        self,
        *,
        record: HostRecord,
        registry: Registry,
        activation: Activation,
        membership: Fleet,
        endpoint: ControlEndpoint,
        store: Store,
        keys: StoreKeys,
        clock: Clock,
        spread: WatcherSpread,
        rank: HostRanking,
        random: Random,
    ) -> None:
        self._record = record
        self._registry = registry
        self._activation = activation
        self._membership = membership
        self._endpoint = endpoint
        self._spread = spread
        self._random = random
        self._heads: dict[str, Head] = {}
        self._alarms = Alarms()
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._watching: asyncio.Task[None] | None = None
        self._catching_up: asyncio.Task[None] | None = None
        self._choice = WatcherChoice(
            registry=registry, region=record.region, rank=rank, spread=spread
        )
        self._puller = ConfigurationPuller(
            record=record, activation=activation, endpoint=endpoint, clock=clock
        )
        self._catch_up = CatchUp(
            record=record,
            registry=registry,
            activation=activation,
            fleet=membership,
            endpoint=endpoint,
            puller=self._puller,
            clock=clock,
            random=random,
        )
        self._store_watch = StoreWatch(
            store=store,
            keys=keys,
            activation=activation,
            alarms=self._alarms,
            clock=clock,
            random=random,
            on_confirmed=self._catch_up.confirm_by_store,
            on_down_changed=self._report_store,
        )
        self._seeds = SeedKeeper(
            record=record,
            registry=registry,
            choice=self._choice,
            store=store,
            keys=keys,
            on_read=membership.add_seeds,
        )

    @property
    def ready(self) -> bool:
        """Whether the newest version that could be learnt is in force."""
        return self._catch_up.ready

    @property
    def not_ready_reason(self) -> str:
        """Why the daemon may not serve; empty if it may."""
        if self._catch_up.ready:
            return ""
        watched = self._watching is not None and self._store_watch.down
        return self._catch_up.reason + ("; the store is down" if watched else "")

    @property
    def alarms(self) -> dict[Alarm, str]:
        """The conditions that hold now, each with a sentence for people."""
        return self._alarms.active

    @property
    def watches_store(self) -> bool:
        """Whether this daemon reads the store now."""
        return self._watching is not None

    @property
    def isolation(self) -> tuple[str, ...]:
        """What this daemon is cut off from: data centres, regions, the store."""
        unreachable = set(self._membership.unreachable_data_centres())
        flags = [f"data centre {name}" for name in sorted(unreachable)]
        regions: dict[str, set[str]] = {}
        for record in self._registry:
            regions.setdefault(record.region, set()).add(record.data_centre)
        flags += [f"region {r}" for r in sorted(regions) if regions[r] <= unreachable]
        if not self._choice.reaches_store(unreachable):
            flags.append("store")
        return tuple(flags)

    async def start(self) -> None:
        """Begin to serve peers, to pull and to catch up; returns at once."""
        self._endpoint.set_handler(Announcement, self._take_announcement)
        self._endpoint.set_handler(ConfigurationRequest, self._answer_pull)
        self._endpoint.set_handler(StatusRequest, self._answer_status)
        self._activation.add_listener(lambda _: self._announce())
        self._membership.add_change_listener(lambda *_: self._changed.set())
        self._membership.add_head_listener(self._note_head)
        self._membership.add_resume_listener(self._resume)
        self._spawn(self._puller.run)
        self._spawn(self._manage_watch)
        self._spawn(self._keep_seeds)
        self._catching_up = self._spawn(self._catch_up.run)

    async def close(self) -> None:
        """End all tasks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _spawn(self, work: _Work) -> asyncio.Task[None]:
        task = asyncio.create_task(_run_again(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _announce(self) -> None:
        head = self._activation.head()
        announcement = Announcement(self._record.host, head)
        for target in self._membership.push_targets():
            known = self._heads.get(target.host)
            if known is None or known.version < head.version:
                self._endpoint.send(target.control_address, announcement)

    async def _take_announcement(self, message: Announcement, sender: str) -> None:
        record = self._registry.find(sender)
        if record is not None:
            self._note_head(record, message.head)

    async def _answer_pull(
        self, message: ConfigurationRequest, sender: str
    ) -> ConfigurationReply:
        record = self._registry.find(sender)
        if record is not None:
            self._note_head(record, message.head)
        members = self._membership.live_hosts(self._record.data_centre)
        return self._puller.answer(message, tuple(member.host for member in members))

    async def _answer_status(
        self, _message: StatusRequest, _sender: str
    ) -> StatusReply:
        return StatusReply(
            self._record.host,
            self._record.incarnation,
            self._activation.head(),
            self._catch_up.ready,
        )

    def _note_head(self, record: HostRecord, head: Head) -> None:
        self._heads[record.host] = head
        if head.version > self._activation.head().version:
            self._puller.offer(record, head, delay=self._find_delay(record))
        self._judge_divergence()

    def _find_delay(self, source: HostRecord) -> float:
        """Return the seconds to wait before pulling from ``source``."""
        if source.region == self._record.region:
            return 0.0
        delay = 0.0
        if self._choice.find_rank(self._record) > 0:
            delay += CROSS_REGION_DELAY_S
        if self._spread is WatcherSpread.ECONOMICAL and self._region_has_store():
            delay += CROSS_REGION_DELAY_S
        return delay

    def _region_has_store(self) -> bool:
        chosen = self._choice.choose(self._list_unreachable())
        records = [self._registry.find(host) for host in chosen]
        return any(r is not None and not r.store_down for r in records)

    def _judge_divergence(self) -> None:
        own = self._activation.head()
        sources = [
            host
            for host, head in self._heads.items()
            if head.version == own.version and head.digest != own.digest
        ]
        stored = self._store_watch.divergence
        if stored is not None and stored.version == own.version:
            sources.append("the store")
        if sources:
            detail = f"version {own.version} has another digest on {sorted(sources)}"
            self._alarms.set(Alarm.VERSION_DIVERGED, detail)
        else:
            self._alarms.clear(Alarm.VERSION_DIVERGED)

    async def _manage_watch(self) -> None:
        await self._wait_for_members()
        while True:
            self._forget_heads()
            self._judge_divergence()
            await self._switch_watch(self._is_to_watch())
            await asyncio.sleep(RECONCILE_PAUSE_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RECONCILE_INTERVAL_S):
                    await self._changed.wait()
            self._changed.clear()

    async def _keep_seeds(self) -> None:
        await self._wait_for_members()
        await self._seeds.run()

    async def _wait_for_members(self) -> None:
        """Wait until the data centre is known, for a few seconds at most.

        A newcomer that knows nobody yet would take itself for a delegate, and a
        herd of them would all open the store.
        """
        await asyncio.sleep(self._random.uniform(START_SPREAD_S, 2 * START_SPREAD_S))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MEMBERS_PATIENCE_S):
                while not self._membership.discovery_done:
                    await asyncio.sleep(RECONCILE_PAUSE_S)

    def _is_to_watch(self) -> bool:
        if self._record.host in self._choice.choose(self._list_unreachable()):
            return True
        rank = self._choice.find_rank(self._record)
        # One that has reported the store down finds out when it is back; one
        # that is not ready may need the store because no peer can confirm it.
        if self._store_watch.down:
            return rank < MAX_WATCHER_CANDIDATES
        return not self.ready and rank < FAST_WATCHERS

    async def _switch_watch(self, wanted: bool) -> None:
        if wanted and self._watching is None:
            self._watching = self._spawn(self._store_watch.run)
        elif not wanted and self._watching is not None:
            self._watching.cancel()
            await asyncio.gather(self._watching, return_exceptions=True)
            self._watching = None
            self._store_watch.reset()

    def _report_store(self, down: bool) -> None:
        self._membership.update_store_down(down)
        self._changed.set()

    def _resume(self) -> None:
        self._catch_up.hold_after_freeze()
        if self._catching_up is None or self._catching_up.done():
            self._catching_up = self._spawn(self._catch_up.run)

    def _forget_heads(self) -> None:
        """Drop the heads of hosts that are gone."""
        self._heads = {
            host: head
            for host, head in self._heads.items()
            if (record := self._registry.find(host)) is not None and record.takes_calls
        }

    def _list_unreachable(self) -> set[str]:
        return set(self._membership.unreachable_data_centres())


async def _run_again(work: _Work) -> None:
    """Run a task to its end; start it again after an error that it did not expect.

    A task that ended silently would leave this daemon behind for good.
    """
    while True:
        try:
            return await work()
        except Exception:
            _LOG.exception("a task of configuration distribution failed")
            await asyncio.sleep(RESTART_DELAY_S)
