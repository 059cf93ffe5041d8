"""Demo of a whole cluster on one machine: ``make demo``.

It starts a store, daemons and backend servers, applies the example configuration,
sends calls, restarts a daemon under load, and checks the guarantees to callers.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import uuid6
import uvloop

from almondrouter.protocol import headers
from almondrouter_standins.processes import (
    Cluster,
    ProcessError,
    fetch_json,
    wait_until,
)

BASE_PORT = 17_300
CALLS_PER_CLASS = 20
CALLS_AT_ONCE = 4
CONVERGENCE_TARGET_MS = 5_000
EXAMPLES = Path(__file__).resolve().parents[4] / "examples"

REPEATABLE = ("order-history", "catalogue", "valuations", "case-files")
NOT_REPEATABLE = ("renewals", "manuscript-intake", "declarations", "deeds")
SERVICES = {
    "renewals": "accounts",
    "order-history": "accounts",
    "manuscript-intake": "manuscripts",
    "catalogue": "manuscripts",
    "valuations": "advice-desk",
    "declarations": "advice-desk",
    "case-files": "documents",
    "deeds": "documents",
}


@dataclass(slots=True)
class CallTally:
    """Outcomes of the demo's calls, and violations of guarantees by description."""

    outcomes: Counter[str] = field(default_factory=Counter)
    violations: Counter[str] = field(default_factory=Counter)

    @property
    def sent(self) -> int:
        """Return the number of calls sent."""
        return sum(self.outcomes.values())


