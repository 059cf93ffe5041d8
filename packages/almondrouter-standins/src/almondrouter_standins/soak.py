"""Soak test: injects random faults around real daemons and checks the guarantees.

Run many seeds: `python -m almondrouter_standins.soak --first 1 --count 50 --logs DIR`
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
    STOP_GRACE_PERIOD_S,
    PlatformFleet,
)
from almondrouter_standins.platform_store import StoreFault

HOSTS = 4
STEPS = 6
SENDERS_PER_HOST = 2
"""Callers at each host; each sends one request at a time."""
REQUEST_TIMEOUT_S = 3.0
"""Deadline that callers give to each request."""
EXIT_MARGIN_S = 6.0
"""Seconds beyond the grace period until an exit must be seen, for a busy machine."""
RECOVERY_TIMEOUT_S = 60.0
"""Seconds after the last fault within which all hosts must serve and be up to date."""
FINAL_REQUESTS = 40
MIN_FINAL_SUCCESSES = 36
FIRST_VERSION = 10
ROUTE_TIMEOUT_S = 2.0
"""Timeout of the routes. A stopping daemon accepts requests for some time; the sum of
that time and this timeout must be shorter than the grace period."""
FIRST_NETWORK_OCTET = 130
"""First of the second octets of the loopback addresses that seeds use in turn."""
NETWORK_OCTET_COUNT = 100
PATHS = ("/read/1", "/pay/1", "/pay/big")
BIG_BODY_BYTES = 100_000


@dataclass(slots=True)
class _HostState:
    """Faults of a host that affect the requests of its callers.

    Parameters
    ----------
    killed_at
        Monotonic seconds of the last kill.
    lock
        Held while the daemon's process is stopped, started or signalled.
    """

    killed_at: float = 0.0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class Soak:
    """One soak run: a series of random faults on a fleet under load.

    Parameters
    ----------
    directory
        Directory of the settings and log files.
    seed
        Seed of the faults, their hosts and their times.
    network_octet
        Second octet of the loopback addresses.
    """

    def __init__(self, directory: Path, *, seed: int, network_octet: int) -> None:
        self._random = random_module.Random(seed)
        self._stopping = asyncio.Event()
        self._states = [_HostState() for _ in range(HOSTS)]
        self._violations: list[str] = []
        self.fleet = PlatformFleet(
            directory,
            hosts=HOSTS,
            random=self._random,
            network_octet=network_octet,
            proxied=True,
        )

    async def run(self) -> list[str]:
        """Inject the faults; return descriptions of the violated guarantees."""
        fleet = self.fleet
        await fleet.start(make_configuration(1))
        senders = [
            asyncio.create_task(self._send_forever(number))
            for number in range(HOSTS)
            for _ in range(SENDERS_PER_HOST)
        ]
        for step in range(STEPS):
            await asyncio.gather(self._inject_fault(), self._inject_fault())
            value = make_configuration(FIRST_VERSION + step)
            await fleet.store.put(CONFIGURATION_KEY, value)
        last_version = FIRST_VERSION + STEPS - 1
        await self._recover(last_version)
        self._stopping.set()
        await asyncio.gather(*senders)
        await self._check_final_requests()
        return (
            fleet.ledger.find_violations()
            + self._violations
            + self._find_version_regressions()
        )

    async def _recover(self, version: int) -> None:
        self.fleet.store.fault = StoreFault.NONE
        for proxies in self.fleet.proxies:
            for proxy in proxies.all:
                proxy.heal()
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                for number in range(HOSTS):
                    await self.fleet.wait_until_ready(number)
                while not await self.fleet.is_in_force_everywhere(version):
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self._violations.append(
                f"hosts not ready or version {version} not in force everywhere "
                f"{RECOVERY_TIMEOUT_S:g} s after the last fault"
            )

    async def _check_final_requests(self) -> None:
        statuses = [
            await self.fleet.send(number % HOSTS, "/pay/1")
            for number in range(FINAL_REQUESTS)
        ]
        if statuses.count(HTTPStatus.OK) < MIN_FINAL_SUCCESSES:
            self._violations.append(
                f"fewer than {MIN_FINAL_SUCCESSES} of {FINAL_REQUESTS} requests "
                f"succeeded after the last fault; statuses: {statuses}"
            )

    async def _send_forever(self, number: int) -> None:
        while not self._stopping.is_set():
            path = self._random.choice(PATHS)
            body = bytes(BIG_BODY_BYTES) if path.endswith("big") else b""
            began = time.monotonic()
            status, attempt = await self.fleet.send_with_attempt_id(
                number,
                path,
                body=body,
                time_limit=REQUEST_TIMEOUT_S,
                reuse_connection=True,
            )
            if not status and self._lost_response_without_kill(number, attempt, began):
                after = time.monotonic() - began
                self._violations.append(
                    f"{attempt} ran but got no response in {after} s"
                )
            await asyncio.sleep(0.02)

    def _lost_response_without_kill(
        self, number: int, attempt: str, began: float
    ) -> bool:
        """Return whether a request without response ran and its host was not killed."""
        killed = self._states[number].killed_at >= began
        return bool(self.fleet.ledger.runs[attempt]) and not killed

    async def _inject_fault(self) -> None:
        """Inject a random fault at a random host, and end it if it can be ended.

        Silenced connections and deleted keys are not restored.
        """
        number = self._random.randrange(HOSTS)
        kinds: Sequence[Callable[[int], Awaitable[None]]] = (
            self._kill,
            self._stop,
            self._freeze,
            self._reload,
            self._inject_store_fault,
            self._delete_host_record,
            self._replace_backend,
            self._drain_backend,
            self._inject_network_fault,
            self._inject_network_fault,
            self._inject_network_fault,
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
            # Before the daemon installs its handler, the signal itself ends the
            # process, with a nonzero exit code.
            started = self.fleet.is_started(number)
            try:
                async with asyncio.timeout(STOP_GRACE_PERIOD_S + EXIT_MARGIN_S):
                    code = await self.fleet.stop_daemon(number, signal.SIGTERM)
                if code and started:
                    self._violations.append(
                        f"daemon of host {number} exited with code {code} after SIGTERM"
                    )
            except TimeoutError:
                self._violations.append(
                    f"daemon of host {number} did not exit within "
                    f"{STOP_GRACE_PERIOD_S + EXIT_MARGIN_S:g} s of SIGTERM"
                )
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

    async def _inject_store_fault(self, _: int) -> None:
        store = self.fleet.store
        store.fault = self._random.choice(list(StoreFault))
        if self._random.random() < 0.5:
            await store.forget_history()
        await asyncio.sleep(self._random.uniform(0.3, 2.5))
        store.fault = StoreFault.NONE

    async def _delete_host_record(self, number: int) -> None:
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

    async def _inject_network_fault(self, number: int) -> None:
        proxy = self._random.choice(self.fleet.proxies[number].all)
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

    def _find_version_regressions(self) -> list[str]:
        """Return the log files in which a configuration version did not increase."""
        found = []
        for path in self.fleet.list_log_paths():
            version = 0
            for line in path.read_bytes().splitlines():
                fields = parse_log_line(line)
                if fields.get("event") == "daemon started":
                    version = 0
                elif fields.get("event") == "configuration in force":
                    if fields["version"] <= version:
                        found.append(
                            f"{path.name}: configuration version {fields['version']} "
                            f"in force after version {version}"
                        )
                    version = fields["version"]
        return found


def parse_log_line(line: bytes) -> dict:
    """Return the fields of a log line; none if it was truncated by a kill."""
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


async def run_seed(seed: int, directory: Path, *, network_octet: int) -> list[str]:
    """Run one seed and clean up; return descriptions of the violated guarantees."""
    soak = Soak(directory, seed=seed, network_octet=network_octet)
    try:
        return await soak.run()
    finally:
        await soak.fleet.close()


def run_seed_keeping_logs(seed: int, logs: Path) -> list[str]:
    """Run one seed; keep its logs only if it violated a guarantee.

    Returns
    -------
    list of str
        Descriptions of the violated guarantees.
    """
    folder = logs / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    violations = asyncio.run(
        run_seed(
            seed, folder, network_octet=FIRST_NETWORK_OCTET + seed % NETWORK_OCTET_COUNT
        )
    )
    if violations:
        (folder / "faults.txt").write_text("\n".join(violations) + "\n")
    else:
        shutil.rmtree(folder)
    return violations


def main() -> int:
    """Run seeds one after the other; return 1 if one violated a guarantee."""
    parser = argparse.ArgumentParser(description="Inject random faults into daemons.")
    parser.add_argument("--first", type=int, default=1, help="first seed (default: 1)")
    parser.add_argument(
        "--count", type=int, default=1, help="number of seeds (default: 1)"
    )
    parser.add_argument(
        "--logs",
        type=Path,
        required=True,
        help="directory for the logs of failed seeds",
    )
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.count):
        violations = run_seed_keeping_logs(seed, arguments.logs)
        failed += bool(violations)
        print(f"seed {seed}: {violations or 'passed'}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
