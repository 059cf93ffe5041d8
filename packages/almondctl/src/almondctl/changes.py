"""Commands that change targets or preview a change."""

from __future__ import annotations

import argparse
from typing import Any

import msgspec

from almondctl.connections import Connections
from almondctl.exits import ExitCode
from almondctl.files import convert_document, read_target_file
from almondctl.output import Result, describe_findings
from almondrouter.coordination.acceptance import Acceptance
from almondrouter.errors import AlmondError, ErrorCode, Finding, FindingsError
from almondrouter.state.changes import (
    Change,
    Target,
    apply_change,
    compare_configurations,
)
from almondrouter.state.targets import ClassTarget, Configuration, ServiceTarget

_EXIT_CODE_BY_STATUS = {
    "accepted": ExitCode.OK,
    "refused": ExitCode.REFUSED,
    "unknown": ExitCode.UNKNOWN,
}


async def declare(arguments: argparse.Namespace, connections: Connections) -> Result:
    """Declare a target that does not exist yet."""
    current, _ = await connections.writer.read()
    if arguments.name in _get_targets(current, arguments.kind):
        message = "is already declared; use 'almondctl revise'"
        raise _make_target_error(arguments, ErrorCode.NAME_DUPLICATE, message)
    target = _convert_target(arguments, _read_fields(arguments))
    change = _make_set_change(arguments.kind, arguments.name, target)
    return await _submit_change(arguments, connections, change, current)


async def revise(arguments: argparse.Namespace, connections: Connections) -> Result:
    """Change the named fields of a target and keep the others."""
    current, _ = await connections.writer.read()
    existing = _get_targets(current, arguments.kind).get(arguments.name)
    if existing is None:
        message = "is not declared; use 'almondctl declare'"
        raise _make_target_error(arguments, ErrorCode.TARGET_UNKNOWN, message)
    fields = {**msgspec.to_builtins(existing), **_read_fields(arguments)}
    for name in arguments.unset or ():
        fields.pop(name.replace("-", "_"), None)
    change = _make_set_change(
        arguments.kind, arguments.name, _convert_target(arguments, fields)
    )
    return await _submit_change(arguments, connections, change, current)


async def withdraw(arguments: argparse.Namespace, connections: Connections) -> Result:
    """Withdraw a target."""
    current, _ = await connections.writer.read()
    names = (arguments.name,)
    if arguments.kind == "service":
        change = Change(removed_services=names)
    else:
        change = Change(removed_classes=names)
    return await _submit_change(arguments, connections, change, current)


async def apply(arguments: argparse.Namespace, connections: Connections) -> Result:
    """Declare and revise the targets of a file as one change."""
    desired = read_target_file(arguments.file)
    current, _ = await connections.writer.read()
    change = _make_file_change(
        current, desired, withdraw_others=arguments.withdraw_others
    )
    if not change.changed_targets():
        data = {"status": "unchanged", "version": current.version}
        return Result(data, (f"unchanged, version {current.version}",))
    return await _submit_change(arguments, connections, change, current)


async def diff(arguments: argparse.Namespace, connections: Connections) -> Result:
    """Show what applying a file would change."""
    desired = read_target_file(arguments.file)
    current, _ = await connections.writer.read()
    change = _make_file_change(
        current, desired, withdraw_others=arguments.withdraw_others
    )
    apply_change(current, change)
    lines = tuple(_describe_change(current, change)) or ("no difference",)
    return Result(
        {"version": current.version, "change": msgspec.to_builtins(change)}, lines
    )


async def validate(arguments: argparse.Namespace, connections: Connections) -> Result:
    """Validate a file without connecting to the store."""
    desired = read_target_file(arguments.file)
    counts = {"services": len(desired.services), "classes": len(desired.classes)}
    line = f"valid: {counts['services']} services, {counts['classes']} classes"
    return Result({"valid": True, **counts}, (line,))


