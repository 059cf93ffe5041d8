"""Addresses of the form ``ip:port``."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Return IP number and port of an ``ip:port`` address.

    IPv6 numbers stand in brackets, which are left out of the result.
    """
    host, _, port = address.rpartition(":")
    return host.removeprefix("[").removesuffix("]"), int(port)
