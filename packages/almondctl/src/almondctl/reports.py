"""Commands that show the configuration, its history and the status of the fleet."""

from __future__ import annotations

import argparse
import asyncio
from datetime import UTC, datetime
from typing import Any

import msgspec

from almondctl.calls import explain_call
from almondctl.changes import describe_acceptance
from almondctl.connections import CLOCK, Connections
from almondctl.exits import ExitCode
from almondctl.output import Result, format_table, print_progress
from almondrouter.errors import ErrorCode, Finding, FindingsError

_POLL_INTERVAL_S = 0.2


async def show(arguments: argparse.Namespace, connections: Connections) -> Result:
    """Show the targets that the store holds."""
    configuration, _ = await connections.writer.read()
    lines = [f"version {configuration.version}, digest {configuration.digest()}"]
    for kind in ("services", "classes"):
        for name, target in sorted(getattr(configuration, kind).items()):
            lines.append(f"[{kind}.{name}]")
            fields = msgspec.to_builtins(target)
            lines += [f"  {key} = {value}" for key, value in fields.items()]
    data = {
        "digest": configuration.digest(),
        **msgspec.to_builtins(configuration),
    }
    return Result(data, tuple(lines))


async def history(arguments: argparse.Namespace, connections: Connections) -> Result:
    """List the latest changes with author, time and reason."""
    records = await connections.writer.list_history(arguments.limit)
    rows = [
        (
            record.version,
            datetime.fromtimestamp(record.accepted_at, UTC).isoformat(
                timespec="seconds"
            ),
            record.author,
            ", ".join(sorted(record.change.changed_targets())),
            record.reason,
        )
        for record in records
    ]
    header = ("VERSION", "TIME", "AUTHOR", "TARGETS", "REASON")
    data = {"changes": [msgspec.to_builtins(record) for record in records]}
    return Result(data, tuple(format_table(header, rows)))


async def change(arguments: argparse.Namespace, connections: Connections) -> Result:
    """Find out whether a change of unknown outcome was accepted."""
    version, _, change_id = arguments.change.partition(":")
    if not version.isdecimal() or not change_id:
        message = "must be VERSION:CHANGE-ID as printed when the change was submitted"
        finding = Finding("change", ErrorCode.SETTING_INVALID, message)
        raise FindingsError([finding])
    acceptance = await connections.writer.resolve(int(version), change_id)
    return describe_acceptance(acceptance)


async def status(arguments: argparse.Namespace, connections: Connections) -> Result:
    """Show versions in force, outdated and unreachable hosts by data centre."""
    fleet = await connections.request_daemon("/fleet")
    rows = [
        (
            item["data_centre"],
            item["hosts"],
            item["ready"],
            _format_versions(item["versions"]),
            ", ".join(item["behind"]) or "-",
            ", ".join(item["unreachable"]) or "-",
        )
        for item in fleet["data_centres"]
    ]
    header = ("DATA CENTRE", "HOSTS", "READY", "VERSIONS", "BEHIND", "UNREACHABLE")
    lines = format_table(header, rows)
    lines += [f"alarm: {name}: {text}" for name, text in fleet["alarms"].items()]
    return Result(fleet, tuple(lines))


async def wait(arguments: argparse.Namespace, connections: Connections) -> Result:
    """Wait until a version is in force on every daemon."""
    version = arguments.version
    if version is None:
        configuration, _ = await connections.writer.read()
        version = configuration.version
    started = CLOCK.monotonic()
    deadline = connections.deadline
    output = connections.settings["output"]
    last_progress = ""
    while True:
        fleet = await connections.request_daemon(f"/fleet?version={version}")
        behind = _list_behind(fleet)
        if not behind:
            waited_ms = round((CLOCK.monotonic() - started) * 1000)
            data = {"version": version, "converged": True, "waited_ms": waited_ms}
            line = f"version {version} is in force on {fleet['hosts']} daemons"
            return Result(data, (line,))
        progress = f"waiting for {len(behind)} of {fleet['hosts']} daemons"
        if progress != last_progress:
            print_progress(progress, output=output)
            last_progress = progress
        if CLOCK.monotonic() >= deadline:
            data = {"version": version, "converged": False, "behind": behind}
            line = f"version {version} is not in force on: {', '.join(behind)}"
            return Result(data, (line,), ExitCode.NOT_CONVERGED)
        await asyncio.sleep(_POLL_INTERVAL_S)


async def explain(arguments: argparse.Namespace, connections: Connections) -> Result:
    """Show a daemon's explanation of a class, a request, its version or a call."""
    if arguments.about == "call":
        return await explain_call(arguments, connections)
    answer = await connections.request_daemon(
        f"/explain/{arguments.about}/{arguments.name}"
    )
    return Result(answer, tuple(answer["lines"]))


async def quarantine(arguments: argparse.Namespace, connections: Connections) -> Result:
    """List condemned requests, or lift one."""
    if arguments.lift:
        path = f"/quarantine/{arguments.lift}"
        answer = await connections.request_daemon(path, method="DELETE")
        return Result(answer, (f"lifted {arguments.lift}",))
    answer = await connections.request_daemon("/quarantine")
    rows = [(item["fingerprint"], item["reason"]) for item in answer["condemned"]]
    lines = format_table(("FINGERPRINT", "REASON"), rows)
    return Result(answer, tuple(lines) if rows else ("no request is condemned",))


def _list_behind(fleet: dict[str, Any]) -> list[str]:
    return [
        host
        for item in fleet["data_centres"]
        for host in (*item["behind"], *item["unreachable"])
    ]


def _format_versions(versions: dict[str, int]) -> str:
    items = sorted(versions.items(), key=lambda item: -int(item[0]))
    return ", ".join(f"{version} ({count})" for version, count in items) or "-"
