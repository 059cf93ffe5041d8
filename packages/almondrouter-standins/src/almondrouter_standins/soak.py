"""Soak test: injects random faults around real daemons and checks the guarantees.

Run many seeds: `python -m almondrouter_standins.soak --first 1 --count 50 --logs DIR`
"""

from __future__ import annotations

import argparse
import asyncio
import random as random_module
import shutil
import sys
import time
from http import HTTPStatus
from pathlib import Path

import msgspec

from almondrouter_standins.platform_fleet import (
    CALLER_PORT,
    CONFIGURATION_KEY,
    PlatformFleet,
)
from almondrouter_standins.platform_store import StoreFault
from almondrouter_standins.soak_callers import (
    BIG_BODY_BYTES,
    REQUEST_TIMEOUT_S,
    KeptConnectionCaller,
    PipeliningCaller,
    SequentialCaller,
)
from almondrouter_standins.soak_checks import (
    find_dropped_requests,
    find_innocent_refusals,
    find_log_lines,
    find_version_regressions,
)
from almondrouter_standins.soak_faults import FaultInjector
from almondrouter_standins.soak_hosts import HostState

HOSTS = 4
MAX_HOSTS = 100
"""Most daemons of a run."""
PROXIED_HOSTS = 8
"""Hosts with fault proxies, which are served by one process."""
INJECTORS = 3
"""Fewest injectors of faults; their faults overlap."""
HOSTS_PER_INJECTOR = 8
FAULTS_PER_INJECTOR = 5
MAX_CHANGE_PAUSE_S = 1.0
"""Longest pause between two versions of the configuration, in seconds."""
INVALID_CHANGE_PROBABILITY = 0.2
INVALID_CONFIGURATION = b'{"version": "r'
SENDERS_PER_HOST = 2
"""Callers at each host; each sends one request at a time."""
SENDER_PAUSE_S = 0.02
"""Pause of these callers after a response, in seconds."""
RESPONSE_TIMEOUT_S = REQUEST_TIMEOUT_S + 1.0
"""Seconds within which a request that ran has its response; the time for which the
daemon was paused is added."""
PATIENCE_S = 30.0
"""Seconds after their deadlines for which callers wait for responses."""
MAX_CALLER_PAUSE_S = 0.03
"""Longest pause of a caller before its next request, in seconds."""
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
CRASHING_PATH = "/read/crash"
CRASHING_INTERVAL_S = 0.7
"""Seconds between the requests that crash the backend servers that run them."""
CRASHES_UNTIL_KNOWN = 3
"""Crashes after which such a request has to be refused."""
STABLE_WINDOW_S = 3.0
"""Seconds after the last fault and crash until that holds at each daemon."""
LATE_CRASHING_REQUESTS = 24
MAX_LATE_CRASHES = 3
"""Crashes by these requests that the platform still allows."""


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
    hosts
        Number of daemons; callers of more hosts each send fewer requests.
    unframed_share
        Share of the responses to safe requests that end with their connections.
    crashing
        Whether one of the requests crashes each backend server that runs it.
    """

    def __init__(
        self,
        directory: Path,
        *,
        seed: int,
        network_octet: int,
        hosts: int = HOSTS,
        unframed_share: float = 0.0,
        crashing: bool = False,
    ) -> None:
        self._hosts = hosts
        self._crashing = crashing
        self._crashing_attempts: set[str] = set()
        self._max_pause = MAX_CALLER_PAUSE_S * hosts / HOSTS
        self._seed = seed
        self._stopping = asyncio.Event()
        self._states = [HostState() for _ in range(self._hosts)]
        self._violations: list[str] = []
        self.fleet = PlatformFleet(
            directory,
            hosts=hosts,
            random=self._make_random("backend servers"),
            network_octet=network_octet,
            proxied_hosts=min(hosts, PROXIED_HOSTS),
            proxied_backends=not crashing,
        )
        if crashing:
            self.fleet.crashing_targets = frozenset({CRASHING_PATH})
        self.fleet.unframed_share = unframed_share
        injectors = max(INJECTORS, hosts // HOSTS_PER_INJECTOR)
        self.injectors = [
            FaultInjector(
                self.fleet,
                self._states,
                random=self._make_random(f"faults {position}"),
                violations=self._violations,
            )
            for position in range(injectors)
        ]
        self._callers = self._make_callers()

    def _make_callers(self) -> list[KeptConnectionCaller]:
        return [
            kind(
                f"{ip}:{CALLER_PORT}",
                host=number,
                state=self._states[number],
                ledger=self.fleet.ledger,
                random=self._make_random(f"{kind.__name__} {number}"),
                max_pause=self._max_pause,
            )
            for number, ip in enumerate(self.fleet.ips)
            for kind in (SequentialCaller, PipeliningCaller)
        ]

    def _make_random(self, user: str) -> random_module.Random:
        """Return a source for one user, whose values depend on the seed only."""
        return random_module.Random(f"{self._seed} {user}")

    async def run(self) -> list[str]:
        """Inject the faults; return descriptions of the violated guarantees."""
        fleet = self.fleet
        await fleet.start(make_configuration(1))
        senders = [
            asyncio.create_task(
                self._send_forever(
                    number, self._make_random(f"sender {number}.{position}")
                )
            )
            for number in range(self._hosts)
            for position in range(SENDERS_PER_HOST)
        ]
        senders += [
            asyncio.create_task(caller.run(self._stopping)) for caller in self._callers
        ]
        if self._crashing:
            senders.append(asyncio.create_task(self._crash_forever()))
        faults_ended = asyncio.Event()
        operator = asyncio.create_task(self._change_configuration(faults_ended))
        await asyncio.gather(
            *(
                injector.inject_faults(FAULTS_PER_INJECTOR)
                for injector in self.injectors
            )
        )
        faults_ended.set()
        await self._recover(await operator)
        self._stopping.set()
        await asyncio.gather(*senders)
        if self._crashing:
            await self._check_crashing_requests()
        await self._check_final_requests()
        for number in range(self._hosts):
            self.injectors[0].check_running(number)
        return (
            fleet.ledger.find_violations()
            + self._violations
            + [text for caller in self._callers for text in caller.find_violations()]
            + find_version_regressions(fleet.list_log_paths())
            + find_dropped_requests(fleet.list_log_paths(), fleet.ledger)
            + find_innocent_refusals(fleet.list_log_paths(), self._crashing_attempts)
        )

    async def _crash_forever(self) -> None:
        random = self._make_random("crashing requests")
        while not self._stopping.is_set():
            await self._send_crashing_request(random.randrange(self._hosts))
            await asyncio.sleep(CRASHING_INTERVAL_S)

    async def _send_crashing_request(self, number: int) -> None:
        _, attempt = await self.fleet.send_with_attempt_id(
            number, CRASHING_PATH, time_limit=REQUEST_TIMEOUT_S, patience=PATIENCE_S
        )
        self._crashing_attempts.add(attempt)

    async def _check_crashing_requests(self) -> None:
        """Check that the crashing request is refused at each host by now."""
        crashes, number = self.fleet.ledger.crashes, 0
        while crashes[CRASHING_PATH] < CRASHES_UNTIL_KNOWN:
            await self._send_crashing_request(number % self._hosts)
            number += 1
        await asyncio.sleep(STABLE_WINDOW_S)
        known = crashes[CRASHING_PATH]
        for late in range(LATE_CRASHING_REQUESTS):
            await self.fleet.wait_until_ready(late % self._hosts)
            await self._send_crashing_request(late % self._hosts)
        if crashes[CRASHING_PATH] - known > MAX_LATE_CRASHES:
            self._violations.append(
                f"a request that had crashed {known} backend servers crashed "
                f"{crashes[CRASHING_PATH] - known} more"
            )

    async def _change_configuration(self, faults_ended: asyncio.Event) -> int:
        """Store one version after the other; return the last one."""
        random = self._make_random("operator")
        version = FIRST_VERSION
        while not faults_ended.is_set():
            if random.random() < INVALID_CHANGE_PROBABILITY:
                await self.fleet.store.put(CONFIGURATION_KEY, INVALID_CONFIGURATION)
                await asyncio.sleep(random.uniform(0.0, MAX_CHANGE_PAUSE_S))
            version += 1
            value = make_configuration(version)
            await self.fleet.store.put(CONFIGURATION_KEY, value)
            await asyncio.sleep(random.uniform(0.0, MAX_CHANGE_PAUSE_S))
        return version

    async def _recover(self, version: int) -> None:
        self.fleet.store.fault = StoreFault.NONE
        for proxies in self.fleet.proxies:
            for proxy in proxies.all:
                proxy.heal()
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                for number in range(self._hosts):
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
            await self.fleet.send(number % self._hosts, "/pay/1")
            for number in range(FINAL_REQUESTS)
        ]
        if statuses.count(HTTPStatus.OK) < MIN_FINAL_SUCCESSES:
            self._violations.append(
                f"fewer than {MIN_FINAL_SUCCESSES} of {FINAL_REQUESTS} requests "
                f"succeeded after the last fault; statuses: {statuses}"
            )

    async def _send_forever(self, number: int, random: random_module.Random) -> None:
        while not self._stopping.is_set():
            path = random.choice(PATHS)
            body = bytes(BIG_BODY_BYTES) if path.endswith("big") else b""
            began = time.monotonic()
            status, attempt = await self.fleet.send_with_attempt_id(
                number,
                path,
                body=body,
                time_limit=REQUEST_TIMEOUT_S,
                patience=PATIENCE_S,
                reuse_connection=True,
            )
            ended = time.monotonic()
            state = self._states[number]
            limit = RESPONSE_TIMEOUT_S + state.sum_pauses_since(began)
            missing = not status or ended - began > limit
            ran = bool(self.fleet.ledger.runs[attempt])
            if missing and ran and not state.was_killed_since(began):
                self._violations.append(
                    f"{attempt} at host {number} ran, but got no response within "
                    f"{limit:.1f} s; status {status} after {ended - began:.1f} s"
                )
            await asyncio.sleep(SENDER_PAUSE_S * self._hosts / HOSTS)


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


async def run_seed(
    seed: int,
    directory: Path,
    *,
    network_octet: int,
    hosts: int = HOSTS,
    unframed_share: float = 0.0,
    crashing: bool = False,
) -> list[str]:
    """Run one seed and clean up; return descriptions of the violated guarantees.

    The file ``injected.txt`` in the directory lists the faults.
    """
    soak = Soak(
        directory,
        seed=seed,
        network_octet=network_octet,
        hosts=hosts,
        unframed_share=unframed_share,
        crashing=crashing,
    )
    try:
        return await soak.run()
    finally:
        await soak.fleet.close()
        events = sorted(event for i in soak.injectors for event in i.events)
        (directory / "injected.txt").write_text("\n".join(events) + "\n")


def run_seed_keeping_logs(
    seed: int,
    logs: Path,
    *,
    hosts: int = HOSTS,
    unframed_share: float = 0.0,
    crashing: bool = False,
) -> list[str]:
    """Run one seed; keep its logs only if it violated a guarantee.

    Returns
    -------
    list of str
        Descriptions of the violated guarantees.
    """
    folder = logs / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    network_octet = FIRST_NETWORK_OCTET + seed % NETWORK_OCTET_COUNT
    violations = asyncio.run(
        run_seed(
            seed,
            folder,
            network_octet=network_octet,
            hosts=hosts,
            unframed_share=unframed_share,
            crashing=crashing,
        )
    )
    if violations:
        lines = [*violations, *find_log_lines(sorted(folder.glob("*.log")), violations)]
        (folder / "faults.txt").write_text("\n".join(lines) + "\n")
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
        "--hosts",
        type=int,
        default=HOSTS,
        choices=range(2, MAX_HOSTS + 1),
        metavar=f"2..{MAX_HOSTS}",
        help=f"number of daemons (default: {HOSTS})",
    )
    parser.add_argument(
        "--unframed-share",
        type=float,
        default=0.0,
        help="share of the responses to safe requests without a length (default: 0)",
    )
    parser.add_argument(
        "--crashing",
        action="store_true",
        help="send a request that crashes each backend server that runs it",
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
        began = time.monotonic()
        violations = run_seed_keeping_logs(
            seed,
            arguments.logs,
            hosts=arguments.hosts,
            unframed_share=arguments.unframed_share,
            crashing=arguments.crashing,
        )
        failed += bool(violations)
        elapsed = time.monotonic() - began
        print(f"seed {seed}: {violations or 'passed'} in {elapsed:.1f} s", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
