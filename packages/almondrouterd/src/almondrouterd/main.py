"""Command line of almondrouterd."""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import Sequence

import uvloop

from almondrouter import __version__
from almondrouter.errors import FindingsError
from almondrouter.logs import set_up_logs
from almondrouter.settings import (
    FindingsParser,
    SettingValues,
    add_settings,
    read_settings,
)
from almondrouterd.daemon import Daemon
from almondrouterd.settings import SETTINGS

EXIT_OK = 0
EXIT_USAGE = 2

_EXAMPLES = """\
example:
  almondrouterd --cluster main --host h1 --data-centre north-1 --region north \\
    --caller-address 127.0.0.1:8000 --peer-address 127.0.0.1:8001 \\
    --control-address 127.0.0.1:8002 --admin-address 127.0.0.1:8003 \\
    --store 127.0.0.1:2379

SIGTERM and SIGINT stop the daemon gracefully: calls in flight are finished.

exit codes:
  0 stopped gracefully   2 invalid settings, or an address is in use
"""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the daemon until a stop signal; return the exit code."""
    parser = build_parser()
    try:
        arguments, unknown = parser.parse_known_args(argv)
        settings = read_settings(SETTINGS, arguments, os.environ, unknown_flags=unknown)
        if arguments.check or arguments.print_settings:
            _print_settings(settings, arguments)
            return EXIT_OK
        set_up_logs(settings["log-level"])
        uvloop.install()
        asyncio.run(run_daemon(settings))
    except FindingsError as error:
        for finding in error.findings:
            print(f"almondrouterd: error: {finding}", file=sys.stderr)
        return EXIT_USAGE
    return EXIT_OK


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = FindingsParser(
        prog="almondrouterd",
        description="Route calls and spread configuration beside a backend server.",
        epilog=_EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--print-settings",
        action="store_true",
        help="print the settings in force with their origin and exit",
    )
    add_settings(parser, SETTINGS)
    return parser


async def run_daemon(settings: SettingValues) -> None:
    """Run a daemon until SIGTERM or SIGINT, then stop it gracefully."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    daemon = Daemon(settings)
    try:
        await daemon.start()
        await stop.wait()
        await daemon.drain()
    finally:
        await daemon.close()


def _print_settings(settings: SettingValues, arguments: argparse.Namespace) -> None:
    if not arguments.print_settings:
        print("settings are valid")
        return
    for item in settings.describe():
        print(f"{item['name']} = {item['value']}  ({item['origin']})")


if __name__ == "__main__":
    sys.exit(main())
