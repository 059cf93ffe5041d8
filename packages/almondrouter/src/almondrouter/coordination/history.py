"""Reads the configuration and its change records from the store."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from almondrouter.errors import (
    MALFORMED_DATA_ERRORS,
    ErrorCode,
    Finding,
    FindingsError,
    StoreOutcomeUnknownError,
)
from almondrouter.protocol.keys import StoreKeys
from almondrouter.state.changes import ChangeRecord
from almondrouter.state.stored import decode_stored
from almondrouter.state.targets import Configuration
from almondrouter.transport.store import CommitResult, Get, KeyValue, Store, Transaction

HISTORY_PAGE_SIZE = 100


class WriteOutcome(StrEnum):
    """Outcome of writing a change as a given version, as read from the store.

    ``SUPERSEDED`` means that another change created the version, ``ABSENT`` that
    the version does not exist yet, and ``PRUNED`` that its record has been
    deleted because of its age.
    """

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    ABSENT = "absent"
    PRUNED = "pruned"


class History:
    """Reads the configuration and its change records.

    Parameters
    ----------
    store, keys
        Store, and keys under which they are stored.
    """

    def __init__(self, store: Store, keys: StoreKeys) -> None:
        self._store = store
        self._keys = keys

    async def read_configuration(self) -> tuple[Configuration, int]:
        """Return the configuration and its store revision; empty and 0 if absent."""
        result = await self._store.read(self._keys.configuration)
        return _decode_configuration_item(result.items)

    async def read_records(self, first: int, last: int) -> list[ChangeRecord]:
        """Return the retained records of versions ``first`` to ``last``, in order."""
        records: list[ChangeRecord] = []
        while first <= last:
            start = self._keys.history_record(first)
            page = await self._store.read_prefix(
                self._keys.history, start=start, limit=HISTORY_PAGE_SIZE
            )
            found = [_decode_record(item) for item in page.items]
            records += [record for record in found if record.version <= last]
            if len(found) < HISTORY_PAGE_SIZE:
                break
            first = found[-1].version + 1
        return records

    def make_read_back(self, version: int) -> Transaction:
        """Return a transaction that reads the input of `find_write_outcome`.

        One transaction reads the configuration and the version's change record,
        so that both come from the same store revision.
        """
        record_key = self._keys.history_record(version)
        return Transaction(success=(Get(self._keys.configuration), Get(record_key)))


def find_write_outcome(
    result: CommitResult, version: int, change_id: str
) -> WriteOutcome:
    """Return the outcome of a write from the read-back of its version.

    Raises
    ------
    StoreOutcomeUnknownError
        If the stored configuration or change record cannot be decoded.
    """
    configuration, records = result.results
    try:
        if records:
            own = _decode_record(records[0]).change_id == change_id
            return WriteOutcome.ACCEPTED if own else WriteOutcome.SUPERSEDED
        latest, _ = _decode_configuration_item(configuration)
    except FindingsError as error:
        raise StoreOutcomeUnknownError(f"version {version}: {error}") from error
    return WriteOutcome.PRUNED if latest.version >= version else WriteOutcome.ABSENT


def _decode_record(item: KeyValue) -> ChangeRecord:
    try:
        return msgspec.json.decode(item.value, type=ChangeRecord)
    except MALFORMED_DATA_ERRORS as error:
        code = ErrorCode.STORE_RESPONSE_INVALID
        raise FindingsError([Finding(item.key, code, str(error))]) from error


def _decode_configuration_item(
    items: tuple[KeyValue, ...],
) -> tuple[Configuration, int]:
    if not items:
        return Configuration(), 0
    return decode_stored(items[0].value).configuration, items[0].mod_revision
