"""Document in which the store keeps the configuration."""

from __future__ import annotations

import msgspec

from almondrouter.errors import ErrorCode, Finding, FindingsError
from almondrouter.state.targets import (
    Configuration,
    check_configuration,
    decode_document,
)


class StoredConfiguration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration together with the id of the change that produced it.

    Parameters
    ----------
    change_id
        Id of the change that produced this version.
    digest
        Digest of the configuration, computed by its writer.
    configuration
        All targets and their version.
    """

    change_id: str
    digest: str
    configuration: Configuration


def encode_stored(stored: StoredConfiguration) -> bytes:
    """Encode a stored configuration as JSON."""
    return msgspec.json.encode(stored, order="deterministic")


def decode_stored(data: bytes) -> StoredConfiguration:
    """Decode and validate a stored configuration.

    Raises
    ------
    FindingsError
        If the document is too large, malformed or contradictory, or if its
        digest does not match.
    """
    stored = decode_document(data, StoredConfiguration)
    check_configuration(stored.configuration)
    if stored.configuration.digest() != stored.digest:
        message = (
            f"version {stored.configuration.version} does not match its stored digest"
        )
        raise FindingsError([Finding("digest", ErrorCode.DIGEST_MISMATCH, message)])
    return stored
