"""Tests that the documentation lists what the code defines."""

import re
import unittest
from pathlib import Path

from parameterized import parameterized

import almondrouter
from almondctl.settings import SETTINGS as COMMAND_SETTINGS
from almondrouter.errors import ErrorCode
from almondrouter.protocol import calls, codec, control
from almondrouter.transport import backends, callers, envelopes, links
from almondrouterd.settings import SETTINGS as DAEMON_SETTINGS

ROOT = Path(__file__).resolve().parent.parent


class ErrorPageTest(unittest.TestCase):
    """Guards against error codes that are undocumented or no longer exist."""

    def test_page_lists_exactly_the_codes(self):
        text = (ROOT / "docs" / "errors.md").read_text()
        listed = re.findall(r"^\| `([a-z_]+)` \|", text, flags=re.MULTILINE)
        self.assertEqual(sorted(listed), sorted(code.value for code in ErrorCode))


def read_section(page, title):
    """Return the text of a page below a second-level heading."""
    text = (ROOT / "docs" / page).read_text()
    return text.partition(f"\n## {title}\n")[2].partition("\n## ")[0]


class SettingsPageTest(unittest.TestCase):
    """Guards against undocumented or removed settings and outdated defaults."""

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


class ProtocolPageTest(unittest.TestCase):
    """Guards against messages, tags and limits that differ from the protocol page."""

    TEXT = (ROOT / "docs" / "protocol.md").read_text()

    @parameterized.expand(
        [
            ("control", control.ControlMessage, r"`(\w+)` (?:\||\()\s?`([a-z]{2})`"),
            ("call", calls.CallFrame, r"^\| `(\w+)` \| (\d+) \|"),
        ]
    )
    def test_page_lists_exactly_the_messages(self, _name, union, pattern):
        listed = re.findall(pattern, self.TEXT, flags=re.MULTILINE)
        messages = union.__args__
        expected = {(m.__name__, str(m.__struct_config__.tag)) for m in messages}
        self.assertEqual(set(listed), expected)

    @parameterized.expand(
        [
            (codec.MAX_CONTROL_FRAME_BYTES,),
            (codec.MAX_CALL_FRAME_BYTES,),
            (envelopes.MAX_ENVELOPE_BYTES,),
            (backends.MAX_RESPONSE_BYTES,),
            (backends.MAX_HEADER_BYTES,),
            (callers.MAX_HEADER_BYTES,),
            (callers.MAX_CONNECTIONS,),
            (links.MAX_OPEN_CALLS,),
        ]
    )
    def test_page_names_limit(self, limit):
        self.assertIn(f"{limit:,}", self.TEXT)


class DesignPageTest(unittest.TestCase):
    """Guards against modules that are missing from the list of layers."""

    def test_page_lists_exactly_the_modules(self):
        root = Path(almondrouter.__file__).parent
        modules = {str(path.relative_to(root)) for path in root.rglob("*.py")}
        text = (ROOT / "docs" / "design.md").read_text()
        listed = re.findall(r"^  ([a-z/_]+\.py) ", text, flags=re.MULTILINE)
        expected = sorted(m for m in modules if not m.endswith("__init__.py"))
        self.assertEqual(sorted(listed), expected)
