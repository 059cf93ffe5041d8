"""Failure tests on real processes; backend servers count the runs of each call."""

import asyncio
import tempfile
import unittest
from collections import Counter, defaultdict
from pathlib import Path

import aiohttp
import uuid6

from almondrouter.protocol import headers
from almondrouter_standins.backend import MARK_HEADER, SERVICE_TIME_HEADER
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
    """Sends calls, resends those that are not complete, and records all outcomes.

    A call whose connection fails has the outcome ``unknown``, or ``unsent`` if the
    connection could not be opened.

    Attributes
    ----------
    outcomes_by_mark
        Outcomes of all attempts of each call.
    classes
        Class of each call by mark.
    codes
        Number of responses by error code.
    wrong_responses
        Marks of calls that got the response of another call.
    """

    def __init__(self, cluster, session):
        self._cluster = cluster
        self._session = session
        self._tasks = []
        self._stopped = asyncio.Event()
        self.outcomes_by_mark = defaultdict(list)
        self.classes = {}
        self.codes = Counter()
        self.wrong_responses = []

    async def call(self, class_name, host, *, mark=None, key=None, work_ms=5):
        """Send one attempt of a call; return its outcome."""
        mark = mark or uuid6.uuid7().hex
        self.classes[mark] = class_name
        fields = {
            headers.CLASS: class_name,
            MARK_HEADER: mark,
            SERVICE_TIME_HEADER: str(work_ms),
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
                self.wrong_responses.append(mark)
        self.outcomes_by_mark[mark].append(outcome)
        return outcome

    async def call_until_complete(self, class_name, hosts):
        """Send a call; resend it with the same key through the next hosts."""
        mark, key = uuid6.uuid7().hex, str(uuid6.uuid7())
        for host in hosts[:MAX_ATTEMPTS]:
            outcome = await self.call(class_name, host, mark=mark, key=key)
            if outcome == COMPLETE:
                return

    def start(self, hosts, *, classes=(RENEWALS, ORDER_HISTORY), pause=0.01):
        """Start sending calls of each class through the hosts in turn."""
        for class_name in classes:
            self._tasks.append(
                asyncio.create_task(self._send_all(class_name, hosts, pause))
            )

    async def stop(self):
        """Stop sending, and wait for the calls in flight."""
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
    """Outcomes reported to callers and operators must match what ran."""

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
        self.store_control = self.cluster.allocate_address()
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
        """Replace the configuration by `targets` with ``almondctl``."""
        path = Path(self.cluster.directory) / "targets.toml"
        path.write_text(targets)
        code, _, errors = await self.cluster.run_almondctl(
            "apply", str(path), "--replace"
        )
        self.assertEqual(code, 0, errors)

    async def wait_for_routes(self, hosts, *, counts=None):
        """Wait until daemons are ready and have routes to all backend servers."""
        wanted = counts or {RENEWALS: 3, ORDER_HISTORY: 3, DEEDS: 2}

        async def routed():
            found = await asyncio.gather(*(self.cluster.read_admin(h) for h in hosts))
            return all(s["ready"] and s["routes"] == wanted for s in found)

        await wait_until(routed, f"routes {wanted} on {list(hosts)}")

    async def count_runs(self):
        """Return the number of runs of each mark on all backend servers."""
        runs = Counter()
        for plan in self.cluster.hosts.values():
            found = await fetch_json(f"http://{plan.backend_address}/runs")
            runs.update(run["mark"] for run in found)
        return runs

    async def check_outcomes_against_runs(self):
        """Check the outcomes that callers got against the runs.

        No call that is not repeatable ran twice, none reported as not run ran, and
        every complete one ran and got its own response.
        """
        runs = await self.count_runs()
        reported = self.traffic.outcomes_by_mark
        doubles = [
            mark
            for mark, count in runs.items()
            if count > 1 and self.traffic.classes.get(mark) != ORDER_HISTORY
        ]
        false_not_run = [
            mark
            for mark, outcomes in reported.items()
            if runs[mark] and set(outcomes) <= {NOT_RUN, "unsent"}
        ]
        never_run = [
            m
            for m, outcomes in reported.items()
            if COMPLETE in outcomes and not runs[m]
        ]
        self.assertEqual((doubles, false_not_run, never_run), ([], [], []))
        self.assertEqual(self.traffic.wrong_responses, [])

    def count_outcomes(self):
        """Return the number of attempts by outcome."""
        return Counter(
            o for outcomes in self.traffic.outcomes_by_mark.values() for o in outcomes
        )

    async def set_store_faults(self, **faults):
        """Inject faults into the store stand-in."""
        url = f"http://{self.store_control}/standin"
        async with self.session.post(url, json=faults) as response:
            self.assertEqual(response.status, 200, await response.text())

    async def test_kill_of_an_egress_daemon_under_load(self):
        """Guards against double runs and false reports of not run after a kill."""
        self.traffic.start(["h2", "h4"])
        await asyncio.sleep(1)
        await self.cluster.daemons["h1"].kill()
        await asyncio.sleep(2)
        await self.cluster.start_daemon("h1")
        await self.wait_for_routes(self.cluster.hosts)
        await self.traffic.stop()
        await self.check_outcomes_against_runs()
        self.assertEqual(await self.traffic.call(RENEWALS, "h2"), COMPLETE)

    async def test_frozen_egress_daemon_wakes_past_every_timeout(self):
        """Guards against runs of buffered calls whose callers have given up.

        A frozen daemon finds these calls in its socket buffers when it resumes.
        """
        self.traffic.start(["h2", "h4"])
        await asyncio.sleep(1)
        self.cluster.daemons["h1"].freeze()
        await asyncio.sleep(9)
        self.cluster.daemons["h1"].resume()
        await self.wait_for_routes(self.cluster.hosts)
        await self.traffic.stop()
        await self.check_outcomes_against_runs()
        self.assertGreater(self.count_outcomes()[COMPLETE], 100)

    async def test_graceful_stops_one_after_another_cut_no_call(self):
        """Guards against calls in flight that are lost in a planned stop."""
        self.traffic.start(["h2"])
        for name in ("h1", "h3", "h5"):
            self.assertEqual(await self.cluster.daemons[name].stop(), 0)
            await self.cluster.start_daemon(name)
            await self.wait_for_routes(self.cluster.hosts)
        await self.traffic.stop()
        await self.check_outcomes_against_runs()
        counts = self.count_outcomes()
        self.assertEqual(counts[UNKNOWN], 0, self.traffic.codes)
        self.assertGreater(counts[COMPLETE], 100)

    async def test_draining_backend_server_gets_no_new_work(self):
        """Guards against new calls to a backend server that is draining."""
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
        await self.check_outcomes_against_runs()
        self.assertEqual(self.count_outcomes()[UNKNOWN], 0, self.traffic.codes)

    async def test_store_outage_refuses_only_what_must_run_once(self):
        """Guards against runs without a claim, and refusals of repeatable calls.

        Only calls that are not repeatable need the store. A daemon that restarts
        during the outage must still get the current configuration.
        """
        await self.set_store_faults(outage="refuse")
        self.assertEqual(await self.traffic.call(ORDER_HISTORY, "h2"), COMPLETE)
        self.assertEqual(await self.traffic.call(RENEWALS, "h2"), NOT_RUN)
        self.assertEqual(self.traffic.codes["claim_unavailable"], 1)
        version = (await self.cluster.read_admin("h5"))["version"]
        await self.cluster.daemons["h5"].kill()
        await self.cluster.start_daemon("h5")
        await self.wait_for_routes(self.cluster.hosts)
        self.assertEqual((await self.cluster.read_admin("h5"))["version"], version)
        await self.set_store_faults(outage="none")

        async def accepts_claims():
            return await self.traffic.call(RENEWALS, "h2") == COMPLETE

        await wait_until(accepts_claims, "renewals run again")
        await self.check_outcomes_against_runs()

    async def test_request_that_crashes_its_servers_is_condemned(self):
        """Guards against one request that crashes every backend server it reaches."""
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
        """Guards against a change that never reaches some daemons.

        Two of five daemons are down when the configuration changes.
        """
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
