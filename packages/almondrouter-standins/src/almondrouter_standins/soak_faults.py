"""Random faults of the soak test: signals, network, store and backend servers."""

from __future__ import annotations

import asyncio
import random as random_module
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from almondrouter_standins.faultproxy import Direction, FaultProxy
from almondrouter_standins.platform_backend import RUN_TIME_RANGE_S
from almondrouter_standins.platform_fleet import (
    CONFIGURATION_KEY,
    STOP_GRACE_PERIOD_S,
    PlatformFleet,
)
from almondrouter_standins.platform_store import StoreFault
from almondrouter_standins.soak_hosts import HostState

EXIT_MARGIN_S = 6.0
"""Seconds beyond the grace period until an exit must be seen, for a busy machine."""

MAX_FAULT_DELAY_S = 0.5
"""Longest pause before a fault, in seconds."""
MAX_STOPPED_HOSTS = 3
"""Most hosts that one fault stops in series."""
MAX_STOP_GAP_S = 1.5
"""Longest time between the stop signals of overlapping stops, in seconds."""
MAX_LATER_SIGNALS = 3
MAX_SIGNAL_DELAY_S = 2.0
"""Longest time between two signals to a stopping daemon, in seconds."""
MAX_SHORT_PAUSE_S = 1.0
"""Longest time for which a stopping daemon's process is paused, in seconds."""
MAX_RELOADS = 3
MAX_REPLACEMENTS = 3
MAX_REPLACEMENT_PAUSE_S = 0.5
MAX_SLOW_BACKENDS = 4
SLOW_RUN_S = (0.3, 3.0)
"""Range of the longest run time of slow backend servers, in seconds."""
SETTINGS_CHANGES = ("", "retry_budget_ratio = 0.3\n", "budget_extra = 10.0\n", "= x\n")
"""Lines added to the settings of a host; the last one makes them invalid."""

