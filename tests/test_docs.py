"""Tests that keep the pages true."""

import re
import unittest
from pathlib import Path

from almondrouter.errors import ErrorCode

ROOT = Path(__file__).resolve().parent.parent


class ErrorPageTest(unittest.TestCase):
    """An error code that is not on the page leaves its reader alone."""

    def test_page_lists_exactly_the_codes(self):
        text = (ROOT / "docs" / "errors.md").read_text()
        listed = re.findall(r"^\| `([a-z_]+)` \|", text, flags=re.MULTILINE)
        self.assertEqual(sorted(listed), sorted(code.value for code in ErrorCode))
