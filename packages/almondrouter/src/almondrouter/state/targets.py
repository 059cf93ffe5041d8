"""Targets that operators declare, and their validation."""

from __future__ import annotations

import re
from collections.abc import Iterator
from enum import StrEnum
from typing import TypeVar

import msgspec
import xxhash

from almondrouter.errors import MALFORMED_DATA_ERRORS, ErrorCode, Finding, FindingsError

MAX_CONFIGURATION_BYTES = 1_000_000
MAX_ANSWER_WITHIN_MS = 600_000
MAX_CALLS_PER_SECOND = 1_000_000.0
T = TypeVar("T")
_NAME_PATTERN = re.compile(r"[a-z][a-z0-9-]{0,62}")


class Priority(StrEnum):
    """Priority of a class; under overload, classes of lower rank are served first."""

    CRITICAL = "critical"
    NORMAL = "normal"
    DEFERRABLE = "deferrable"

    @property
    def rank(self) -> int:
        """Priority rank; rank 0 is served first."""
        return _PRIORITY_RANKS[self]


_PRIORITY_RANKS = {Priority.CRITICAL: 0, Priority.NORMAL: 1, Priority.DEFERRABLE: 2}


class ServiceTarget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Declared target of a service.

    Parameters
    ----------
    calls_per_second
        Fleet-wide limit on calls a second; none if absent.
    data_centres
        Data centres in which the service may be served; empty for all.
    """

    calls_per_second: float | None = None
    data_centres: tuple[str, ...] = ()


class ClassTarget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Declared target of a class of calls.

    Parameters
    ----------
    service
        Service that serves the class.
    answer_within_ms
        Target response time in milliseconds.
    share
        Share of calls, above 0 and up to 1, that should meet the target response
        time.
    repeatable
        Whether a call is idempotent and may run more than once.
    priority
        Order in which classes are served under overload.
    calls_per_second
        Fleet-wide limit on calls a second; none if absent.
    data_centres
        Data centres in which the class may be served; empty for those of the
        service.
    """

    service: str
    answer_within_ms: int
    share: float = 0.99
    repeatable: bool = False
    priority: Priority = Priority.NORMAL
    calls_per_second: float | None = None
    data_centres: tuple[str, ...] = ()


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All targets of one version.

    Parameters
    ----------
    version
        Version number, which only increases; 0 if nothing was ever declared.
    services, classes
        Targets by name.
    """

    version: int = 0
    services: dict[str, ServiceTarget] = {}
    classes: dict[str, ClassTarget] = {}

    def digest(self) -> str:
        """Return the digest of the canonical encoding as 32 hex digits."""
        return xxhash.xxh3_128_hexdigest(encode_configuration(self))


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a configuration as canonical JSON."""
    return msgspec.json.encode(configuration, order="deterministic")


def decode_configuration(data: bytes) -> Configuration:
    """Decode and validate the JSON of a configuration.

    Raises
    ------
    FindingsError
        If the document is too large, malformed or contradictory.
    """
    configuration = decode_document(data, Configuration)
    check_configuration(configuration)
    return configuration


def decode_document(data: bytes, document_type: type[T]) -> T:
    """Decode a JSON document of at most ``MAX_CONFIGURATION_BYTES``.

    Raises
    ------
    FindingsError
        If the document is too large or malformed.
    """
    if len(data) > MAX_CONFIGURATION_BYTES:
        message = (
            f"{len(data)} bytes exceed the limit of {MAX_CONFIGURATION_BYTES} bytes"
        )
        code = ErrorCode.CONFIGURATION_TOO_LARGE
        raise FindingsError([Finding("configuration", code, message)])
    try:
        return msgspec.json.decode(data, type=document_type)
    except MALFORMED_DATA_ERRORS as error:
        code = ErrorCode.CONFIGURATION_MALFORMED
        raise FindingsError([Finding("configuration", code, str(error))]) from error


def check_configuration(configuration: Configuration) -> None:
    """Raise ``FindingsError`` with every validation fault of a configuration."""
    findings = list(find_faults(configuration))
    if findings:
        raise FindingsError(findings)


def find_faults(configuration: Configuration) -> Iterator[Finding]:
    """Yield a finding for every validation fault of a configuration."""
    if configuration.version < 0:
        yield Finding("version", ErrorCode.VALUE_OUT_OF_RANGE, "must not be negative")
    for name, service in configuration.services.items():
        place = f"services.{name}"
        yield from _find_name_faults(place, name)
        yield from _find_limit_faults(place, service.calls_per_second)
        yield from _find_data_centre_faults(place, service.data_centres)
    for name, target in configuration.classes.items():
        yield from _find_class_faults(configuration, name, target)


def _find_class_faults(
    configuration: Configuration, name: str, target: ClassTarget
) -> Iterator[Finding]:
    place = f"classes.{name}"
    yield from _find_name_faults(place, name)
    yield from _find_limit_faults(place, target.calls_per_second)
    yield from _find_data_centre_faults(place, target.data_centres)
    if not 1 <= target.answer_within_ms <= MAX_ANSWER_WITHIN_MS:
        message = f"must be from 1 to {MAX_ANSWER_WITHIN_MS}"
        yield Finding(
            f"{place}.answer_within_ms", ErrorCode.VALUE_OUT_OF_RANGE, message
        )
    if not 0 < target.share <= 1:
        message = "must be above 0 and at most 1"
        yield Finding(f"{place}.share", ErrorCode.VALUE_OUT_OF_RANGE, message)
    service = configuration.services.get(target.service)
    if service is None:
        message = f"service {target.service!r} is not declared"
        yield Finding(f"{place}.service", ErrorCode.SERVICE_UNKNOWN, message)
    else:
        yield from _find_service_conflicts(place, target, service)


def _find_service_conflicts(
    place: str, target: ClassTarget, service: ServiceTarget
) -> Iterator[Finding]:
    code = ErrorCode.TARGET_CONTRADICTORY
    outside = set(target.data_centres) - set(service.data_centres)
    if service.data_centres and outside:
        message = f"service {target.service!r} may not be served in {sorted(outside)}"
        yield Finding(f"{place}.data_centres", code, message)
    limits = (target.calls_per_second, service.calls_per_second)
    if None not in limits and limits[0] > limits[1]:
        message = f"{limits[0]:g} exceeds the limit of the service, {limits[1]:g}"
        yield Finding(f"{place}.calls_per_second", code, message)


def _find_name_faults(place: str, name: str) -> Iterator[Finding]:
    if not _NAME_PATTERN.fullmatch(name):
        message = (
            "must be 1 to 63 characters from a-z, 0-9 and '-', starting with a letter"
        )
        yield Finding(place, ErrorCode.NAME_INVALID, message)


def _find_limit_faults(place: str, limit: float | None) -> Iterator[Finding]:
    if limit is not None and not 0 < limit <= MAX_CALLS_PER_SECOND:
        message = f"must be above 0 and at most {MAX_CALLS_PER_SECOND:g}"
        yield Finding(
            f"{place}.calls_per_second", ErrorCode.VALUE_OUT_OF_RANGE, message
        )


def _find_data_centre_faults(place: str, names: tuple[str, ...]) -> Iterator[Finding]:
    for name in names:
        yield from _find_name_faults(f"{place}.data_centres", name)
    if len(set(names)) != len(names):
        yield Finding(
            f"{place}.data_centres", ErrorCode.NAME_DUPLICATE, "contains a duplicate"
        )
