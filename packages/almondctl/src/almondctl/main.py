"""Command line of almondctl."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from collections.abc import Sequence

from almondctl import changes, logs, reports
from almondctl.connections import Connections
from almondctl.exits import ExitCode
from almondctl.output import print_result, report_error
from almondctl.settings import SETTINGS
from almondrouter import __version__
from almondrouter.errors import AlmondError, ErrorCode, FindingsError
from almondrouter.settings import (
    FindingsParser,
    SettingValues,
    add_settings,
    read_settings,
)

_EXAMPLES = """\
examples:
  almondctl declare service accounts --reason "first targets"
  almondctl declare class renewals --service accounts --answer-within-ms 250
  almondctl revise class renewals --answer-within-ms 400 --expect-version 2
  almondctl withdraw class renewals --replace --reason "no longer sold"
  almondctl diff targets.toml
  almondctl apply targets.toml --replace --reason "new manager"
  almondctl wait --version 5
  almondctl status --output json

exit codes:
  0 done or accepted   1 failed        2 invalid usage or settings
  3 change refused     4 outcome unknown   5 not in force everywhere in time
"""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line; return the exit code."""
    parser = build_parser()
    output = "text"
    try:
        arguments, unknown = parser.parse_known_args(argv)
        settings = read_settings(SETTINGS, arguments, os.environ, unknown_flags=unknown)
        output = settings["output"]
        return asyncio.run(_run_command(arguments, settings))
    except FindingsError as error:
        report_error(error, output=output)
        return _find_exit_code(error)
    except AlmondError as error:
        report_error(error, output=output)
        return _find_exit_code(error)
    except KeyboardInterrupt:
        return ExitCode.FAILED


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = FindingsParser(
        prog="almondctl",
        description="Declare, revise and withdraw targets, and show their status.",
        epilog=_EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_target_commands(commands)
    _add_file_commands(commands)
    _add_report_commands(commands)
    return parser


async def _run_command(arguments: argparse.Namespace, settings: SettingValues) -> int:
    connections = Connections(settings)
    try:
        result = await arguments.run(arguments, connections)
    finally:
        await connections.close()
    print_result(result, output=settings["output"])
    return result.exit_code


def _find_exit_code(error: AlmondError) -> ExitCode:
    usage = (ErrorCode.SETTING_INVALID, ErrorCode.SETTING_MISSING)
    if error.code in usage:
        return ExitCode.USAGE
    if error.code is ErrorCode.STORE_OUTCOME_UNKNOWN:
        return ExitCode.UNKNOWN
    if isinstance(error, FindingsError):
        return ExitCode.REFUSED
    return ExitCode.FAILED


def _add_command(
    commands: argparse._SubParsersAction, name: str, run: object, summary: str
) -> argparse.ArgumentParser:
    parser = commands.add_parser(name, help=summary, description=summary)
    parser.set_defaults(run=run)
    add_settings(parser, SETTINGS)
    return parser


def _add_change_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--reason", default="", help="reason that the history shows")
    parser.add_argument(
        "--expect-version",
        type=int,
        metavar="N",
        help="latest version you know; a later change to the target refuses this one",
    )
    parser.add_argument(
        "--replace", action="store_true", help="override any earlier change"
    )
    parser.add_argument(
        "--dry-run", action="store_true", help="check and show the change only"
    )


def _add_target_commands(commands: argparse._SubParsersAction) -> None:
    for name, run, summary in (
        ("declare", changes.declare, "Declare a new target."),
        ("revise", changes.revise, "Change fields of a target."),
        ("withdraw", changes.withdraw, "Withdraw a target."),
    ):
        parent = commands.add_parser(name, help=summary, description=summary)
        kinds = parent.add_subparsers(dest="kind", required=True, metavar="KIND")
        for kind in ("service", "class"):
            parser = _add_command(kinds, kind, run, f"{summary[:-1]} of a {kind}.")
            parser.add_argument("name", help=f"name of the {kind}")
            _add_change_flags(parser)
            if name != "withdraw":
                _add_target_field_flags(parser, kind)
            if name == "revise":
                parser.add_argument(
                    "--unset", action="append", metavar="FIELD", help="remove a field"
                )


def _add_target_field_flags(parser: argparse.ArgumentParser, kind: str) -> None:
    parser.add_argument(
        "--calls-per-second", type=float, metavar="N", help="fleet-wide rate limit"
    )
    parser.add_argument(
        "--data-centre",
        dest="data_centres",
        action="append",
        metavar="NAME",
        help="data centre that may serve it; repeat for several",
    )
    if kind == "service":
        return
    parser.add_argument("--service", metavar="NAME", help="service that answers it")
    parser.add_argument(
        "--answer-within-ms",
        type=int,
        metavar="MS",
        help="time within which calls have to be answered",
    )
    parser.add_argument(
        "--share",
        type=float,
        metavar="S",
        help="share of calls to answer within that time",
    )
    parser.add_argument(
        "--repeatable",
        action=argparse.BooleanOptionalAction,
        default=None,
        help="whether a call may run more than once",
    )
    parser.add_argument(
        "--priority",
        choices=("critical", "normal", "deferrable"),
        help="priority of its calls under overload",
    )


def _add_file_commands(commands: argparse._SubParsersAction) -> None:
    parser = _add_command(
        commands, "validate", changes.validate, "Check a file of targets."
    )
    parser.add_argument("file", help="TOML file")
    parser = _add_command(
        commands, "diff", changes.diff, "Show what applying a file would change."
    )
    parser.add_argument("file", help="TOML file")
    _add_withdraw_others_flag(parser)
    parser = _add_command(
        commands, "apply", changes.apply, "Declare and revise the targets of a file."
    )
    parser.add_argument("file", help="TOML file")
    _add_withdraw_others_flag(parser)
    _add_change_flags(parser)


def _add_withdraw_others_flag(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--withdraw-others",
        action="store_true",
        help="withdraw targets that the file does not name",
    )


def _add_report_commands(commands: argparse._SubParsersAction) -> None:
    _add_command(commands, "show", reports.show, "Show the targets in the store.")
    parser = _add_command(
        commands, "history", reports.history, "List changes with author and reason."
    )
    parser.add_argument(
        "--limit", type=int, default=20, help="number of changes, newest first"
    )
    parser = _add_command(
        commands, "change", reports.change, "Resolve a change of unknown outcome."
    )
    parser.add_argument("change", metavar="VERSION:CHANGE-ID")
    _add_command(commands, "status", reports.status, "Show the fleet by data centre.")
    parser = _add_command(
        commands, "wait", reports.wait, "Wait until a version is in force everywhere."
    )
    parser.add_argument(
        "--version", type=int, metavar="N", help="default: the latest in the store"
    )
    parser = _add_command(
        commands, "explain", reports.explain, "Explain a decision of a daemon."
    )
    parser.add_argument("about", choices=("class", "request", "version", "call"))
    parser.add_argument(
        "name",
        help="name of the class, fingerprint of the request, version, or HOST/PATH of "
        "a call, which is not sent",
    )
    _add_call_flags(parser)
    parser = _add_command(
        commands,
        "logs",
        logs.explain_logs,
        "Show the log lines on a request or version.",
    )
    parser.add_argument("about", choices=("request", "version"))
    parser.add_argument("name", help="id of a request, or number of a version")
    parser.add_argument("files", nargs="+", metavar="FILE", help="log files of daemons")
    parser = _add_command(
        commands, "quarantine", reports.quarantine, "List or lift condemned requests."
    )
    parser.add_argument("--lift", metavar="FINGERPRINT")


def _add_call_flags(parser: argparse.ArgumentParser) -> None:
    group = parser.add_argument_group("flags for a call")
    group.add_argument("--method", default="GET", help="HTTP method (default: GET)")
    tenants = group.add_mutually_exclusive_group()
    tenants.add_argument(
        "--key-file",
        metavar="FILE",
        default="",
        help="file that holds the key of the tenant; - for standard input",
    )
    tenants.add_argument(
        "--tenant", metavar="NAME", default="", help="tenant, in place of its key"
    )
    group.add_argument(
        "--body-bytes", type=int, default=0, metavar="N", help="length of the body"
    )
    group.add_argument(
        "--nested",
        action="store_true",
        help="the backend server beside the daemon makes it for a request that it runs",
    )


if __name__ == "__main__":
    sys.exit(main())
