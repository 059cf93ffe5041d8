"""The configuration and its change records in the store."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from almondrouter.errors import (
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

HISTORY_PAGE = 100


class Verdict(StrEnum):
    """What the store says of a change that was to make a version.

    ``ABSENT`` means that the version does not exist yet, ``PRUNED`` that it is
    so old that its record is gone.
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
        Where they are kept.
    """

    def __init__(self, store: Store, keys: StoreKeys) -> None:
        self._store = store
        self._keys = keys

    async def read_configuration(self) -> tuple[Configuration, int]:
        """Return the configuration and its store revision; 0 if there is none."""
        result = await self._store.read(self._keys.configuration)
        return _decode_configuration_item(result.items)

    async def read_records(self, first: int, last: int) -> list[ChangeRecord]:
        """Return the records that are kept of a range of versions, in order."""
        records: list[ChangeRecord] = []
        while first <= last:
            start = self._keys.history_record(first)
            page = await self._store.read_prefix(
                self._keys.history, start=start, limit=HISTORY_PAGE
            )
            found = [_decode_record(item) for item in page.items]
            records += [record for record in found if record.version <= last]
            if len(found) < HISTORY_PAGE:
                break
            first = found[-1].version + 1
        return records

    def read_back(self, version: int) -> Transaction:
        """Return a transaction that reads at one revision what `judge` needs."""
        record_key = self._keys.history_record(version)
        return Transaction(success=(Get(self._keys.configuration), Get(record_key)))


def judge(result: CommitResult, version: int, change_id: str) -> Verdict:
    """Return what the read-back of a version says of a change.

    Raises
    ------
    StoreOutcomeUnknownError
        If the store holds something that is not understood.
    """
    configuration, records = result.results
    try:
        if records:
            own = _decode_record(records[0]).change_id == change_id
            return Verdict.ACCEPTED if own else Verdict.SUPERSEDED
        latest, _ = _decode_configuration_item(configuration)
    except FindingsError as error:
        raise StoreOutcomeUnknownError(f"version {version}: {error}") from error
    return Verdict.PRUNED if latest.version >= version else Verdict.ABSENT


def _decode_record(item: KeyValue) -> ChangeRecord:
    try:
        return msgspec.json.decode(item.value, type=ChangeRecord)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        code = ErrorCode.STORE_RESPONSE_INVALID
        raise FindingsError([Finding(item.key, code, str(error))]) from error


def _decode_configuration_item(
    items: tuple[KeyValue, ...],
) -> tuple[Configuration, int]:
    if not items:
        return Configuration(), 0
    return decode_stored(items[0].value).configuration, items[0].mod_revision
