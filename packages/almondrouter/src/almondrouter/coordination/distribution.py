"""Distributes configuration versions and puts them in force on this daemon."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from random import Random

from almondrouter.clock import Clock
from almondrouter.coordination.activation import Activation
from almondrouter.coordination.alarms import Alarm, Alarms
from almondrouter.coordination.catchup import START_JITTER_S, CatchUp
from almondrouter.coordination.fleet import Fleet, HostRanking
from almondrouter.coordination.pulls import ConfigurationPuller
from almondrouter.coordination.restarts import run_with_restart
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

# Delays a pull from another region while a nearer daemon is expected to get the
# version first, so that only one copy crosses between regions. Added once if another
# host is the first delegate of this data centre, and once more in economical mode if
# a daemon of this region watches the store.
CROSS_REGION_DELAY_S = 0.5
# Longest time between two selections of watchers.
RECONCILE_INTERVAL_S = 1.0
# Bounds the wait for membership: seeds may be down, and in a data centre with a
# single host no other member ever appears.
MEMBERSHIP_TIMEOUT_S = 3.0
# Membership changes within this interval cause one selection of watchers.
RECONCILE_DEBOUNCE_S = 0.1

_TaskBody = Callable[[], Awaitable[None]]


class Distribution:
    """Keeps this daemon and its peers at the newest configuration version.

    Announces new versions to peers, pulls newer ones from them, and watches the
    store if this daemon is selected as a watcher.

    Parameters
    ----------
    record
        Host record of this daemon.
    registry
        Known hosts.
    activation
        Puts versions in force.
    membership
        Reports neighbours, their heads and their liveness.
    endpoint
        Control links to peers.
    store, keys
        Store, and keys under which the configuration is stored.
    clock
        Source of monotonic time.
    rank
        Sorts the live hosts of a data centre, delegates first.
    spread
        ``economical`` minimizes control traffic, ``fast`` minimizes delay.
    random
        Randomizes delays.
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
        self._reconcile_requested = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch_task: asyncio.Task[None] | None = None
        self._catch_up_task: asyncio.Task[None] | None = None
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
            on_down_changed=self._report_store_state,
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
        """Whether the newest version that could be determined is in force."""
        return self._catch_up.ready

    @property
    def not_ready_reason(self) -> str:
        """Why the daemon is not ready to serve; empty if it is ready."""
        if self._catch_up.ready:
            return ""
        watched = self._watch_task is not None and self._store_watch.down
        return self._catch_up.reason + ("; the store is unreachable" if watched else "")

    @property
    def alarms(self) -> dict[Alarm, str]:
        """Active alarms, each with a description for operators."""
        return self._alarms.active

    @property
    def watches_store(self) -> bool:
        """Whether this daemon is watching the store now."""
        return self._watch_task is not None

    @property
    def isolation(self) -> tuple[str, ...]:
        """What this daemon cannot reach: data centres, regions or the store."""
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
        """Register the request handlers and start the background tasks."""
        self._endpoint.set_handler(Announcement, self._handle_announcement)
        self._endpoint.set_handler(
            ConfigurationRequest, self._handle_configuration_request
        )
        self._endpoint.set_handler(StatusRequest, self._handle_status_request)
        self._activation.add_listener(lambda _: self._announce_head())
        self._membership.add_change_listener(lambda *_: self._reconcile_requested.set())
        self._membership.add_head_listener(self._record_head)
        self._membership.add_resume_listener(self._handle_resume)
        self._start_task(self._puller.run)
        self._start_task(self._manage_store_watch)
        self._start_task(self._maintain_seeds)
        self._catch_up_task = self._start_task(self._catch_up.run)

    async def close(self) -> None:
        """Cancel all background tasks and wait for them to end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start_task(self, work: _TaskBody) -> asyncio.Task[None]:
        task = asyncio.create_task(run_with_restart(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _announce_head(self) -> None:
        head = self._activation.head()
        announcement = Announcement(self._record.host, head)
        for target in self._membership.push_targets():
            known = self._heads.get(target.host)
            if known is None or known.version < head.version:
                self._endpoint.send(target.control_address, announcement)

    async def _handle_announcement(self, message: Announcement, sender: str) -> None:
        record = self._registry.find(sender)
        if record is not None:
            self._record_head(record, message.head)

    async def _handle_configuration_request(
        self, message: ConfigurationRequest, sender: str
    ) -> ConfigurationReply:
        record = self._registry.find(sender)
        if record is not None:
            self._record_head(record, message.head)
        members = self._membership.live_hosts(self._record.data_centre)
        return self._puller.make_reply(
            message, tuple(member.host for member in members)
        )

    async def _handle_status_request(
        self, _message: StatusRequest, _sender: str
    ) -> StatusReply:
        return StatusReply(
            self._record.host,
            self._record.incarnation,
            self._activation.head(),
            self._catch_up.ready,
        )

    def _record_head(self, record: HostRecord, head: Head) -> None:
        self._heads[record.host] = head
        if head.version > self._activation.head().version:
            self._puller.add_source(record, head, delay=self._find_pull_delay(record))
        self._update_divergence_alarm()

    def _find_pull_delay(self, source: HostRecord) -> float:
        """Return the delay in seconds before a pull from ``source``."""
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

    def _update_divergence_alarm(self) -> None:
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

    async def _manage_store_watch(self) -> None:
        await self._wait_for_members()
        while True:
            self._remove_stale_heads()
            self._update_divergence_alarm()
            await self._start_or_stop_watch(self._should_watch_store())
            await asyncio.sleep(RECONCILE_DEBOUNCE_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RECONCILE_INTERVAL_S):
                    await self._reconcile_requested.wait()
            self._reconcile_requested.clear()

    async def _maintain_seeds(self) -> None:
        await self._wait_for_members()
        await self._seeds.run()

    async def _wait_for_members(self) -> None:
        """Wait, with a time limit, until the data centre's members are known.

        Without this wait, a daemon that knows no other member yet would consider
        itself a delegate. If many daemons started together, all of them would
        open connections to the store.
        """
        await asyncio.sleep(self._random.uniform(START_JITTER_S, 2 * START_JITTER_S))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MEMBERSHIP_TIMEOUT_S):
                while not self._membership.discovery_done:
                    await asyncio.sleep(RECONCILE_DEBOUNCE_S)

    def _should_watch_store(self) -> bool:
        if self._record.host in self._choice.choose(self._list_unreachable()):
            return True
        rank = self._choice.find_rank(self._record)
        # A daemon that reported the store as down keeps watching, to detect when
        # the store is back. One that is not ready may have no peer that can
        # confirm its version, and then needs the store.
        if self._store_watch.down:
            return rank < MAX_WATCHER_CANDIDATES
        return not self.ready and rank < FAST_WATCHERS

    async def _start_or_stop_watch(self, wanted: bool) -> None:
        if wanted and self._watch_task is None:
            self._watch_task = self._start_task(self._store_watch.run)
        elif not wanted and self._watch_task is not None:
            self._watch_task.cancel()
            await asyncio.gather(self._watch_task, return_exceptions=True)
            self._watch_task = None
            self._store_watch.reset()

    def _report_store_state(self, down: bool) -> None:
        self._membership.update_store_down(down)
        self._reconcile_requested.set()

    def _handle_resume(self) -> None:
        self._catch_up.mark_not_ready_after_freeze()
        if self._catch_up_task is None or self._catch_up_task.done():
            self._catch_up_task = self._start_task(self._catch_up.run)

    def _remove_stale_heads(self) -> None:
        """Remove the heads of hosts that have left or no longer take calls."""
        self._heads = {
            host: head
            for host, head in self._heads.items()
            if (record := self._registry.find(host)) is not None and record.takes_calls
        }

    def _list_unreachable(self) -> set[str]:
        return set(self._membership.unreachable_data_centres())