class Demo:
    """Runs the demo's steps one after another."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._tally = CallTally()
        self._error_codes: Counter[str] = Counter()
        self._idempotency_keys: dict[str, list[str]] = {}
        self._session: aiohttp.ClientSession | None = None
        self._convergence_ms = 0

    async def run(self) -> dict[str, Any]:
        """Run every step; return the summary."""
        async with aiohttp.ClientSession() as session:
            self._session = session
            await self._start()
            await self._apply_targets()
            await self._call_every_class()
            await self._resend_idempotency_keys()
            await self._revise_target()
            await self._restart_daemon()
            return await self._summarize()

    async def _start(self) -> None:
        plan_hosts(self._cluster)
        count = len(self._cluster.hosts)
        print_progress(f"starting a store, {count} daemons and {count} backend servers")
        await self._cluster.start_all()

    async def _apply_targets(self) -> None:
        for name in ("wierszownia", "association"):
            path = str(EXAMPLES / f"{name}.toml")
            output = await self._almondctl(
                "apply", path, "--reason", "first targets", "--replace"
            )
            print_progress(f"targets of {name}: {output}")
        print_progress(await self._almondctl("wait", "--timeout", "20"))
        await self._wait_for_routes()

    async def _wait_for_routes(self) -> None:
        async def routed() -> bool:
            for name in self._cluster.hosts:
                status = await self._cluster.read_admin(name)
                if any(not count for count in status["routes"].values()):
                    return False
            return True

        await wait_until(routed, "every class has a backend server on every daemon")

    async def _call_every_class(self) -> None:
        for class_name in SERVICES:
            host = self._find_host_without_service(SERVICES[class_name])
            counts: Counter[str] = Counter()
            # More concurrent calls would be refused as overloaded: a backend server
            # that has just started is given a quarter of its slots.
            for _ in range(CALLS_PER_CLASS // CALLS_AT_ONCE):
                calls = (
                    self._send_call(class_name, host) for _ in range(CALLS_AT_ONCE)
                )
                counts.update(await asyncio.gather(*calls))
            print_progress(f"{class_name} through {host}: {dict(counts)}")
            if counts[headers.Outcome.COMPLETE.value] != CALLS_PER_CLASS:
                self._tally.violations[f"{class_name}: incomplete calls"] += 1

    async def _resend_idempotency_keys(self) -> None:
        hosts = list(self._cluster.hosts)
        for class_name in NOT_REPEATABLE:
            key = self._idempotency_keys[class_name][0]
            sent = (self._send_call(class_name, host, key=key) for host in hosts)
            counts = Counter(await asyncio.gather(*sent))
            print_progress(
                f"{class_name}: resent one key to {len(hosts)} hosts: {dict(counts)}"
            )

    async def _revise_target(self) -> None:
        output = await self._almondctl(
            *("revise", "class", "catalogue", "--calls-per-second", "150"),
            *("--replace", "--reason", "less catalogue traffic"),
        )
        print_progress(f"revised a target: {output}")
        history = json.loads(
            await self._almondctl("history", "--limit", "1", "--output", "json")
        )
        change = history["changes"][0]
        statuses: list[dict[str, Any]] = []

        async def in_force() -> bool:
            statuses[:] = await asyncio.gather(
                *(self._cluster.read_admin(name) for name in self._cluster.hosts)
            )
            return all(s["version"] >= change["version"] for s in statuses)

        await wait_until(in_force, f"version {change['version']} in force everywhere")
        # `accepted_at` is set by the writer before the store commits the change,
        # so the figure includes the write to the store.
        seconds = max(s["version_at"] for s in statuses) - change["accepted_at"]
        self._convergence_ms = round(seconds * 1000)
        if self._convergence_ms > CONVERGENCE_TARGET_MS:
            self._tally.violations["change not in force everywhere within 5 s"] += 1
        print_progress(f"in force on every daemon after {self._convergence_ms} ms")
        print_progress(await self._almondctl("status"))

    async def _restart_daemon(self) -> None:
        name = next(iter(self._cluster.hosts))
        others = [host for host in self._cluster.hosts if host != name]
        stop = asyncio.Event()
        loads = [
            asyncio.create_task(self._send_load(class_name, others, stop))
            for class_name in SERVICES
        ]
        await asyncio.sleep(1)
        code = await self._cluster.daemons[name].stop()
        print_progress(
            f"stopped the daemon of {name} gracefully under load, exit code {code}"
        )
        if code != 0:
            self._tally.violations["graceful stop of a daemon failed"] += 1
        await self._cluster.start_daemon(name)

        async def ready() -> bool:
            return (await self._cluster.read_admin(name))["ready"]

        await wait_until(ready, f"the daemon of {name} serves again")
        await asyncio.sleep(1)
        stop.set()
        counts: Counter[str] = Counter()
        for load in loads:
            counts += await load
        print_progress(f"calls during the restart: {dict(counts)}")
        if counts[headers.Outcome.UNKNOWN.value]:
            self._tally.violations["calls in flight were lost in the restart"] += 1

    async def _send_load(
        self, class_name: str, hosts: list[str], stop: asyncio.Event
    ) -> Counter[str]:
        counts: Counter[str] = Counter()
        while not stop.is_set():
            host = hosts[sum(counts.values()) % len(hosts)]
            counts[await self._send_call(class_name, host)] += 1
            await asyncio.sleep(0.05)
        return counts

    async def _send_call(
        self, class_name: str, host: str, *, key: str | None = None
    ) -> str:
        fields = {headers.CLASS: class_name}
        if class_name in NOT_REPEATABLE and key is None:
            key = str(uuid6.uuid7())
            self._idempotency_keys.setdefault(class_name, []).append(key)
        if key is not None:
            fields[headers.IDEMPOTENCY_KEY] = key
        address = self._cluster.hosts[host].daemon.caller
        marker = key or uuid6.uuid7().hex
        url = f"http://{address}/{SERVICES[class_name]}"
        async with self._session.post(url, headers=fields, data=marker) as response:
            body = await response.read()
            outcome = response.headers.get(headers.OUTCOME, "missing")
            code = response.headers.get(headers.CODE, "")
        self._check_answer(outcome, code, body, marker)
        self._tally.outcomes[outcome] += 1
        if outcome != headers.Outcome.COMPLETE.value:
            self._error_codes[code] += 1
        return outcome

    def _check_answer(self, outcome: str, code: str, body: bytes, marker: str) -> None:
        if outcome not in set(headers.Outcome):
            self._tally.violations[f"response without a valid outcome: {code}"] += 1
        complete = outcome == headers.Outcome.COMPLETE.value
        if complete and body != marker.encode():
            self._tally.violations["response of another request"] += 1

    async def _summarize(self) -> dict[str, Any]:
        runs = await self._count_runs()
        double_runs = sum(count - 1 for count in runs.values() if count > 1)
        if double_runs:
            self._tally.violations[f"{double_runs} double runs"] += 1
        statuses = await asyncio.gather(
            *(self._cluster.read_admin(name) for name in self._cluster.hosts)
        )
        outcomes = self._tally.outcomes
        print_progress(
            f"error codes of calls that were not complete: {dict(self._error_codes)}"
        )
        for violation, count in self._tally.violations.items():
            print_progress(f"guarantee violated {count} times: {violation}")
        return {
            "calls_sent": self._tally.sent,
            "calls_complete": outcomes[headers.Outcome.COMPLETE.value],
            "calls_not_run": outcomes[headers.Outcome.NOT_RUN.value],
            "calls_unknown": outcomes[headers.Outcome.UNKNOWN.value],
            "double_runs": double_runs,
            "convergence_ms": self._convergence_ms,
            "control_bytes": sum(s["control_bytes_sent"] for s in statuses),
            "broken_guarantees": dict(self._tally.violations),
        }

    async def _count_runs(self) -> Counter[str]:
        runs: Counter[str] = Counter()
        for plan in self._cluster.hosts.values():
            if plan.service:
                found = await fetch_json(f"http://{plan.backend_address}/runs")
                runs.update(run["key"] for run in found if run["key"])
        return runs

    async def _almondctl(self, *arguments: str) -> str:
        code, output, errors = await self._cluster.run_almondctl(*arguments)
        if code != 0:
            raise ProcessError(
                f"almondctl {' '.join(arguments)} failed with exit code "
                f"{code}: {errors}"
            )
        return output.strip()

    def _find_host_without_service(self, service: str) -> str:
        hosts = self._cluster.hosts.values()
        return next(plan.name for plan in hosts if plan.service != service)


def plan_hosts(cluster: Cluster) -> None:
    """Plan eight hosts: two in each of four data centres, in two regions."""
    services = ("accounts", "manuscripts", "advice-desk", "documents")
    for number in range(8):
        region = ("north", "south")[number % 2]
        data_centre = f"{region}-{number // 2 % 2 + 1}"
        service = services[(number + number // 4) % len(services)]
        is_large = service in ("advice-desk", "documents")
        cluster.plan_host(
            f"host-{number + 1}",
            data_centre=data_centre,
            region=region,
            service=service,
            slots=14 if is_large else 9,
            connections=130 if is_large else 120,
        )


def print_progress(text: str) -> None:
    """Print a line at once, also when the output is not a terminal."""
    print(text, flush=True)


async def run_demo(base_port: int) -> int:
    """Run the demo; return the exit code."""
    with tempfile.TemporaryDirectory(prefix="almondrouter-") as directory:
        cluster = Cluster(Path(directory), base_port=base_port)
        try:
            figures = await Demo(cluster).run()
        finally:
            await cluster.close()
    print(json.dumps(figures), flush=True)
    return 1 if figures["broken_guarantees"] else 0


def main() -> int:
    """Run the command line; return the exit code."""
    parser = argparse.ArgumentParser(prog="almond-demo", description=__doc__)
    parser.add_argument("--base-port", type=int, default=BASE_PORT)
    arguments = parser.parse_args()
    uvloop.install()
    try:
        return asyncio.run(run_demo(arguments.base_port))
    except ProcessError as error:
        print(f"demo: error: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
