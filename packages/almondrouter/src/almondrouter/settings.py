"""Settings from flags and environment variables, validated together."""

from __future__ import annotations

import argparse
import ipaddress
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NoReturn

from almondrouter.errors import AlmondError, ErrorCode, Finding, FindingsError
from almondrouter.protocol.keys import StoreKeys

ENVIRONMENT_PREFIX = "ALMONDROUTER_"
_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")


@dataclass(frozen=True, slots=True)
class Setting:
    """Declaration of one setting.

    Parameters
    ----------
    name
        Name of the flag without leading dashes; the name of the environment
        variable is derived from it.
    parse
        Converts the text to the value; raises ``ValueError`` if it is invalid.
    summary
        Help text.
    default
        Default value as text; None if the setting is required.
    secret
        Whether the value is masked wherever settings are printed.
    """

    name: str
    parse: Callable[[str], Any]
    summary: str
    default: str | None = None
    secret: bool = False

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper().replace("-", "_")


@dataclass(frozen=True, slots=True)
class SettingValues:
    """Validated values and the origin of each: flag, environment or default."""

    values: Mapping[str, Any]
    origins: Mapping[str, str]
    secrets: frozenset[str] = field(default=frozenset())

    def __getitem__(self, name: str) -> Any:
        return self.values[name]

    def describe(self) -> list[dict[str, str]]:
        """Return name, value and origin of each setting, with secrets masked."""
        return [
            {
                "name": name,
                "value": "(secret)" if name in self.secrets else _format_value(value),
                "origin": self.origins[name],
            }
            for name, value in self.values.items()
        ]


class FindingsParser(argparse.ArgumentParser):
    """Argument parser that raises its errors instead of exiting."""

    def error(self, message: str) -> NoReturn:
        """Raise a usage error as a ``FindingsError``."""
        raise FindingsError(
            [Finding("arguments", ErrorCode.SETTING_INVALID, message)]
        ) from None


def add_settings(parser: argparse.ArgumentParser, settings: Sequence[Setting]) -> None:
    """Add a flag for each setting to a parser."""
    group = parser.add_argument_group(
        "settings", "Each flag can also be given by its environment variable."
    )
    for setting in settings:
        default = (
            "required" if setting.default is None else f"default: {setting.default!r}"
        )
        group.add_argument(
            f"--{setting.name}",
            dest=_make_argument_dest(setting),
            metavar="VALUE",
            help=f"{setting.summary} [{setting.variable}; {default}]".replace(
                "%", "%%"
            ),
        )


def read_settings(
    settings: Sequence[Setting],
    arguments: argparse.Namespace,
    environment: Mapping[str, str],
    *,
    unknown_flags: Sequence[str] = (),
) -> SettingValues:
    """Validate every setting and return the values.

    Parameters
    ----------
    unknown_flags
        Command-line flags that the parser did not recognise.

    Raises
    ------
    FindingsError
        Lists each missing and invalid setting, and each unknown flag.
    """
    findings = [
        Finding(flag, ErrorCode.SETTING_INVALID, "unknown flag")
        for flag in unknown_flags
    ]
    values: dict[str, Any] = {}
    origins: dict[str, str] = {}
    for setting in settings:
        text, origin = _find_setting_text(setting, arguments, environment)
        if text is None:
            message = f"is required; set --{setting.name} or {setting.variable}"
            findings.append(
                Finding(f"--{setting.name}", ErrorCode.SETTING_MISSING, message)
            )
            continue
        try:
            values[setting.name] = setting.parse(text)
        except ValueError as error:
            place = setting.variable if origin == "environment" else f"--{setting.name}"
            message = f"{text!r}: {error}"
            findings.append(Finding(place, ErrorCode.SETTING_INVALID, message))
        origins[setting.name] = origin
    if findings:
        raise FindingsError(findings)
    secrets = frozenset(setting.name for setting in settings if setting.secret)
    return SettingValues(values, origins, secrets)


def parse_name(text: str) -> str:
    """Validate and return a name of lower-case letters, digits, dots and dashes."""
    if not _NAME_PATTERN.fullmatch(text):
        raise ValueError(
            "must be 1 to 63 characters from a-z, 0-9, '.' and '-', "
            "starting with a letter or digit"
        )
    return text


def parse_cluster(text: str) -> str:
    """Validate and return a cluster name, which is part of the store's keys."""
    try:
        return StoreKeys(text).cluster
    except AlmondError as error:
        raise ValueError(
            "must be 1 to 63 characters from a-z, 0-9 and '-', starting with a letter"
        ) from error


def parse_address(text: str) -> str:
    """Validate and return an ``ip:port`` address; IPv6 needs brackets."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError("must be IP:PORT with a port from 1 to 65535")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError("the part before the port is not an IP address") from None
    return text


def parse_addresses(text: str) -> tuple[str, ...]:
    """Parse a comma-separated list of addresses, which may be empty."""
    return tuple(
        parse_address(item.strip()) for item in text.split(",") if item.strip()
    )


def parse_nonempty_addresses(text: str) -> tuple[str, ...]:
    """Parse a comma-separated list of at least one address."""
    addresses = parse_addresses(text)
    if not addresses:
        raise ValueError("must name at least one IP:PORT")
    return addresses


def parse_share(text: str) -> float:
    """Parse a number from 0 to 1."""
    value = float(text)
    if not 0 <= value <= 1:
        raise ValueError("must be from 0 to 1")
    return value


def parse_seconds(text: str) -> float:
    """Parse a positive number of seconds, at most a day."""
    value = float(text)
    if not 0 < value <= 86_400:
        raise ValueError("must be above 0 and at most 86400 seconds")
    return value


def parse_bytes(text: str) -> int:
    """Parse a positive number of bytes, at most 7,000,000.

    A body of that size still fits into a call frame.
    """
    value = int(text)
    if not 0 < value <= 7_000_000:
        raise ValueError("must be from 1 to 7000000 bytes")
    return value


def parse_choice(*choices: str) -> Callable[[str], str]:
    """Return a parser that accepts only one of ``choices``."""

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(f"must be one of {', '.join(choices)}")
        return text

    return parse


def make_bind_error(error: Exception, *, place: str, address: str) -> AlmondError:
    """Return the error for an address that could not be bound."""
    finding = Finding(
        place, ErrorCode.ADDRESS_IN_USE, f"cannot bind {address}: {error}"
    )
    return FindingsError([finding])


def _find_setting_text(
    setting: Setting, arguments: argparse.Namespace, environment: Mapping[str, str]
) -> tuple[str | None, str]:
    flag = getattr(arguments, _make_argument_dest(setting), None)
    if flag is not None:
        return flag, "flag"
    if setting.variable in environment:
        return environment[setting.variable], "environment"
    return setting.default, "default"


def _make_argument_dest(setting: Setting) -> str:
    return "setting_" + setting.name.replace("-", "_")


def _format_value(value: Any) -> str:
    return ",".join(map(str, value)) if isinstance(value, tuple) else str(value)
