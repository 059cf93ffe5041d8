"""Runs the shell commands of the operators' guide as written."""

import asyncio
import os
import re
import shlex
import sys
import tempfile
import unittest
from pathlib import Path

from almondrouter_standins.processes import Cluster, wait_until

ROOT = Path(__file__).resolve().parent.parent
GUIDE = ROOT / "docs" / "operators.md"
MODULES = {"almondctl": "almondctl.main", "almondrouterd": "almondrouterd.main"}
UNKNOWN_FINGERPRINT = "0123456789abcdef" * 2


def read_command_lines():
    """Return the lines of the guide's shell blocks, with continued lines joined."""
    blocks = re.findall(r"^```sh\n(.*?)^```$", GUIDE.read_text(), re.M | re.S)
    return "".join(blocks).replace("\\\n", "").splitlines()


async def run_command(words, environment):
    """Run a command of the guide; return its exit code, stdout and stderr."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", MODULES[words[0]]),
        *words[1:],
        cwd=ROOT,
        env={**os.environ, **environment},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


class GuideTest(unittest.IsolatedAsyncioTestCase):
    """Guards against commands in the guide that do not work as written.

    A comment ``# exit code N`` in the guide marks an expected exit code other than 0.
    """

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.cluster = Cluster(Path(directory.name), cluster="main")
        self.addAsyncCleanup(self.cluster.close)

    async def start_cluster(self):
        """Start two hosts with a backend server for each service of the guide."""
        for name, service in (("h1", "accounts"), ("h2", "manuscripts")):
            self.cluster.plan_host(
                name, data_centre="north-1", region="north", service=service
            )
        await self.cluster.start_all()

        async def ready():
            found = [await self.cluster.read_admin(n) for n in self.cluster.hosts]
            return all(status["ready"] for status in found)

        await wait_until(ready, "both daemons are ready")

    async def test_every_command_ends_as_the_guide_says(self):
        await self.start_cluster()
        admin = ",".join(plan.daemon.admin for plan in self.cluster.hosts.values())
        addresses = {
            "ALMONDROUTER_STORE": self.cluster.store_address,
            "ALMONDROUTER_DAEMON": admin,
        }
        environment = {}
        change = "VERSION:CHANGE-ID"
        command_count = 0
        for line in read_command_lines():
            text = line.replace("VERSION:CHANGE-ID", change)
            words = shlex.split(text.replace("FINGERPRINT", UNKNOWN_FINGERPRINT), True)
            if words[0] == "export":
                for name, value in (word.split("=", 1) for word in words[1:]):
                    environment[name] = addresses.get(name, value)
                continue
            if words[0] == "almondrouterd":
                # The daemon checks its settings and exits instead of serving.
                words.append("--check")
            exit_code_match = re.search(r"# exit code (\d)", line)
            expected = int(exit_code_match[1]) if exit_code_match else 0
            # The fingerprint that replaces FINGERPRINT is not quarantined.
            if "--lift FINGERPRINT" in line:
                expected = 1
            code, output, errors = await run_command(words, environment)
            with self.subTest(line):
                report = f"{output}{errors}"
                self.assertEqual(code, expected, report)
                self.assertEqual("target_unknown" in report, "--lift" in line)
            change = next(iter(re.findall(r"change (\d+:\S+)", output)), change)
            command_count += 1
        self.assertGreater(command_count, 15)
