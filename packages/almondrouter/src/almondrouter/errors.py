"""Errors with codes, and validation findings that are reported together."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import msgspec

MALFORMED_DATA_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""Exceptions of the msgspec decoders for data that another writer made. Values that are
nested too deeply raise a ``RecursionError``."""


class ErrorCode(StrEnum):
    """Machine-readable error codes, documented in ``docs/errors.md``."""

    # Settings and files
    SETTING_INVALID = "setting_invalid"
    SETTING_MISSING = "setting_missing"
    ADDRESS_IN_USE = "address_in_use"
    FILE_UNREADABLE = "file_unreadable"

    # Configuration
    CONFIGURATION_MALFORMED = "configuration_malformed"
    CONFIGURATION_TOO_LARGE = "configuration_too_large"
    DIGEST_MISMATCH = "digest_mismatch"
    NAME_INVALID = "name_invalid"
    NAME_DUPLICATE = "name_duplicate"
    SERVICE_UNKNOWN = "service_unknown"
    DATA_CENTRE_UNKNOWN = "data_centre_unknown"
    TARGET_CONTRADICTORY = "target_contradictory"
    TARGET_UNKNOWN = "target_unknown"
    VALUE_OUT_OF_RANGE = "value_out_of_range"
    VERSION_CONFLICT = "version_conflict"
    VERSION_DIVERGED = "version_diverged"
    VERSION_OLDER = "version_older"

    # Store
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_OUTCOME_UNKNOWN = "store_outcome_unknown"
    STORE_RESPONSE_INVALID = "store_response_invalid"
    HISTORY_COMPACTED = "history_compacted"
    LEASE_EXPIRED = "lease_expired"

    # Links between daemons
    FRAME_TOO_LARGE = "frame_too_large"
    FRAME_MALFORMED = "frame_malformed"
    CLUSTER_MISMATCH = "cluster_mismatch"
    PROTOCOL_MISMATCH = "protocol_mismatch"
    PEER_UNAVAILABLE = "peer_unavailable"
    PEER_TIMEOUT = "peer_timeout"

    # Calls
    HEADER_INVALID = "header_invalid"
    CLASS_UNKNOWN = "class_unknown"
    KEY_MISSING = "key_missing"
    KEY_INVALID = "key_invalid"
    KEY_EXPIRED = "key_expired"
    KEY_CLAIMED = "key_claimed"
    BODY_TOO_LARGE = "body_too_large"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    NO_BACKEND = "no_backend"
    OVERLOADED = "overloaded"
    MEMORY_SHORT = "memory_short"
    BUSIER_THAN_EXPECTED = "busier_than_expected"
    LIMITED = "limited"
    LIMIT_UNAVAILABLE = "limit_unavailable"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CONDEMNED = "condemned"
    KEY_UNKNOWN = "key_unknown"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_FAILED = "backend_failed"
    CALL_CANCELLED = "call_cancelled"


class AlmondError(Exception):
    """Base class of errors with a machine-readable code.

    Parameters
    ----------
    code
        Machine-readable code.
    message
        Human-readable description.
    """

    def __init__(self, code: ErrorCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message

    def __str__(self) -> str:
        return f"[{self.code.value}] {self.message}"


@dataclass(frozen=True, slots=True)
class Finding:
    """One validation fault.

    Parameters
    ----------
    place
        Flag, environment variable or path in a document, such as
        ``services.NAME``, where the fault was found.
    code, message
        As in `AlmondError`.
    """

    place: str
    code: ErrorCode
    message: str

    def __str__(self) -> str:
        return f"{self.place}: [{self.code.value}] {self.message}"


class FindingsError(AlmondError):
    """Findings reported as one error, which has the code of the first finding."""

    def __init__(self, findings: list[Finding]) -> None:
        if not findings:
            raise ValueError("FindingsError needs at least one finding")
        super().__init__(findings[0].code, "; ".join(map(str, findings)))
        self.findings = tuple(findings)

    def __str__(self) -> str:
        return self.message


class StoreUnavailableError(AlmondError):
    """The store did not perform the operation, which had no effect."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.STORE_UNAVAILABLE, message)


class StoreOutcomeUnknownError(AlmondError):
    """The store's reply was lost; the operation may have taken effect."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.STORE_OUTCOME_UNKNOWN, message)
