"""Settings of almondctl."""

from __future__ import annotations

import getpass

from almondrouter.settings import (
    Setting,
    parse_addresses,
    parse_choice,
    parse_cluster,
    parse_seconds,
)


def _get_default_author() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


SETTINGS = (
    Setting("cluster", parse_cluster, "Name of the cluster", default="main"),
    Setting(
        "store", parse_addresses, "IP:PORT list of the key-value service", default=""
    ),
    Setting(
        "daemon",
        parse_addresses,
        "IP:PORT list of daemons' admin addresses; the first to respond is used",
        default="",
    ),
    Setting(
        "author",
        str,
        "Author of the change that the history shows",
        default=_get_default_author(),
    ),
    Setting("timeout", parse_seconds, "Seconds to wait for a result", default="10"),
    Setting("output", parse_choice("text", "json"), "Output format", default="text"),
)
