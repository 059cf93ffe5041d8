"""Random faults around real daemons, and what must hold meanwhile.

`python -m almondrouter_standins.soak --first 1 --count 50` plays many seeds by hand.
"""

from __future__ import annotations

import argparse
import asyncio
import random as random_module
import shutil
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path

import msgspec

from almondrouter_standins.faultproxy import Direction, FaultProxy
from almondrouter_standins.platform_fleet import (
    CONFIGURATION_KEY,
    GRACE_S,
    PlatformFleet,
)
from almondrouter_standins.platform_store import StoreFault

HOSTS = 4
STEPS = 6
SENDERS = 2
"""Callers at each host that send one request after another."""
TIME_LEFT_S = 3.0
"""Seconds that callers wait."""
EXIT_MARGIN_S = 6.0
"""Seconds beyond the grace period in which a busy machine may report an exit."""
CALM_S = 60.0
"""Seconds after the last fault in which all has to work again."""
LAST_REQUESTS = 40
MIN_LAST_SERVED = 36
FIRST_VERSION = 10
ROUTE_TIMEOUT_S = 2.0
"""Seconds that routes allow; with the time until a stopping daemon closes, less than
the grace period."""
FIRST_NETWORK = 130
NETWORKS = 100
PATHS = ("/read/1", "/pay/1", "/pay/big")
BIG_BODY_BYTES = 100_000


@dataclass(slots=True)
class _HostState:
    """What was done to a host, as far as requests at it depend on that.

    Parameters
    ----------
    killed_at
        Monotonic seconds of the last kill.
    lock
        Held while its process is stopped and started.
    """

    killed_at: float = 0.0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class Soak:
    """One series of faults that a seed decides.

    Parameters
    ----------
    directory
        Where settings and logs are written.
    seed
        Decides the faults, their places and times.
    network
        Second octet of the loopback addresses.
    """

    def __init__(self, directory: Path, *, seed: int, network: int) -> None:
        self._random = random_module.Random(seed)
        self._stopping = asyncio.Event()
        self._states = [_HostState() for _ in range(HOSTS)]
        self._ended: list[str] = []
        self.fleet = PlatformFleet(
            directory, hosts=HOSTS, random=self._random, network=network, proxied=True
        )

    async def run(self) -> list[str]:
        """Play the series; return the broken guarantees."""
        fleet = self.fleet
        await fleet.start(make_configuration(1))
        senders = [
            asyncio.create_task(self._send_forever(number))
            for number in range(HOSTS)
            for _ in range(SENDERS)
        ]
        for step in range(STEPS):
            await asyncio.gather(self._disturb(), self._disturb())
            value = make_configuration(FIRST_VERSION + step)
            await fleet.store.put(CONFIGURATION_KEY, value)
        last_version = FIRST_VERSION + STEPS - 1
        await self._recover(last_version)
        self._stopping.set()
        await asyncio.gather(*senders)
        await self._check_service()
        return fleet.ledger.check() + self._ended + self._find_regressions()

    async def _recover(self, version: int) -> None:
        self.fleet.store.fault = StoreFault.NONE
        for proxies in self.fleet.proxies:
            for proxy in proxies.all:
                proxy.heal()
        try:
            async with asyncio.timeout(CALM_S):
                for number in range(HOSTS):
                    await self.fleet.wait_until_ready(number)
                while not await self._all_have(version):
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self._ended.append(f"version {version} is not in force everywhere")

    async def _all_have(self, version: int) -> bool:
        lines = [await self.fleet.read_metrics(number) for number in range(HOSTS)]
        wanted = f"almond_configuration_version {version}"
        return all(wanted in text for text in lines)

    async def _check_service(self) -> None:
        statuses = [
            await self.fleet.send(number % HOSTS, "/pay/1")
            for number in range(LAST_REQUESTS)
        ]
        if statuses.count(HTTPStatus.OK) < MIN_LAST_SERVED:
            self._ended.append(f"requests after the last fault ended as {statuses}")

    async def _send_forever(self, number: int) -> None:
        while not self._stopping.is_set():
            path = self._random.choice(PATHS)
            body = bytes(BIG_BODY_BYTES) if path.endswith("big") else b""
            began = time.monotonic()
            status, attempt = await self.fleet.send_named(
                number, path, body=body, time_left=TIME_LEFT_S, keep_open=True
            )
            if not status and self._is_cut_wrongly(number, attempt, began):
                after = time.monotonic() - began
                self._ended.append(f"{attempt} ran, its caller was cut after {after}")
            await asyncio.sleep(0.02)

    def _is_cut_wrongly(self, number: int, attempt: str, began: float) -> bool:
        """Return whether a request that ran got no answer though its host lived."""
        killed = self._states[number].killed_at >= began
        return bool(self.fleet.ledger.runs[attempt]) and not killed

    async def _disturb(self) -> None:
        """Bring about one fault, and end it."""
        number = self._random.randrange(HOSTS)
        kinds: Sequence[Callable[[int], Awaitable[None]]] = (
            self._kill,
            self._stop,
            self._freeze,
            self._reload,
            self._spoil_store,
            self._lose_record,
            self._replace_backend,
            self._drain_backend,
            self._harm_path,
            self._harm_path,
            self._harm_path,
        )
        await asyncio.sleep(self._random.uniform(0.0, 0.5))
        await self._random.choice(kinds)(number)

    async def _kill(self, number: int) -> None:
        async with self._states[number].lock:
            self._states[number].killed_at = time.monotonic()
            await self.fleet.stop_daemon(number, signal.SIGKILL)
            self._states[number].killed_at = time.monotonic()
            await self.fleet.start_daemon(number)

    async def _stop(self, number: int) -> None:
        async with self._states[number].lock:
            # A process that has not begun to serve ends by the signal itself.
            started = self.fleet.is_started(number)
            try:
                async with asyncio.timeout(GRACE_S + EXIT_MARGIN_S):
                    code = await self.fleet.stop_daemon(number, signal.SIGTERM)
                if code and started:
                    self._ended.append(f"host {number} ended with code {code}")
            except TimeoutError:
                self._ended.append(f"host {number} did not end after the stop signal")
                await self.fleet.stop_daemon(number, signal.SIGKILL)
            await self.fleet.start_daemon(number)

    async def _freeze(self, number: int) -> None:
        async with self._states[number].lock:
            process = self.fleet.daemons[number]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._random.uniform(0.2, 2.5))
            process.send_signal(signal.SIGCONT)

    async def _reload(self, number: int) -> None:
        async with self._states[number].lock:
            if self.fleet.is_started(number):
                self.fleet.daemons[number].send_signal(signal.SIGHUP)

    async def _spoil_store(self, _: int) -> None:
        store = self.fleet.store
        store.fault = self._random.choice(list(StoreFault))
        if self._random.random() < 0.5:
            await store.forget_history()
        await asyncio.sleep(self._random.uniform(0.3, 2.5))
        store.fault = StoreFault.NONE

    async def _lose_record(self, number: int) -> None:
        store = self.fleet.store
        for key in list(store.keys):
            if key != CONFIGURATION_KEY and key.endswith(f"-{number}"):
                await store.remove(key)

    async def _replace_backend(self, number: int) -> None:
        await self.fleet.replace_backend(number)

    async def _drain_backend(self, number: int) -> None:
        backend = self.fleet.backends[number]
        backend.state = "draining"
        await asyncio.sleep(self._random.uniform(1.0, 4.0))
        if self.fleet.backends[number] is backend:
            await self.fleet.replace_backend(number)

    async def _harm_path(self, number: int) -> None:
        proxy = self._random.choice(self.fleet.proxies[number].all)
        ways = (proxy.to_target, proxy.to_client)
        harm = self._random.choice(("delay", "cut", "one_way", "reset", "silence"))
        if harm in ("cut", "one_way"):
            await self._cut(ways if harm == "cut" else (self._random.choice(ways),))
        elif harm == "delay":
            for way in ways:
                way.delay = self._random.uniform(0.01, 0.3)
            await asyncio.sleep(self._random.uniform(0.5, 2.0))
            proxy.heal()
        else:
            await self._break_connections(proxy, harm)

    async def _cut(self, ways: Sequence[Direction]) -> None:
        for way in ways:
            way.cut()
        await asyncio.sleep(self._random.uniform(0.3, 4.0))
        for way in ways:
            way.heal()

    async def _break_connections(self, proxy: FaultProxy, harm: str) -> None:
        if harm == "silence":
            proxy.silence_connections()
            return
        proxy.refusing = self._random.random() < 0.5
        proxy.reset_connections()
        await asyncio.sleep(self._random.uniform(0.0, 1.5))
        proxy.refusing = False

    def _find_regressions(self) -> list[str]:
        """Return the daemons that went back to an older configuration."""
        found = []
        for path in self.fleet.find_logs():
            version = 0
            for line in path.read_bytes().splitlines():
                fields = read_line(line)
                if fields.get("event") == "daemon started":
                    version = 0
                elif fields.get("event") == "configuration in force":
                    if fields["version"] <= version:
                        found.append(f"{path.name}: {version} -> {fields['version']}")
                    version = fields["version"]
        return found


