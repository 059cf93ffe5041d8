"""Failures of real processes, with an oracle that counts runs."""

import asyncio
import tempfile
import unittest
from collections import Counter, defaultdict
from pathlib import Path

import aiohttp
import uuid6

from almondrouter.protocol import headers
from almondrouter_standins.backend import MARK_HEADER, WORK_HEADER
from almondrouter_standins.processes import Cluster, fetch_json, wait_until

TARGETS = """
[services.accounts]
[services.documents]

[classes.renewals]
service = "accounts"
answer_within_ms = 1500
repeatable = false
priority = "critical"

[classes.order-history]
service = "accounts"
answer_within_ms = 1500
repeatable = true

[classes.deeds]
service = "documents"
answer_within_ms = 1500
repeatable = false
"""
RENEWALS, ORDER_HISTORY, DEEDS = "renewals", "order-history", "deeds"
COMPLETE, NOT_RUN, UNKNOWN = (outcome.value for outcome in headers.Outcome)
MAX_ATTEMPTS = 3


class Traffic:
    """Sends calls, resends what is not complete, and keeps what was said.

    Connections that fail count as ``unknown``, as a caller would count them.
    """

    def __init__(self, cluster, session):
        self._cluster = cluster
        self._session = session
        self._tasks = []
        self._stopped = asyncio.Event()
        self.said = defaultdict(list)
        self.classes = {}
        self.codes = Counter()
        self.wrong = []

    async def call(self, class_name, host, *, mark=None, key=None, work_ms=5):
        """Send one call; return its outcome."""
        mark = mark or uuid6.uuid7().hex
        self.classes[mark] = class_name
        fields = {
            headers.CLASS: class_name,
            MARK_HEADER: mark,
            WORK_HEADER: str(work_ms),
        }
        if class_name != ORDER_HISTORY:
            fields[headers.IDEMPOTENCY_KEY] = key or str(uuid6.uuid7())
        url = f"http://{self._cluster.hosts[host].daemon.caller}/{class_name}"
        try:
            sending = self._session.post(url, headers=fields, data=mark)
            async with sending as response:
                body = await response.read()
                outcome = response.headers[headers.OUTCOME]
                self.codes[response.headers.get(headers.CODE, "")] += 1
        except aiohttp.ClientConnectorError:
            outcome = "unsent"
        except (aiohttp.ClientError, TimeoutError):
            outcome = UNKNOWN
        else:
            if outcome == COMPLETE and body != mark.encode():
                self.wrong.append(mark)
        self.said[mark].append(outcome)
        return outcome

    async def call_until_complete(self, class_name, hosts):
        """Send a call, and resend it with the same key through other hosts."""
        mark, key = uuid6.uuid7().hex, str(uuid6.uuid7())
        for host in hosts[:MAX_ATTEMPTS]:
            outcome = await self.call(class_name, host, mark=mark, key=key)
            if outcome == COMPLETE:
                return

    def start(self, hosts, *, classes=(RENEWALS, ORDER_HISTORY), pause=0.01):
        """Begin to send calls through hosts in turn."""
        for class_name in classes:
            self._tasks.append(
                asyncio.create_task(self._send_all(class_name, hosts, pause))
            )

    async def stop(self):
        """Wait for the calls under way."""
        self._stopped.set()
        await asyncio.gather(*self._tasks)

    async def _send_all(self, class_name, hosts, pause):
        pending = set()
        number = 0
        while not self._stopped.is_set():
            turn = number % len(hosts)
            order = [*hosts[turn:], *hosts[:turn]]
            task = asyncio.create_task(self.call_until_complete(class_name, order))
            pending.add(task)
            task.add_done_callback(pending.discard)
            number += 1
            await asyncio.sleep(pause)
        await asyncio.gather(*pending)


