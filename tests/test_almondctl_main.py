"""Tests of almondctl against a simulated store."""

import asyncio
import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

from almondctl.main import main
from almondrouter.clock import SystemClock
from almondrouter_standins.store import StoreStandIn

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples"

TARGETS = """
[services.accounts]
[classes.renewals]
service = "accounts"
answer_within_ms = 250
"""


class AlmondctlTest(unittest.IsolatedAsyncioTestCase):
    """Guards against output that does not match the content of the store."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.store = StoreStandIn(clock=SystemClock())
        await self.store.start()
        self.addAsyncCleanup(self.store.close)

    async def run_command(self, *arguments):
        """Run a command; return its exit code, output and errors."""
        address = self.store.address
        output, errors = io.StringIO(), io.StringIO()
        flags = ("--store", address, "--timeout", "1.5")
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = await asyncio.to_thread(main, [*arguments, *flags])
        return int(code), output.getvalue(), errors.getvalue()

    async def run_all(self, *commands):
        """Run commands that must succeed; return the last output."""
        output = ""
        for command in commands:
            code, output, errors = await self.run_command(*command.split())
            self.assertEqual(code, 0, errors + output)
        return output

    def write_targets(self, text):
        """Write a target file; return its path."""
        path = self.directory / "targets.toml"
        path.write_text(text)
        return str(path)

    async def test_declare_revise_withdraw_and_history(self):
        """Guards against changes that are lost or missing in the history."""
        await self.run_all(
            "declare service accounts --reason first",
            "declare class renewals --service accounts --answer-within-ms 250",
            "revise class renewals --answer-within-ms 400 --expect-version 2",
            "withdraw class renewals --replace",
        )
        shown = json.loads(await self.run_all("show --output json"))
        self.assertEqual((shown["version"], shown["classes"]), (4, {}))
        history = json.loads(await self.run_all("history --output json"))
        versions = [change["version"] for change in history["changes"]]
        self.assertEqual(versions, [4, 3, 2, 1])
        self.assertEqual(history["changes"][-1]["reason"], "first")

    async def test_revise_keeps_the_other_fields(self):
        """Guards against a revision that resets fields that it does not name."""
        await self.run_all(
            "declare service accounts",
            "declare class renewals --service accounts --answer-within-ms 250"
            " --priority critical --calls-per-second 5",
            "revise class renewals --unset calls-per-second --share 0.5 --replace",
        )
        shown = json.loads(await self.run_all("show --output json"))
        target = shown["classes"]["renewals"]
        self.assertEqual(target["priority"], "critical")
        self.assertEqual(target["share"], 0.5)
        self.assertIsNone(target["calls_per_second"])

    @parameterized.expand(
        [
            (
                "target changed since the expected version",
                "revise class renewals --share 0.5 --expect-version 0",
                3,
                "version_conflict",
            ),
            ("declared twice", "declare service accounts", 3, "name_duplicate"),
            ("unknown target", "withdraw class other --replace", 3, "target_unknown"),
            (
                "service still in use",
                "withdraw service accounts --replace",
                3,
                "service_unknown",
            ),
            (
                "value out of range",
                "revise class renewals --share 7 --replace",
                3,
                "value_out_of_range",
            ),
            ("unknown flag", "show --colour", 2, "setting_invalid"),
            ("unknown command", "explode", 2, "setting_invalid"),
            ("missing daemon", "status", 2, "setting_missing"),
            ("unreadable file", "validate no-such-file.toml", 3, "file_unreadable"),
        ]
    )
    async def test_refused_commands_change_nothing(
        self, _name, command, code, error_code
    ):
        """Guards against a refused command that changes the store or exits with 0."""
        await self.run_all(f"apply {self.write_targets(TARGETS)}")
        found, output, errors = await self.run_command(
            *command.split(), "--output", "json"
        )
        self.assertEqual(found, code, output + errors)
        self.assertIn(error_code, output + errors)
        shown = json.loads(await self.run_all("show --output json"))
        self.assertEqual(shown["version"], 1)

    async def test_invalid_file_reports_every_error_with_its_place(self):
        """Guards against a report that ends at the first error of a file."""
        path = self.write_targets(
            TARGETS.replace("250", '"soon"') + '[classes.other]\nservice = "x"\n'
            "answer_within_ms = 0\n[machines]\n"
        )
        code, _, errors = await self.run_command("apply", path)
        self.assertEqual(code, 3)
        for place in (
            "machines:",
            "classes.renewals:",
            "classes.other.service:",
            "classes.other.answer_within_ms:",
        ):
            self.assertIn(f"error: {place}", errors)

    async def test_diff_and_dry_run_change_nothing(self):
        """Guards against a preview that changes the store."""
        path = self.write_targets(TARGETS)
        self.assertIn("+ services.accounts", await self.run_all(f"diff {path}"))
        await self.run_all(f"apply {path} --dry-run")
        shown = json.loads(await self.run_all("show --output json"))
        self.assertEqual(shown["version"], 0)

    async def test_withdraw_others_withdraws_targets_missing_in_the_file(self):
        """Guards against targets that outlive their removal from the file."""
        await self.run_all(f"apply {self.write_targets(TARGETS)}")
        path = self.write_targets("[services.documents]\n")
        await self.run_all(f"apply {path} --withdraw-others --replace")
        shown = json.loads(await self.run_all("show --output json"))
        self.assertEqual(list(shown["services"]), ["documents"])
        self.assertEqual(shown["classes"], {})

    async def test_store_outage_is_a_failure(self):
        """Guards against exit code 0 although the store is unavailable."""
        await self.store.close()
        code, _, errors = await self.run_command("declare", "service", "accounts")
        self.assertEqual(code, 1)
        self.assertIn("store_unavailable", errors)

    async def test_lost_store_response_is_resolved_by_reading_back(self):
        """Guards against an accepted change that is reported as failed."""
        await self.store.set_faults(lose_answers=1)
        code, output, errors = await self.run_command("declare", "service", "accounts")
        self.assertEqual(code, 0, output + errors)
        shown = json.loads(await self.run_all("show --output json"))
        self.assertEqual(shown["version"], 1)

    async def test_examples_are_valid(self):
        """Guards against example files that the command refuses."""
        for path in sorted(EXAMPLES.glob("*.toml")):
            with self.subTest(path.name):
                self.assertIn("valid", await self.run_all(f"validate {path}"))
