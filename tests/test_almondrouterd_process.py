"""Tests of the daemon as a separate process."""

import asyncio
import contextlib
import os
import sys
import tempfile
import unittest
from pathlib import Path

import aiohttp
from parameterized import parameterized

from almondrouter.protocol import headers
from almondrouter_standins.processes import Cluster, wait_until

# Ends the daemon at its first attempt to start a child process: looking for children
# from outside could miss a short-lived one.
NO_CHILDREN = """
import os, sys
def refuse(event, arguments):
    if event in {"subprocess.Popen", "os.fork", "os.forkpty", "os.posix_spawn",
                 "os.spawn", "os.exec", "os.system"}:
        sys.stderr.write(f"started a process: {event} {arguments}\\n")
        os._exit(70)
sys.addaudithook(refuse)
from almondrouterd.main import main
sys.exit(main())
"""


async def run_daemon(*arguments, environment=None):
    """Run the daemon until it exits; return exit code, output and errors."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "almondrouterd.main"),
        *arguments,
        env={**os.environ, **(environment or {})},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


def make_flags(**changes):
    """Return the flags of a daemon on loopback."""
    flags = {
        "cluster": "test",
        "host": "h1",
        "data-centre": "north-1",
        "region": "north",
        "caller-address": "127.0.0.1:9",
        "peer-address": "127.0.0.1:9",
        "control-address": "127.0.0.1:9",
        "admin-address": "127.0.0.1:9",
        "store": "127.0.0.1:9",
        **changes,
    }
    return [
        text
        for name, value in flags.items()
        if value is not None
        for text in (f"--{name}", value)
    ]


def list_opened(process):
    """Return what the file descriptors of a process refer to."""
    opened = []
    for path in (process / "fd").iterdir():
        # A descriptor closed meanwhile is not an io_uring: an event loop keeps its own.
        with contextlib.suppress(FileNotFoundError):
            opened.append(os.readlink(path))
    return opened


class SettingsProcessTest(unittest.IsolatedAsyncioTestCase):
    """Guards against invalid settings that are accepted or not all reported."""

    @parameterized.expand(
        [
            ("unknown flag", ["--no-such-flag"], ["--no-such-flag"]),
            (
                "two findings",
                make_flags(host="UPPER", store="localhost"),
                ["--host", "--store"],
            ),
            ("missing settings", [], ["--cluster", "--host", "--store"]),
        ]
    )
    async def test_reports_findings(self, _name, flags, places):
        """Guards against a start that reports only the first invalid setting."""
        code, _, errors = await run_daemon(*flags)
        self.assertEqual(code, 2)
        for place in places:
            self.assertIn(f"error: {place}: [setting_", errors)
        self.assertNotIn("Traceback", errors)

    async def test_check_validates_only(self):
        """Guards against ``--check`` that starts the daemon."""
        code, output, _ = await run_daemon(*make_flags(), "--check")
        self.assertEqual((code, output), (0, "settings are valid\n"))

    async def test_prints_settings_with_their_origin(self):
        """Guards against an environment variable that is ignored or misreported."""
        flags = make_flags(host=None)
        environment = {"ALMONDROUTER_HOST": "from-environment"}
        _, output, _ = await run_daemon(
            *flags, "--print-settings", environment=environment
        )
        self.assertIn("host = from-environment  (environment)", output)
        self.assertIn("spread = economical  (default)", output)

    async def test_names_an_address_that_is_taken(self):
        """Guards against a bind error that does not name the setting."""
        with tempfile.TemporaryDirectory() as directory:
            cluster = Cluster(Path(directory))
            taken = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
            port = taken.sockets[0].getsockname()[1]
            flags = {
                f"{name}-address": cluster.allocate_address()
                for name in ("caller", "peer", "control")
            }
            address = f"127.0.0.1:{port}"
            code, _, errors = await run_daemon(
                *make_flags(**flags, **{"admin-address": address})
            )
            taken.close()
        self.assertEqual(code, 2)
        self.assertIn("--admin-address: [address_in_use]", errors)


class DaemonProcessTest(unittest.IsolatedAsyncioTestCase):
    """Guards against breaches of platform rules and calls to unready daemons."""

    async def asyncSetUp(self):
        self._directory = tempfile.TemporaryDirectory()
        self.addCleanup(self._directory.cleanup)
        self.cluster = Cluster(Path(self._directory.name))
        self.addAsyncCleanup(self.cluster.close)

    async def wait_until_ready(self, name):
        async def ready():
            return (await self.cluster.read_admin(name))["ready"]

        await wait_until(ready, f"{name} is ready")

    async def test_makes_no_io_uring_child_or_shared_memory(self):
        """Guards against forbidden kernel facilities and an unclean stop."""
        await self.cluster.start_store()
        self.cluster.plan_host(
            "h1", data_centre="dc-1", region="r1", service="accounts"
        )
        self.cluster.daemon_command = ("-c", NO_CHILDREN)
        program = await self.cluster.start_daemon("h1")
        await self.cluster.start_backend("h1")
        await self.wait_until_ready("h1")
        process = Path(f"/proc/{program.pid}")
        opened = list_opened(process)
        self.assertFalse([name for name in opened if "io_uring" in name])
        maps = (process / "maps").read_text()
        self.assertNotIn("/dev/shm", maps)
        self.assertNotIn("/SYSV", maps)
        children = [
            (task / "children").read_text() for task in (process / "task").iterdir()
        ]
        self.assertEqual("".join(children), "")
        self.assertEqual(await program.stop(), 0)

    async def test_starts_without_a_store_and_refuses_calls_as_not_run(self):
        """Guards against a daemon that exits, or reports calls as run."""
        self.cluster.plan_host("h1", data_centre="dc-1", region="r1")
        program = await self.cluster.start_daemon("h1")
        status = await self.cluster.read_admin("h1")
        self.assertFalse(status["ready"])
        self.assertNotEqual(status["reason"], "")
        address = self.cluster.hosts["h1"].daemon.caller
        fields = {headers.CLASS: "renewals"}
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"http://{address}/", headers=fields) as response,
        ):
            self.assertEqual(response.status, 503)
            self.assertEqual(response.headers[headers.OUTCOME], "not-run")
            self.assertEqual(response.headers[headers.CODE], "not_ready")
        self.assertTrue(program.running)

    async def test_starts_from_the_store_after_a_change_was_accepted(self):
        """Guards against a stored configuration that a starting daemon cannot read.

        Daemons that already watch the store see only the record of the change.
        """
        await self.cluster.start_store()
        self.cluster.plan_host("h1", data_centre="dc-1", region="r1")
        code, _, errors = await self.cluster.run_almondctl(
            "declare", "service", "accounts"
        )
        self.assertEqual(code, 0, errors)
        await self.cluster.start_daemon("h1")
        await self.wait_until_ready("h1")
        status = await self.cluster.read_admin("h1")
        self.assertEqual((status["version"], status["alarms"]), (1, {}))

    async def test_backend_server_is_announced_once_the_daemon_is_ready(self):
        """Guards against calls routed to a restarted daemon that is not ready."""
        for number in (1, 2):
            self.cluster.plan_host(
                f"h{number}", data_centre="dc-1", region="r1", service="accounts"
            )
        await self.cluster.start_daemon("h1")
        await self.cluster.start_backend("h1")

        async def monitored():
            return (await self.cluster.read_admin("h1"))["backends"] != []

        await wait_until(monitored, "the daemon knows its backend server")
        status = await self.cluster.read_admin("h1")
        self.assertEqual((status["ready"], status["announced"]), (False, []))
        await self.cluster.start_store()
        await self.wait_until_ready("h1")

        async def announced():
            return (await self.cluster.read_admin("h1"))["announced"] != []

        await wait_until(announced, "the backend server is announced")
