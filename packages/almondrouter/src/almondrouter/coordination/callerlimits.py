"""Limits on what callers hold, derived from the host, and what each thing costs."""

from __future__ import annotations

from dataclasses import dataclass

CONNECTION_BYTES = 4_096
"""Memory of an open connection without a request: transport, parser and protocol."""
REQUEST_BYTES = 20_000
"""Memory of a complete request in progress beside its body and headers: its task, and
up to 16 KB of header text."""
HEADER_LINE_BYTES = 200
"""Memory of a header line beside its text: a tuple, two strings and their place."""
MAX_COPIED_BODY_BYTES = 8_000_000
"""Longest body that may be sent to another host, for which it is copied to a frame."""
IDLE_PROCESS_BYTES = 46_000_000
"""Memory that the budget leaves to the process without callers: 34 MB when idle, the
records of a large fleet, and the buffers of reads."""
BUDGET_SHARE = 0.75
"""Share of the memory beyond that which the callers may hold. The rest holds responses
that are being received, and copies of bodies while they are passed on."""
MIN_BUDGET_BYTES = 4_000_000
MAX_RESPONSE_BYTES = 33_554_432
"""Bytes of unfinished responses that suffice on a host of any size."""
MIN_RESPONSE_BYTES = 2_000_000
UNLIMITED_BYTES = 1 << 60
"""Budget of a server whose callers are trusted."""
PLATFORM_DESCRIPTORS = 200
"""Descriptors of a host that belong to the platform."""
FIXED_DESCRIPTORS = 120
"""Descriptors for connections to the backend server and the store, and listeners."""
MIN_CALLER_CONNECTIONS = 16
MAX_CALLER_CONNECTIONS = 4_096
MAX_INTERNAL_CONNECTIONS = 64


def compute_budget_bytes(memory_bytes: float) -> int:
    """Return the bytes that the callers of a host may hold together.

    Parameters
    ----------
    memory_bytes
        Memory of the host in bytes.
    """
    spare = (memory_bytes - IDLE_PROCESS_BYTES) * BUDGET_SHARE
    return max(MIN_BUDGET_BYTES, int(spare))


@dataclass(frozen=True, slots=True)
class DescriptorShares:
    """Limits on open connections.

    Parameters
    ----------
    callers
        Connections of callers.
    internal
        Connections to each of the servers for heartbeats, readiness and metrics.
    """

    callers: int
    internal: int


def divide_descriptors(max_descriptors: int) -> DescriptorShares:
    """Return the limits on connections of a host.

    Parameters
    ----------
    max_descriptors
        Descriptors of the host. Callers get half of what the platform and the fixed
        connections leave; the rest is for links between daemons.
    """
    spare = max_descriptors - PLATFORM_DESCRIPTORS - FIXED_DESCRIPTORS
    callers = min(MAX_CALLER_CONNECTIONS, max(MIN_CALLER_CONNECTIONS, spare // 2))
    return DescriptorShares(callers, min(MAX_INTERNAL_CONNECTIONS, callers // 8 + 4))


def compute_response_bytes(memory_bytes: float) -> int:
    """Return the bytes that unfinished responses of the backend server may hold.

    Parameters
    ----------
    memory_bytes
        Memory of the host in bytes.
    """
    spare = (memory_bytes - IDLE_PROCESS_BYTES) * (1 - BUDGET_SHARE)
    return min(MAX_RESPONSE_BYTES, max(MIN_RESPONSE_BYTES, int(spare)))


def estimate_body_bytes(size: int) -> int:
    """Return the memory that a body needs until its request is finished."""
    return size if size > MAX_COPIED_BODY_BYTES else 2 * size


def estimate_request_bytes(header_lines: int, body_size: int) -> int:
    """Return the memory that a complete request needs until it is finished."""
    size = REQUEST_BYTES + HEADER_LINE_BYTES * header_lines
    return size + estimate_body_bytes(body_size) if body_size else size