class FailureTest(unittest.IsolatedAsyncioTestCase):
    """What callers and operators were told must be what happened."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.cluster = Cluster(Path(directory.name))
        self.addAsyncCleanup(self.cluster.close)
        services = ("accounts", "documents", "accounts", "documents", "accounts")
        for number, service in enumerate(services, 1):
            self.cluster.plan_host(
                f"h{number}",
                data_centre=f"dc-{number % 2}",
                region=f"region-{number % 2}",
                service=service,
            )
        self.store_control = self.cluster.take_address()
        self.cluster.store_options = ("--control-address", self.store_control)
        await self.cluster.start_all()
        await self.apply(TARGETS)
        await self.wait_for_routes(self.cluster.hosts)
        timeout = aiohttp.ClientTimeout(total=10)
        self.session = aiohttp.ClientSession(timeout=timeout)
        self.addAsyncCleanup(self.session.close)
        self.traffic = Traffic(self.cluster, self.session)
        self.addAsyncCleanup(self.traffic.stop)

    async def apply(self, targets):
        """Put a plan in force, and wait until every daemon has it."""
        path = Path(self.cluster.directory) / "targets.toml"
        path.write_text(targets)
        code, _, errors = await self.cluster.run_almondctl(
            "apply", str(path), "--replace"
        )
        self.assertEqual(code, 0, errors)

    async def wait_for_routes(self, hosts, *, counts=None):
        """Wait until daemons are ready and know the backend servers."""
        wanted = counts or {RENEWALS: 3, ORDER_HISTORY: 3, DEEDS: 2}

        async def routed():
            found = await asyncio.gather(*(self.cluster.read_admin(h) for h in hosts))
            return all(s["ready"] and s["routes"] == wanted for s in found)

        await wait_until(routed, f"routes {wanted} on {list(hosts)}")

    async def count_runs(self):
        """Return the runs of each mark at all backend servers."""
        runs = Counter()
        for plan in self.cluster.hosts.values():
            found = await fetch_json(f"http://{plan.backend_address}/runs")
            runs.update(run["mark"] for run in found)
        return runs

    async def check_oracle(self):
        """Compare what callers were told with what ran."""
        runs = await self.count_runs()
        told = self.traffic.said
        doubles = [
            mark
            for mark, count in runs.items()
            if count > 1 and self.traffic.classes.get(mark) != ORDER_HISTORY
        ]
        false_not_run = [
            mark
            for mark, said in told.items()
            if runs[mark] and set(said) <= {NOT_RUN, "unsent"}
        ]
        never_run = [m for m, said in told.items() if COMPLETE in said and not runs[m]]
        self.assertEqual((doubles, false_not_run, never_run), ([], [], []))
        self.assertEqual(self.traffic.wrong, [])

    def count_said(self):
        """Return how often each outcome was said."""
        return Counter(o for said in self.traffic.said.values() for o in said)

    async def set_store(self, **faults):
        """Set faults of the store stand-in."""
        url = f"http://{self.store_control}/standin"
        async with self.session.post(url, json=faults) as response:
            self.assertEqual(response.status, 200, await response.text())

    async def test_kill_of_an_egress_daemon_under_load(self):
        """Guards against a second run, or a false not-run, after a kill."""
        self.traffic.start(["h2", "h4"])
        await asyncio.sleep(1)
        await self.cluster.daemons["h1"].kill()
        await asyncio.sleep(2)
        await self.cluster.start_daemon("h1")
        await self.wait_for_routes(self.cluster.hosts)
        await self.traffic.stop()
        await self.check_oracle()
        self.assertEqual(await self.traffic.call(RENEWALS, "h2"), COMPLETE)

    async def test_frozen_egress_daemon_wakes_past_every_timeout(self):
        """Guards against a run from a buffer after the caller gave up."""
        self.traffic.start(["h2", "h4"])
        await asyncio.sleep(1)
        self.cluster.daemons["h1"].freeze()
        await asyncio.sleep(9)
        self.cluster.daemons["h1"].thaw()
        await self.wait_for_routes(self.cluster.hosts)
        await self.traffic.stop()
        await self.check_oracle()
        self.assertGreater(self.count_said()[COMPLETE], 100)

    async def test_graceful_stops_one_after_another_cut_no_call(self):
        """Guards against calls in flight being cut by a planned stop."""
        self.traffic.start(["h2"])
        for name in ("h1", "h3", "h5"):
            self.assertEqual(await self.cluster.daemons[name].stop(), 0)
            await self.cluster.start_daemon(name)
            await self.wait_for_routes(self.cluster.hosts)
        await self.traffic.stop()
        await self.check_oracle()
        said = self.count_said()
        self.assertEqual(said[UNKNOWN], 0, self.traffic.codes)
        self.assertGreater(said[COMPLETE], 100)

    async def test_draining_backend_server_gets_no_new_work(self):
        """Guards against calls that reach a backend server which is leaving."""
        self.traffic.start(["h2", "h4"])
        await asyncio.sleep(1)
        url = f"http://{self.cluster.hosts['h1'].backend_address}"
        async with self.session.post(f"{url}/drain") as reply:
            self.assertLess(reply.status, 300, await reply.text())
        counts = {RENEWALS: 2, ORDER_HISTORY: 2, DEEDS: 2}
        await self.wait_for_routes(self.cluster.hosts, counts=counts)
        before = len(await fetch_json(f"{url}/runs"))
        await asyncio.sleep(1)
        self.assertEqual(len(await fetch_json(f"{url}/runs")), before)
        await self.traffic.stop()
        await self.check_oracle()
        self.assertEqual(self.count_said()[UNKNOWN], 0, self.traffic.codes)

    async def test_store_outage_refuses_only_what_must_run_once(self):
        """Guards against runs without a claim, and against a stop of the rest."""
        await self.set_store(outage="refuse")
        self.assertEqual(await self.traffic.call(ORDER_HISTORY, "h2"), COMPLETE)
        self.assertEqual(await self.traffic.call(RENEWALS, "h2"), NOT_RUN)
        self.assertEqual(self.traffic.codes["claim_unavailable"], 1)
        version = (await self.cluster.read_admin("h5"))["version"]
        await self.cluster.daemons["h5"].kill()
        await self.cluster.start_daemon("h5")
        await self.wait_for_routes(self.cluster.hosts)
        self.assertEqual((await self.cluster.read_admin("h5"))["version"], version)
        await self.set_store(outage="none")

        async def accepts_claims():
            return await self.traffic.call(RENEWALS, "h2") == COMPLETE

        await wait_until(accepts_claims, "renewals run again")
        await self.check_oracle()

    async def test_request_that_crashes_its_servers_is_condemned(self):
        """Guards against the loss of every backend server to one request."""
        mark = "crash-me"
        for plan in self.cluster.hosts.values():
            url = f"http://{plan.backend_address}/standin"
            async with self.session.post(url, json={"crash_mark": mark}) as reply:
                self.assertLess(reply.status, 300)
        for _ in range(6):
            for host in ("h2", "h4"):
                await self.traffic.call(ORDER_HISTORY, host, mark=mark)
        lost = [n for n, p in self.cluster.backends.items() if not p.running]
        self.assertLessEqual(len(lost), 2, self.traffic.codes)
        self.assertGreater(self.traffic.codes["condemned"], 0)
        self.assertEqual(await self.traffic.call(ORDER_HISTORY, "h2"), COMPLETE)
        code, output, _ = await self.cluster.run_almondctl("quarantine")
        self.assertEqual(code, 0)
        self.assertIn("crashed", output)
        fingerprint = output.splitlines()[1].split()[0]
        code, _, errors = await self.cluster.run_almondctl(
            "quarantine", "--lift", fingerprint
        )
        self.assertEqual(code, 0, errors)

        async def lifted():
            found = [
                await self.cluster.read_admin(name, "/quarantine")
                for name in self.cluster.hosts
            ]
            return not any(item["condemned"] for item in found)

        await wait_until(lifted, "no daemon condemns the request")

    async def test_kill_of_a_third_during_a_change(self):
        """Guards against a change that survivors or newcomers never get."""
        for name in ("h1", "h2"):
            await self.cluster.daemons[name].kill()
        await self.apply(TARGETS.replace("1500", "1400"))
        for name in ("h1", "h2"):
            await self.cluster.start_daemon(name)

        async def in_force():
            found = [await self.cluster.read_admin(n) for n in self.cluster.hosts]
            return {status["version"] for status in found} == {2}

        await wait_until(in_force, "version 2 is in force everywhere")
        code, output, _ = await self.cluster.run_almondctl("wait", "--version", "2")
        self.assertEqual(code, 0, output)