def read_line(line: bytes) -> dict:
    """Return the fields of a log line; none if a kill cut it off."""
    try:
        return msgspec.json.decode(line, type=dict)
    except msgspec.DecodeError:
        return {}


def make_configuration(version: int) -> bytes:
    """Return a configuration with one route for reads and one for payments."""
    paths = [
        {
            "name": kind,
            "path_prefix": f"/{name}/",
            "route_type": kind,
            "timeout_s": ROUTE_TIMEOUT_S,
            "target_latency_s": ROUTE_TIMEOUT_S / 2,
            "service": "orders",
            "max_attempts": 2,
        }
        for name, kind in (("read", "safe"), ("pay", "unsafe"))
    ]
    document = {
        "version": f"r{version}",
        "services": [{"name": "orders"}],
        "virtual_hosts": [{"host": "shop.example", "paths": paths}],
    }
    return msgspec.json.encode(document)


async def play(seed: int, directory: Path, *, network: int) -> list[str]:
    """Play one seed and end all that it started; return the broken guarantees."""
    soak = Soak(directory, seed=seed, network=network)
    try:
        return await soak.run()
    finally:
        await soak.fleet.close()


def play_by_hand(seed: int, logs: Path) -> list[str]:
    """Play one seed; keep the logs only if it broke a guarantee."""
    folder = logs / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    faults = asyncio.run(play(seed, folder, network=FIRST_NETWORK + seed % NETWORKS))
    if faults:
        (folder / "faults.txt").write_text("\n".join(faults) + "\n")
    else:
        shutil.rmtree(folder)
    return faults


def main() -> int:
    """Play seeds one after the other; return 1 if one broke a guarantee."""
    parser = argparse.ArgumentParser(description="Play random faults around daemons.")
    parser.add_argument("--first", type=int, default=1, help="first seed (default: 1)")
    parser.add_argument("--count", type=int, default=1, help="seeds (default: 1)")
    parser.add_argument(
        "--logs", type=Path, required=True, help="folder for the logs of failed seeds"
    )
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.count):
        faults = play_by_hand(seed, arguments.logs)
        failed += bool(faults)
        print(f"seed {seed}: {faults or 'kept'}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
