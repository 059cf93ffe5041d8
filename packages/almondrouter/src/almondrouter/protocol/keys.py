"""Keys in the key-value store, and idempotency keys."""

from __future__ import annotations

import re
import uuid
from dataclasses import dataclass

from almondrouter.errors import AlmondError, ErrorCode

# Claims on idempotency keys are kept at least this long, their results at most.
CLAIM_RETENTION_S = 600
# Largest tolerated difference between the clocks of a caller and daemons.
MAX_CLOCK_SKEW_S = 60
_CLUSTER_PATTERN = re.compile(r"[a-z][a-z0-9-]{0,62}")


@dataclass(frozen=True, slots=True)
class StoreKeys:
    """Keys of one cluster in the store."""

    cluster: str

    def __post_init__(self) -> None:
        if not _CLUSTER_PATTERN.fullmatch(self.cluster):
            message = (
                f"cluster name {self.cluster!r} must be 1 to 63 characters from "
                "a-z, 0-9 and '-', starting with a letter"
            )
            raise AlmondError(ErrorCode.NAME_INVALID, message)

    @property
    def prefix(self) -> str:
        """Prefix of every key of the cluster."""
        return f"/almondrouter/{self.cluster}/"

    @property
    def configuration(self) -> str:
        """Key of the full configuration."""
        return f"{self.prefix}configuration"

    @property
    def history(self) -> str:
        """Prefix of the keys of change records."""
        return f"{self.prefix}history/"

    def history_record(self, version: int) -> str:
        """Return the key of the change record that produced a version."""
        return f"{self.history}{version:012d}"

    def seeds(self, data_centre: str) -> str:
        """Return the key of the seed control addresses of a data centre."""
        return f"{self.prefix}seeds/{data_centre}"

    def claim(self, key: str) -> str:
        """Return the key of the claim on an idempotency key."""
        return f"{self.prefix}claims/{key}"

    def limit_slice(self, limit: str, index: int) -> str:
        """Return the key of one slice of a rate limit."""
        return f"{self.prefix}limits/{limit}/{index:03d}"

    def limit_prefix(self, limit: str) -> str:
        """Return the prefix of the keys of the slices of a rate limit."""
        return f"{self.prefix}limits/{limit}/"

    def quarantine(self, fingerprint: str) -> str:
        """Return the key of the quarantine entry of a condemned request."""
        return f"{self.prefix}quarantine/{fingerprint}"


def check_idempotency_key(text: str, *, now: float) -> str:
    """Return the canonical form of an idempotency key.

    Parameters
    ----------
    text
        Header value from the caller; a UUIDv7 (RFC 9562), whose first 48 bits
        are its timestamp in milliseconds.
    now
        Seconds since the Unix epoch.

    Raises
    ------
    AlmondError
        ``key_invalid`` if the key is not a UUIDv7 or its timestamp is in the
        future, ``key_expired`` if its claim may already have been removed.
    """
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != 7 or parsed.variant != uuid.RFC_4122:
        raise AlmondError(ErrorCode.KEY_INVALID, "the idempotency key is not a UUIDv7")
    age = now - (parsed.int >> 80) / 1000
    if age < -MAX_CLOCK_SKEW_S:
        message = "the timestamp of the idempotency key is in the future"
        raise AlmondError(ErrorCode.KEY_INVALID, message)
    if age > CLAIM_RETENTION_S - MAX_CLOCK_SKEW_S:
        message = "the idempotency key has expired; its claim may have been removed"
        raise AlmondError(ErrorCode.KEY_EXPIRED, message)
    return str(parsed)