async def _submit_change(
    arguments: argparse.Namespace,
    connections: Connections,
    change: Change,
    current: Configuration,
) -> Result:
    if arguments.dry_run:
        apply_change(current, change)
        lines = tuple(_describe_change(current, change))
        return Result({"status": "preview"}, lines)
    acceptance = await connections.writer.submit(
        change,
        author=connections.settings["author"],
        reason=arguments.reason,
        expect_version=arguments.expect_version,
        replace=arguments.replace,
        deadline=connections.deadline,
    )
    return describe_acceptance(acceptance)


def describe_acceptance(acceptance: Acceptance) -> Result:
    """Return the result that reports the outcome of a submitted change."""
    status = str(getattr(acceptance.status, "value", acceptance.status))
    change = f"{acceptance.version}:{acceptance.change_id}"
    findings = describe_findings(acceptance.findings)
    lines = [f"{status}, version {acceptance.version}, change {change}"]
    if status == "refused":
        lines = ["refused, nothing was changed"]
    if status == "unknown":
        lines = [
            "outcome unknown: the store did not confirm the change in time",
            f"resolve it with: almondctl change {change}",
        ]
    lines += [f"{item['place']}: {item['message']}" for item in findings]
    data = {
        "status": status,
        "version": acceptance.version,
        "change": change,
        "findings": findings,
    }
    return Result(data, tuple(lines), _EXIT_CODE_BY_STATUS[status])


def _make_file_change(
    current: Configuration, desired: Configuration, *, withdraw_others: bool
) -> Change:
    change = compare_configurations(current, desired)
    if withdraw_others:
        return change
    return Change(set_services=change.set_services, set_classes=change.set_classes)


def _describe_change(current: Configuration, change: Change) -> list[str]:
    lines = []
    for kind, new in (
        ("services", change.set_services),
        ("classes", change.set_classes),
    ):
        old = getattr(current, kind)
        for name, target in sorted(new.items()):
            lines += _describe_target(f"{kind}.{name}", old.get(name), target)
    for kind, names in (
        ("services", change.removed_services),
        ("classes", change.removed_classes),
    ):
        lines += [f"- {kind}.{name}" for name in names]
    return lines


def _describe_target(place: str, old: Target | None, new: Target) -> list[str]:
    if old is None:
        fields = msgspec.to_builtins(new)
        text = ", ".join(f"{key}={value}" for key, value in fields.items())
        return [f"+ {place}: {text}"]
    before, after = msgspec.to_builtins(old), msgspec.to_builtins(new)
    return [
        f"~ {place}.{key}: {before[key]} -> {after[key]}"
        for key in after
        if before[key] != after[key]
    ]


def _read_fields(arguments: argparse.Namespace) -> dict[str, Any]:
    names = _list_field_names(arguments.kind)
    given = {name: getattr(arguments, name) for name in names}
    return {name: value for name, value in given.items() if value is not None}


def _list_field_names(kind: str) -> tuple[str, ...]:
    target_type = ServiceTarget if kind == "service" else ClassTarget
    return tuple(field.name for field in msgspec.structs.fields(target_type))


def _convert_target(arguments: argparse.Namespace, fields: dict[str, Any]) -> Target:
    findings: list[Finding] = []
    table = "services" if arguments.kind == "service" else "classes"
    document = {table: {arguments.name: fields}}
    configuration = convert_document(document, findings.append)
    if findings:
        raise FindingsError(findings)
    return _get_targets(configuration, arguments.kind)[arguments.name]


def _get_targets(configuration: Configuration, kind: str) -> dict[str, Any]:
    return configuration.services if kind == "service" else configuration.classes


def _make_set_change(kind: str, name: str, target: Target) -> Change:
    if kind == "service":
        return Change(set_services={name: target})
    return Change(set_classes={name: target})


def _make_target_error(
    arguments: argparse.Namespace, code: ErrorCode, message: str
) -> AlmondError:
    table = "services" if arguments.kind == "service" else "classes"
    return FindingsError([Finding(f"{table}.{arguments.name}", code, message)])
