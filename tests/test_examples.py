"""Runs the example programs against a daemon."""

import asyncio
import sys
import tempfile
import unittest
from pathlib import Path

from almondrouter_standins.processes import Cluster, wait_until

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


async def start_example(script, *flags):
    """Start an example program with command line flags."""
    return await asyncio.create_subprocess_exec(
        *(sys.executable, str(EXAMPLES / script)),
        *flags,
        stdout=asyncio.subprocess.PIPE,
    )


class ExampleTest(unittest.IsolatedAsyncioTestCase):
    """Guards against examples that no longer work with the current daemon."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.cluster = Cluster(Path(directory.name))
        self.addAsyncCleanup(self.cluster.close)

    async def wait_until_ready(self):
        async def ready():
            return (await self.cluster.read_admin("h1"))["ready"]

        await wait_until(ready, "the daemon is ready")

    async def wait_for_routes(self, count):
        async def routed():
            routes = (await self.cluster.read_admin("h1"))["routes"]
            return routes.get("renewals") == count

        await wait_until(routed, f"{count} backend servers for renewals")

    async def test_caller_is_answered_by_backend_server_until_it_drains(self):
        self.cluster.plan_host("h1", data_centre="dc-1", region="r1")
        await self.cluster.start_all()
        await self.wait_until_ready()
        daemon = self.cluster.hosts["h1"].daemon
        server = await start_example(
            "backend_server.py",
            *("--name", "accounts-1", "--service", "accounts"),
            *("--address", self.cluster.allocate_address(), "--daemon", daemon.admin),
        )
        self.addCleanup(lambda: server.returncode is None and server.kill())
        targets = str(EXAMPLES / "wierszownia.toml")
        code, _, errors = await self.cluster.run_almondctl("apply", targets)
        self.assertEqual(code, 0, errors)
        await self.wait_for_routes(1)
        caller = await start_example(
            "caller.py", "--daemon", daemon.caller, "--class", "renewals", "one year"
        )
        output, _ = await caller.communicate()
        self.assertEqual(caller.returncode, 0)
        self.assertIn(b"'one year' answered with", output)
        server.terminate()
        await server.communicate()
        self.assertEqual(server.returncode, 0)
        await self.wait_for_routes(0)
