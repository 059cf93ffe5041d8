"""Parsing of ``ip:port`` addresses."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of an ``ip:port`` address.

    IPv6 addresses are given in brackets, which the result omits.
    """
    host, _, port = address.rpartition(":")
    return host.removeprefix("[").removesuffix("]"), int(port)
