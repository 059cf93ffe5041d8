"""Settings of the daemon."""

from __future__ import annotations

from almondrouter.settings import (
    Setting,
    parse_address,
    parse_addresses,
    parse_bytes,
    parse_choice,
    parse_cluster,
    parse_name,
    parse_nonempty_addresses,
    parse_seconds,
    parse_share,
)

SETTINGS = (
    Setting(
        "cluster",
        parse_cluster,
        "Name of the cluster; other clusters' daemons are refused",
    ),
    Setting("host", parse_name, "Name of this host, unique in the cluster"),
    Setting("data-centre", parse_name, "Data centre of this host"),
    Setting("region", parse_name, "Region of the data centre"),
    Setting("caller-address", parse_address, "IP:PORT for callers (HTTP)"),
    Setting("peer-address", parse_address, "IP:PORT for calls from other daemons"),
    Setting("control-address", parse_address, "IP:PORT for control links"),
    Setting(
        "admin-address",
        parse_address,
        "IP:PORT for operators, metrics and this host's backend server (HTTP)",
    ),
    Setting("store", parse_nonempty_addresses, "IP:PORT list of the key-value service"),
    Setting(
        "seeds",
        parse_addresses,
        "IP:PORT list of control addresses of daemons to join",
        default="",
    ),
    Setting(
        "spread",
        parse_choice("economical", "fast"),
        "economical: fewer bytes on control links; fast: versions in force sooner",
        default="economical",
    ),
    Setting(
        "max-body-bytes",
        parse_bytes,
        "Longest request body in bytes",
        default="1000000",
    ),
    Setting(
        "drain-timeout",
        parse_seconds,
        "Longest graceful stop in seconds",
        default="60",
    ),
    Setting(
        "trace-sample",
        parse_share,
        "Share of calls without a trace context that are traced",
        default="0",
    ),
    Setting(
        "trace-exporter",
        parse_choice("none", "stderr"),
        "Output for trace spans",
        default="none",
    ),
    Setting(
        "log-level",
        parse_choice("debug", "info", "warning", "error"),
        "Lowest level of log lines that are written",
        default="info",
    ),
)
