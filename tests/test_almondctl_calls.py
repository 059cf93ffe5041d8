"""The command almondctl explain call against a daemon that runs."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import os
import random
import tempfile
import unittest
from pathlib import Path

from almondctl.main import main
from almondrouter_standins.platform_fleet import OPERATOR_PORT, PlatformFleet
from almondrouterd.platform.main import build_parser
from platform_support import make_configuration

KEY = "secret-key-of-mill"
NAME = "shop.example/read/1"


async def run_command(*arguments):
    """Run a command; return its exit code and all that it prints."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        code = await asyncio.to_thread(main, ["explain", "call", *arguments])
    return int(code), output.getvalue()


class ExplainCallTest(unittest.IsolatedAsyncioTestCase):
    """Two real daemons on loopback whose configuration has a tenant with a quota."""

    async def test_explain_call(self):
        """Guards against unclear errors, and keys in what is printed or logged."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        fleet = PlatformFleet(
            Path(folder.name),
            hosts=2,
            random=random.Random(1),
            network_octet=110 + os.getpid() % 10,
        )
        fleet.serves_operators, fleet.key = True, KEY
        self.addAsyncCleanup(fleet.close)
        tenant = {"name": "mill", "api_keys": [KEY], "rate_per_s": 100.0, "burst": 9}
        await fleet.start(make_configuration(1, tenants=[tenant]))
        key_file = Path(folder.name) / "key"
        key_file.write_text(f"{KEY}\n")
        daemon = ("--daemon", f"{fleet.ips[0]}:{OPERATOR_PORT}")
        other = ("--daemon", f"{fleet.ips[0]}:7003")
        remote = ("--daemon", "192.0.2.1:7019")
        with_key = ("--key-file", str(key_file))
        runs = fleet.ledger.runs.total()
        for expected, text, arguments in (
            (0, "tenant mill", (NAME, *with_key, *daemon)),
            (0, "would be sent to", (NAME, "--tenant", "mill", *daemon)),
            (0, "would be sent to", (NAME, "--nested", *daemon)),
            (0, "refused: 401 key_unknown", (NAME, *daemon)),
            (1, "class_unknown", ("shop.example/none", *daemon)),
            (1, "target_unknown", (NAME, "--tenant", "x", *daemon)),
            (1, "does not answer questions", (NAME, *other)),
            (1, "peer_unavailable", (NAME, "--daemon", "127.0.0.1:1")),
            (2, "only sent to a daemon on loopback", (NAME, *with_key, *remote)),
            (2, "HOST/PATH", ("/read/1", *daemon)),
            (2, "cannot read the key", (NAME, "--key-file", folder.name, *daemon)),
        ):
            with self.subTest(text):
                code, output = await run_command(*arguments)
                self.assertEqual((expected, True), (code, text in output), output)
                self.assertNotIn(KEY, output)
        code, output = await run_command(NAME, *with_key, *daemon, "--output", "json")
        answer = json.loads(output)
        self.assertEqual((1, "r-read"), (answer["version"], answer["route"]))
        self.assertEqual(100.0, answer["quota"]["rate"])
        self.assertEqual(runs, fleet.ledger.runs.total())
        logs = b"".join(p.read_bytes() for p in Path(folder.name).glob("*log*"))
        self.assertIn(b"daemon started", logs)
        self.assertNotIn(KEY.encode(), logs)

    def test_operator_address_is_on_loopback(self):
        """Guards against an address for operators that other hosts reach."""
        parser = build_parser()
        for text in ("0.0.0.0:7019", "192.0.2.1:7019", "localhost", "[::]:7019"):
            errors = io.StringIO()
            with self.subTest(text), contextlib.redirect_stderr(errors):
                self.assertRaises(
                    SystemExit, parser.parse_args, ["--operator-address", text]
                )
        found = parser.parse_args(["--operator-address", "127.0.0.1:7019"])
        self.assertEqual("127.0.0.1:7019", found.operator_address)
        self.assertIsNone(parser.parse_args([]).operator_address)


if __name__ == "__main__":
    unittest.main()