MAX_PAUSE_S = 2.5
"""Longest time for which a daemon's process is stopped, in seconds."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault to be injected.

    Parameters
    ----------
    number
        Number of its host.
    delay
        Seconds until it is injected.
    inject
        Injects it at a host and ends it.
    """

    number: int
    delay: float
    inject: Callable[[int], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class LaterSignal:
    """A signal to a daemon that is already stopping.

    Parameters
    ----------
    delay
        Seconds after the signal before it.
    pause
        Seconds from SIGSTOP to SIGCONT; unused for other signals.
    """

    number: signal.Signals
    delay: float
    pause: float


class FaultInjector:
    """Injects one random fault after the other.

    Parameters
    ----------
    fleet
        Daemons, proxies, store and backend servers.
    states
        States of the hosts, shared by all injectors.
    random
        Source of the faults, their hosts and their times; used by this injector only,
        so that the seed alone decides its sequence of faults.
    violations
        Receives descriptions of violated guarantees.

    Attributes
    ----------
    events
        Descriptions of the injected faults, each with its Unix time.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        states: Sequence[HostState],
        *,
        random: random_module.Random,
        violations: list[str],
    ) -> None:
        self._fleet = fleet
        self._states = states
        self._random = random
        self._violations = violations
        self.events: list[str] = []

    async def inject_faults(self, count: int) -> None:
        """Inject random faults one after the other."""
        for _ in range(count):
            await self.inject_fault()

    async def inject_fault(self) -> None:
        """Inject a random fault at a random host, and end it if it can be ended.

        Silenced connections and deleted keys are not restored.
        """
        fault = self.choose_fault()
        await asyncio.sleep(fault.delay)
        name = fault.inject.__name__.strip("_")
        self._record(fault.number, f"{name} begins")
        await fault.inject(fault.number)
        self._record(fault.number, f"{name} ended")

    def _record(self, number: int, event: str) -> None:
        self.events.append(f"{time.time():.4f} host {number}: {event}")

    def choose_fault(self) -> Fault:
        """Return the next random fault."""
        number = self._random.randrange(len(self._states))
        kinds: Sequence[Callable[[int], Awaitable[None]]] = (
            self._kill,
            self._stop,
            self._stop_hosts,
            self._freeze,
            self.reload,
            self._inject_store_fault,
            self._delete_host_record,
            self._replace_backend,
            self._drain_backend,
            self._slow_backends,
            self._inject_network_fault,
            self._inject_network_fault,
            self._inject_network_fault,
        )
        delay = self._random.uniform(0.0, MAX_FAULT_DELAY_S)
        return Fault(number, delay, self._random.choice(kinds))

    async def _kill(self, number: int) -> None:
        async with self._states[number].lock:
            self.check_running(number)
            await self._kill_daemon(number)
            await self._fleet.start_daemon(number)

    async def _kill_daemon(self, number: int) -> None:
        with self._states[number].mark_killed():
            await self._fleet.stop_daemon(number, signal.SIGKILL)

    async def _stop(self, number: int) -> None:
        await self.restart(number, self._draw_signals())

    async def _stop_hosts(self, number: int) -> None:
        """Restart several hosts, one after the other or overlapping."""
        hosts = len(self._states)
        count = self._random.randint(2, min(hosts, MAX_STOPPED_HOSTS))
        gap = self._random.uniform(0.0, MAX_STOP_GAP_S)
        overlapping = self._random.random() < 0.5
        plans = [
            ((number + position) % hosts, self._draw_signals())
            for position in range(count)
        ]
        async with asyncio.TaskGroup() as group:
            for host, signals in plans:
                task = group.create_task(self.restart(host, signals))
                await (asyncio.sleep(gap) if overlapping else task)

    def _draw_signals(self) -> list[LaterSignal]:
        """Return random signals for a daemon that is already stopping."""
        return [
            LaterSignal(
                self._random.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGSTOP)),
                self._random.uniform(0.0, MAX_SIGNAL_DELAY_S),
                self._random.uniform(0.0, MAX_SHORT_PAUSE_S),
            )
            for _ in range(self._random.randint(0, MAX_LATER_SIGNALS))
        ]

    async def restart(self, number: int, signals: Sequence[LaterSignal]) -> None:
        """Stop a daemon, sending it further signals meanwhile; start it again."""
        async with self._states[number].lock:
            self.check_running(number)
            # Before the daemon installs its handler, the signal itself ends the
            # process, with a nonzero exit code.
            if self._fleet.is_started(number):
                sender = asyncio.create_task(self._send_signals(number, signals))
                code = await self._stop_daemon(number)
                sender.cancel()
                await asyncio.wait({sender})
                if code:
                    self._violations.append(
                        f"daemon of host {number} exited with code {code} after SIGTERM"
                    )
            else:
                with self._states[number].mark_killed():
                    await self._stop_daemon(number)
            await self._fleet.start_daemon(number)

    async def _send_signals(self, number: int, signals: Sequence[LaterSignal]) -> None:
        for later in signals:
            await asyncio.sleep(later.delay)
            if later.number == signal.SIGSTOP:
                await self._pause_daemon(number, later.pause)
            else:
                self._send_signal(number, later.number)

    def check_running(self, number: int) -> None:
        """Record a violation if a daemon has exited by itself."""
        code = self._fleet.daemons[number].returncode
        if code is not None:
            self._violations.append(
                f"daemon of host {number} exited by itself with code {code}"
            )

    async def _stop_daemon(self, number: int) -> int:
        """Stop a daemon; kill it if it does not exit in time; return its exit code."""
        limit = STOP_GRACE_PERIOD_S + EXIT_MARGIN_S
        try:
            async with asyncio.timeout(limit):
                self._record(number, signal.SIGTERM.name)
                return await self._fleet.stop_daemon(number, signal.SIGTERM)
        except TimeoutError:
            self._violations.append(
                f"daemon of host {number} did not exit within {limit:g} s of SIGTERM"
            )
            await self._kill_daemon(number)
        return 0

    async def _freeze(self, number: int) -> None:
        pause = self._random.uniform(0.2, MAX_PAUSE_S)
        async with self._states[number].lock:
            await self._pause_daemon(number, pause)

    async def _pause_daemon(self, number: int, pause: float) -> None:
        with self._states[number].mark_paused():
            self._send_signal(number, signal.SIGSTOP)
            await asyncio.sleep(pause)
            self._send_signal(number, signal.SIGCONT)

    def _send_signal(self, number: int, signal_number: signal.Signals) -> None:
        self._record(number, signal_number.name)
        self._fleet.send_signal(number, signal_number)

    async def reload(self, number: int) -> None:
        """Change the settings file and have it reloaded, several times in series."""
        changes = [
            (self._random.choice(SETTINGS_CHANGES), self._random.uniform(0.0, 0.3))
            for _ in range(self._random.randint(1, MAX_RELOADS))
        ]
        path = self._fleet.get_settings_path(number)
        async with self._states[number].lock:
            # A daemon that reads invalid settings at its start exits.
            if not self._fleet.is_started(number):
                return
            original = path.read_text()
            for change, pause in [*changes, ("", 0.0)]:
                path.write_text(original + change)
                self._send_signal(number, signal.SIGHUP)
                await asyncio.sleep(pause)

    async def _inject_store_fault(self, _: int) -> None:
        store = self._fleet.store
        store.fault = self._random.choice(list(StoreFault))
        if self._random.random() < 0.5:
            await store.forget_history()
        await asyncio.sleep(self._random.uniform(0.3, 2.5))
        store.fault = StoreFault.NONE

    async def _delete_host_record(self, number: int) -> None:
        store = self._fleet.store
        for key in list(store.keys):
            if key != CONFIGURATION_KEY and key.endswith(f"-{number}"):
                await store.remove(key)

    async def _replace_backend(self, number: int) -> None:
        """Replace a backend server, possibly several times in series."""
        pauses = [
            self._random.uniform(0.0, MAX_REPLACEMENT_PAUSE_S)
            for _ in range(self._random.randint(1, MAX_REPLACEMENTS))
        ]
        async with self._states[number].backend_lock:
            for pause in pauses:
                await self._fleet.replace_backend(number)
                await asyncio.sleep(pause)

    async def _drain_backend(self, number: int) -> None:
        backend = self._fleet.backends[number]
        backend.state = "draining"
        await asyncio.sleep(self._random.uniform(1.0, 4.0))
        async with self._states[number].backend_lock:
            if self._fleet.backends[number] is backend:
                await self._fleet.replace_backend(number)

    async def _slow_backends(self, number: int) -> None:
        """Let backend servers run for so long that requests queue at the daemons."""
        hosts = len(self._states)
        count = self._random.randint(1, min(hosts, MAX_SLOW_BACKENDS))
        numbers = [(number + offset) % hosts for offset in range(count)]
        longest = self._random.uniform(*SLOW_RUN_S)
        duration = self._random.uniform(1.0, 4.0)
        slowed = [self._fleet.backends[host] for host in numbers]
        for backend in slowed:
            backend.run_time = (RUN_TIME_RANGE_S[0], longest)
        await asyncio.sleep(duration)
        for backend in slowed:
            backend.run_time = RUN_TIME_RANGE_S

    async def _inject_network_fault(self, number: int) -> None:
        proxies = self._fleet.proxies
        proxy = self._random.choice(proxies[number % len(proxies)].all)
        directions = (proxy.to_target, proxy.to_client)
        fault_kind = self._random.choice(
            ("delay", "cut", "one_way", "reset", "silence")
        )
        if fault_kind in ("cut", "one_way"):
            await self._cut_directions(
                directions
                if fault_kind == "cut"
                else (self._random.choice(directions),)
            )
        elif fault_kind == "delay":
            for direction in directions:
                direction.delay = self._random.uniform(0.01, 0.3)
            await asyncio.sleep(self._random.uniform(0.5, 2.0))
            proxy.heal()
        else:
            await self._break_connections(proxy, fault_kind)

    async def _cut_directions(self, directions: Sequence[Direction]) -> None:
        for direction in directions:
            direction.cut()
        await asyncio.sleep(self._random.uniform(0.3, 4.0))
        for direction in directions:
            direction.heal()

    async def _break_connections(self, proxy: FaultProxy, fault_kind: str) -> None:
        if fault_kind == "silence":
            proxy.silence_connections()
            return
        proxy.refusing = self._random.random() < 0.5
        proxy.reset_connections()
        await asyncio.sleep(self._random.uniform(0.0, 1.5))
        proxy.refusing = False
