"""Tests that keep the pages true."""

import re
import unittest
from pathlib import Path

from parameterized import parameterized

from almondctl.settings import SETTINGS as COMMAND_SETTINGS
from almondrouter.errors import ErrorCode
from almondrouterd.settings import SETTINGS as DAEMON_SETTINGS

ROOT = Path(__file__).resolve().parent.parent


class ErrorPageTest(unittest.TestCase):
    """An error code that is not on the page leaves its reader alone."""

    def test_page_lists_exactly_the_codes(self):
        text = (ROOT / "docs" / "errors.md").read_text()
        listed = re.findall(r"^\| `([a-z_]+)` \|", text, flags=re.MULTILINE)
        self.assertEqual(sorted(listed), sorted(code.value for code in ErrorCode))


def read_section(page, title):
    """Return the text below a second-level title of a page."""
    text = (ROOT / "docs" / page).read_text()
    return text.partition(f"\n## {title}\n")[2].partition("\n## ")[0]


class SettingsPageTest(unittest.TestCase):
    """A setting that is missing, gone or altered misleads whoever sets it."""

    @parameterized.expand(
        [("almondrouterd", DAEMON_SETTINGS), ("almondctl", COMMAND_SETTINGS)]
    )
    def test_page_lists_exactly_the_settings(self, binary, settings):
        rows = re.findall(
            r"^\| `--([a-z-]+)` \| `([A-Z_]+)` \| (.*?) \| .+? \| .+ \|$",
            read_section("settings.md", binary),
            flags=re.MULTILINE,
        )
        expected = []
        for setting in settings:
            default = "required" if setting.default is None else f"`{setting.default}`"
            if setting.name == "author":
                default = "name of the user"
            expected.append((setting.name, setting.variable, default))
        self.assertEqual(rows, expected)
