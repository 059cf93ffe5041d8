"""The document that the store holds under the key of the configuration."""

from __future__ import annotations

import msgspec

from almondrouter.errors import ErrorCode, Finding, FindingsError
from almondrouter.state.targets import (
    Configuration,
    check_configuration,
    decode_document,
)


class StoredConfiguration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A configuration with the change that made it.

    Parameters
    ----------
    change_id
        Id of the change that made this version.
    digest
        Digest of the configuration, by its writer.
    configuration
        All targets with their version.
    """

    change_id: str
    digest: str
    configuration: Configuration


def encode_stored(stored: StoredConfiguration) -> bytes:
    """Return the JSON of a stored configuration."""
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
        message = f"version {stored.configuration.version} does not match its digest"
        raise FindingsError([Finding("digest", ErrorCode.DIGEST_MISMATCH, message)])
    return stored
