"""Changes to targets, and the history records of accepted changes."""

from __future__ import annotations

import msgspec

from almondrouter.errors import AlmondError, ErrorCode, Finding, FindingsError
from almondrouter.state.targets import (
    ClassTarget,
    Configuration,
    ServiceTarget,
    check_configuration,
)

Target = ServiceTarget | ClassTarget


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Targets to set and to withdraw in one atomic update.

    Parameters
    ----------
    set_services, set_classes
        Targets to declare or revise, by name.
    removed_services, removed_classes
        Names of targets to withdraw.
    """

    set_services: dict[str, ServiceTarget] = {}
    set_classes: dict[str, ClassTarget] = {}
    removed_services: tuple[str, ...] = ()
    removed_classes: tuple[str, ...] = ()

    def changed_targets(self) -> frozenset[str]:
        """Return the paths (``services.NAME``, ``classes.NAME``) of changed targets."""
        services = {*self.set_services, *self.removed_services}
        classes = {*self.set_classes, *self.removed_classes}
        return frozenset(
            {f"services.{name}" for name in services}
            | {f"classes.{name}" for name in classes}
        )


class ChangeRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """History record of one accepted change.

    Parameters
    ----------
    version
        Version that the change produced.
    change_id
        Unique id that the writer generated before writing.
    author, reason
        Who made the change, and why.
    accepted_at
        Seconds since the Unix epoch, by the writer's clock.
    change
        The change itself.
    digest
        Digest of the resulting configuration.
    """

    version: int
    change_id: str
    author: str
    reason: str
    accepted_at: float
    change: Change
    digest: str


def apply_change(configuration: Configuration, change: Change) -> Configuration:
    """Return the next version of a configuration with a change applied.

    Raises
    ------
    FindingsError
        If the change withdraws an undeclared target or the result is invalid.
    """
    _check_withdrawn_targets(configuration, change)
    services = {**configuration.services, **change.set_services}
    classes = {**configuration.classes, **change.set_classes}
    for name in change.removed_services:
        services.pop(name, None)
    for name in change.removed_classes:
        classes.pop(name, None)
    result = Configuration(
        version=configuration.version + 1, services=services, classes=classes
    )
    check_configuration(result)
    return result


def apply_record(configuration: Configuration, record: ChangeRecord) -> Configuration:
    """Return the configuration that results from applying a change record.

    Raises
    ------
    AlmondError
        ``version_conflict`` if the record is not the next one after the
        configuration, ``digest_mismatch`` if the digest of the result differs.
    """
    if record.version != configuration.version + 1:
        message = (
            f"record {record.version} does not follow version {configuration.version}"
        )
        raise AlmondError(ErrorCode.VERSION_CONFLICT, message)
    result = apply_change(configuration, record.change)
    if result.digest() != record.digest:
        message = (
            f"version {record.version} does not match the digest of its change record"
        )
        raise AlmondError(ErrorCode.DIGEST_MISMATCH, message)
    return result


def compare_configurations(old: Configuration, new: Configuration) -> Change:
    """Return the change that turns the targets of ``old`` into those of ``new``."""
    return Change(
        set_services=_find_changed_targets(old.services, new.services),
        set_classes=_find_changed_targets(old.classes, new.classes),
        removed_services=tuple(sorted(old.services.keys() - new.services.keys())),
        removed_classes=tuple(sorted(old.classes.keys() - new.classes.keys())),
    )


def _find_changed_targets(
    old: dict[str, Target], new: dict[str, Target]
) -> dict[str, Target]:
    return {name: target for name, target in new.items() if old.get(name) != target}


def _check_withdrawn_targets(configuration: Configuration, change: Change) -> None:
    code = ErrorCode.TARGET_UNKNOWN
    findings = [
        Finding(f"services.{name}", code, "cannot be withdrawn: it is not declared")
        for name in change.removed_services
        if name not in configuration.services
    ] + [
        Finding(f"classes.{name}", code, "cannot be withdrawn: it is not declared")
        for name in change.removed_classes
        if name not in configuration.classes
    ]
    if findings:
        raise FindingsError(findings)
