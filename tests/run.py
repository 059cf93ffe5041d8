"""Runs the tests; prints and skips those that KNOWN-RED.txt lists."""

from __future__ import annotations

import gc
import random
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red() -> set[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists as known failures."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[1] for line in lines if line.startswith("test: ")}


def flatten_suite(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Return the test cases of a suite and of all suites nested in it."""
    cases = []
    for item in suite:
        cases += flatten_suite(item) if isinstance(item, unittest.TestSuite) else [item]
    return cases


class LeakDetectingResult(unittest.TextTestResult):
    """Reports errors that Python can only print, as of connections left open.

    They show when an object is collected, so that each module is collected after its
    last test and answers for what it left.
    """

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self._last: unittest.TestCase | None = None
        self._leaks: list[str] = []
        sys.unraisablehook = self._record_leak

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Check the module before if this is the first test of another one."""
        if (
            self._last is not None
            and type(self._last).__module__ != type(test).__module__
        ):
            self.check_leaks()
        self._last = test
        # Code that draws from the module's generator does so alike in each run.
        random.seed(test.id())
        super().startTest(test)

    def stopTestRun(self) -> None:  # noqa: N802
        """Check the last module."""
        self.check_leaks()
        super().stopTestRun()

    def check_leaks(self) -> None:
        """Collect what is not referenced; record an error if anything was left open."""
        gc.collect()
        if self._leaks:
            text = "\n".join(self._leaks)
            self._leaks.clear()
            self.errors.append((self._last, f"left open by this module:\n{text}"))

    def _record_leak(self, unraisable: sys.UnraisableHookArgs) -> None:
        self._leaks.append(f"{unraisable.object!r}: {unraisable.exc_value!r}")


def main() -> int:
    """Run all tests, or those whose ids contain an argument; return the exit code."""
    sys.path.insert(0, str(ROOT / "tests"))
    found = unittest.defaultTestLoader.discover(str(ROOT / "tests"))
    known_red = read_known_red()
    wanted = sys.argv[1:]
    cases = [
        case
        for case in flatten_suite(found)
        if not wanted or any(word in case.id() for word in wanted)
    ]
    known_red_ids = [case.id() for case in cases if case.id() in known_red]
    for name in known_red_ids:
        print(f"skipped as a known failure: {name}")
    suite = unittest.TestSuite(c for c in cases if c.id() not in known_red)
    runner = unittest.TextTestRunner(
        verbosity=1, buffer=True, resultclass=LeakDetectingResult
    )
    result = runner.run(suite)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    skipped = len(result.skipped) + len(known_red_ids)
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
