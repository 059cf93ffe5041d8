"""Command line of the daemon for the hosting platform."""

from __future__ import annotations

import argparse
import asyncio
import gc
import os
import resource
import signal
import sys
from collections.abc import Sequence
from dataclasses import replace

import uvloop

from almondrouter import __version__
from almondrouter.addresses import is_loopback
from almondrouter.coordination.callerlimits import PLATFORM_DESCRIPTORS
from almondrouter.errors import AlmondError, FindingsError
from almondrouter.logs import EventLogger, LineWriter, set_up_logs
from almondrouter.settings import parse_address
from almondrouterd.hostdaemon import HostDaemon
from almondrouterd.platform.settings import (
    SETTINGS_VARIABLE,
    HostSettings,
    read_host_settings,
)

_log = EventLogger("settings")
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)
MIN_DESCRIPTORS = 64
"""Descriptors below which the process could not reach the store and its peers."""
EXIT_OK = 0
EXIT_USAGE = 2


def main(argv: Sequence[str] | None = None) -> int:
    """Run the daemon until a stop signal; return the exit code."""
    arguments = build_parser().parse_args(argv)
    path = arguments.settings or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = read_host_settings(path, advertised_address=arguments.advertise)
        operator_address = arguments.operator_address or ""
        settings = replace(settings, operator_address=operator_address)
        if arguments.check:
            print("settings are valid")
            return EXIT_OK
        writer = set_up_logs(arguments.log_level, host=settings.host)
        limit_descriptors(settings.max_descriptors - PLATFORM_DESCRIPTORS)
        uvloop.install()
        # The objects made so far live as long as the process; collections skip them.
        gc.freeze()
        asyncio.run(run_daemon(settings, writer, path=path))
    except FindingsError as error:
        for finding in error.findings:
            print(f"almondrouterd-host: error: {finding}", file=sys.stderr)
        return EXIT_USAGE
    except AlmondError as error:
        print(f"almondrouterd-host: error: {error}", file=sys.stderr)
        return EXIT_USAGE
    return EXIT_OK


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="almondrouterd-host",
        description="Route the requests of one host of the hosting platform.",
        epilog="exit codes: 0 stopped gracefully, 2 invalid settings or address in use",
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--check", action="store_true", help="check the settings file and exit"
    )
    parser.add_argument(
        "--settings",
        metavar="FILE",
        help=f"settings file (default: the file that {SETTINGS_VARIABLE} names)",
    )
    parser.add_argument(
        "--advertise",
        metavar="ADDRESS",
        type=parse_address,
        help="ip:port that other daemons connect to, for hosts behind a port "
        "forwarder (default: the address that the daemon listens on)",
    )
    parser.add_argument(
        "--operator-address",
        metavar="IP:PORT",
        type=parse_loopback_address,
        help="loopback ip:port that answers almondctl explain call (default: none)",
    )
    parser.add_argument(
        "--log-level",
        choices=("debug", "info", "warning", "error"),
        default="debug",
        help="debug adds a line for each request that fails (default: debug)",
    )
    return parser


def parse_loopback_address(text: str) -> str:
    """Validate and return an ``ip:port`` that no other host can reach.

    Raises
    ------
    argparse.ArgumentTypeError
        If it is no address, or not on loopback.
    """
    try:
        address = parse_address(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from error
    if not is_loopback(address):
        raise argparse.ArgumentTypeError("must be an address on loopback")
    return address


async def run_daemon(settings: HostSettings, writer: LineWriter, *, path: str) -> None:
    """Run a daemon until SIGTERM or SIGINT, then stop it gracefully.

    Parameters
    ----------
    writer
        Writer of the log.
    path
        Settings file, which is reloaded at SIGHUP.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop.set)
    daemon = HostDaemon(settings, log_writer=writer)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, daemon, path)
    try:
        await daemon.start()
        await stop.wait()
        await daemon.drain()
    finally:
        await daemon.close()
        ignore_signals(loop)


def limit_descriptors(count: int) -> None:
    """Lower the limit on open descriptors of this process; never raise it.

    Notes
    -----
    The event loop accepts all connections that are waiting before a server can refuse
    any of them. Beyond the limit it closes them at once.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if count >= MIN_DESCRIPTORS and (soft == resource.RLIM_INFINITY or count < soft):
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


def ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore the signals that the event loop handled.

    Notes
    -----
    Their default action ends the process. An event loop restores it when it is closed,
    while the interpreter has yet to exit with the exit code.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    for number in HANDLED_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def reload_settings(daemon: HostDaemon, path: str) -> None:
    """Reload the settings file; an invalid one changes nothing."""
    try:
        advertised = daemon.settings.advertised_address
        settings = read_host_settings(path, advertised_address=advertised)
        address = daemon.settings.operator_address
        daemon.reload(replace(settings, operator_address=address))
    except FindingsError as error:
        findings = [str(finding) for finding in error.findings]
        _log.error(
            "settings file is invalid; keeping the settings in force", findings=findings
        )


if __name__ == "__main__":
    sys.exit(main())
