"""Parsing of ``ip:port`` addresses."""

from __future__ import annotations

import ipaddress
import re

MAX_PORT = 65_535
_ADDRESS = re.compile(r"(\[[0-9A-Fa-f:.%]{2,63}\]|[0-9A-Za-z_.-]{1,63}):([0-9]{1,5})")


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of an ``ip:port`` address.

    IPv6 addresses are given in brackets, which the result omits.
    """
    host, _, port = address.rpartition(":")
    return host.removeprefix("[").removesuffix("]"), int(port)


def is_loopback(address: str) -> bool:
    """Return whether the IP address of an ``ip:port`` address is one of loopback."""
    return ipaddress.ip_address(split_address(address)[0]).is_loopback


def is_valid_address(address: str) -> bool:
    """Return whether a text is an ``ip:port`` address with a port in range."""
    match = _ADDRESS.fullmatch(address)
    return match is not None and 0 < int(match[2]) <= MAX_PORT
