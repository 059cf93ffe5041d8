"""Writes changes of the configuration to the store by compare-and-swap."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

import msgspec
import uuid6

from almondrouter.clock import Clock
from almondrouter.coordination.history import History, Verdict, judge
from almondrouter.errors import (
    ErrorCode,
    Finding,
    FindingsError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from almondrouter.protocol.keys import StoreKeys
from almondrouter.state.changes import Change, ChangeRecord, apply_change
from almondrouter.state.stored import StoredConfiguration, encode_stored
from almondrouter.state.targets import Configuration
from almondrouter.transport.store import (
    MAX_VALUE_BYTES,
    Compare,
    Delete,
    Put,
    Store,
    Transaction,
)

KEPT_RECORDS = 2_000
# Racing writers that retry at the same moment would fail together again.
RETRY_DELAY_S = (0.02, 0.2)

_ABSENT_MESSAGE = "this version does not exist yet; a delayed write may still make it"
_PRUNED_MESSAGE = "history does not reach back to this version"

T = TypeVar("T")


class AcceptanceStatus(StrEnum):
    """What became of a change.

    ``REFUSED`` is said only if the change is not in force and cannot come into
    force any more; ``UNKNOWN`` is resolved later by its version and change id.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Result of a change.

    Parameters
    ----------
    version
        Version that the change made or was last tried as; 0 if it was never
        written.
    change_id
        Unique id of the change.
    findings
        Why it was refused, or why the outcome is unknown.
    """

    status: AcceptanceStatus
    version: int
    change_id: str
    findings: tuple[Finding, ...] = ()


@dataclass(frozen=True, slots=True)
class _Request:
    change: Change
    author: str
    reason: str
    expect_version: int | None
    replace: bool
    deadline: float
    change_id: str


@dataclass(frozen=True, slots=True)
class _Write:
    """A write that is bound to one revision of the configuration."""

    record: ChangeRecord
    transaction: Transaction
    deadline: float


class ChangeWriter:
    """Submits changes, and reads the configuration and its history.

    Parameters
    ----------
    store, keys
        Where the configuration is kept.
    clock
        Measures deadlines and dates the records.
    kept_records
        Number of change records that history keeps.
    sleep
        Waits between attempts.
    """

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        *,
        clock: Clock,
        kept_records: int = KEPT_RECORDS,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = store
        self._keys = keys
        self._history = History(store, keys)
        self._clock = clock
        self._kept_records = kept_records
        self._sleep = sleep

    async def read(self) -> tuple[Configuration, int]:
        """Return the configuration and its store revision; 0 if there is none.

        Raises
        ------
        StoreUnavailableError
            If the store was not reached.
        FindingsError
            If the document in the store is not valid.
        """
        return await self._history.read_configuration()

    async def submit(
        self,
        change: Change,
        *,
        author: str,
        reason: str,
        expect_version: int | None = None,
        replace: bool = False,
        deadline: float,
    ) -> Acceptance:
        """Apply a change to the latest configuration and write the result.

        Changes of other targets that get in first are kept: the change is
        applied again on top of them.

        Parameters
        ----------
        change
            Targets to set and to withdraw.
        author, reason
            Kept in the history.
        expect_version
            Version that the operator has seen; the change is refused if a later
            one touched the same targets. Without it, declared targets are not
            changed.
        replace
            Change the targets whoever touched them last.
        deadline
            Monotonic seconds.
        """
        request = _Request(
            change=change,
            author=author,
            reason=reason,
            expect_version=expect_version,
            replace=replace,
            deadline=deadline,
            change_id=str(uuid6.uuid7()),
        )
        version = 0
        while True:
            try:
                write = await self._prepare(request)
            except FindingsError as error:
                return _refuse(version, request, error.findings)
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                if self._has_passed(deadline):
                    finding = Finding("store", error.code, error.message)
                    return _refuse(version, request, (finding,))
                await self._pause()
                continue
            version = write.record.version
            try:
                verdict = await self._settle(write)
            except StoreUnavailableError as error:
                finding = Finding("store", error.code, error.message)
                return _refuse(version, request, (finding,))
            except StoreOutcomeUnknownError as error:
                return _leave_open(version, request.change_id, error.message)
            if verdict is Verdict.ACCEPTED:
                return Acceptance(AcceptanceStatus.ACCEPTED, version, request.change_id)
            if verdict is Verdict.PRUNED:
                return _leave_open(version, request.change_id, _PRUNED_MESSAGE)
            await self._pause()

    async def resolve(self, version: int, change_id: str) -> Acceptance:
        """Say what became of a change whose outcome was unknown.

        Parameters
        ----------
        version, change_id
            As reported by `submit`.

        Raises
        ------
        StoreUnavailableError
            If the store was not reached.
        """
        result = await self._store.commit(self._history.read_back(version))
        verdict = judge(result, version, change_id)
        if verdict is Verdict.ACCEPTED:
            return Acceptance(AcceptanceStatus.ACCEPTED, version, change_id)
        if verdict is Verdict.SUPERSEDED:
            message = "another change made this version"
            place = f"history.{version}"
            finding = Finding(place, ErrorCode.VERSION_CONFLICT, message)
            status = AcceptanceStatus.REFUSED
            return Acceptance(status, version, change_id, (finding,))
        absent = verdict is Verdict.ABSENT
        message = _ABSENT_MESSAGE if absent else _PRUNED_MESSAGE
        return _leave_open(version, change_id, message)

    async def list_history(self, limit: int = 20) -> tuple[ChangeRecord, ...]:
        """Return the latest change records, the newest first."""
        configuration, _ = await self.read()
        first = max(1, configuration.version - limit + 1)
        records = await self._history.read_records(first, configuration.version)
        return tuple(reversed(records))

    async def _prepare(self, request: _Request) -> _Write:
        """Apply the change to the latest configuration; raises its findings."""
        configuration, revision = await self._within(request.deadline, self.read())
        await self._check_expectation(request, configuration)
        result = apply_change(configuration, request.change)
        record = ChangeRecord(
            version=result.version,
            change_id=request.change_id,
            author=request.author,
            reason=request.reason,
            accepted_at=self._clock.wall(),
            change=request.change,
            digest=result.digest(),
        )
        transaction = self._make_transaction(result, record, revision)
        return _Write(record, transaction, request.deadline)

    def _make_transaction(
        self, result: Configuration, record: ChangeRecord, revision: int
    ) -> Transaction:
        document = encode_stored(
            StoredConfiguration(record.change_id, record.digest, result)
        )
        encoded = msgspec.json.encode(record)
        _check_size("configuration", document)
        _check_size("change", encoded)
        record_key = self._keys.history_record(record.version)
        success = [Put(self._keys.configuration, document), Put(record_key, encoded)]
        pruned = record.version - self._kept_records
        if pruned > 0:
            success.append(Delete(self._keys.history_record(pruned)))
        read_back = self._history.read_back(record.version)
        return Transaction(
            compares=(
                Compare(self._keys.configuration, mod_revision=revision),
                # Keeps a lost configuration document from restarting the
                # versions on top of an existing history.
                Compare(record_key, mod_revision=0),
            ),
            success=tuple(success),
            failure=read_back.success,
        )

    async def _settle(self, write: _Write) -> Verdict:
        """Write until the store has said what became of it.

        Every attempt repeats the same transaction, bound to one revision of the
        configuration, so at most one of them can take effect. After a lost
        answer the store is read before anything is written again.

        Raises
        ------
        StoreUnavailableError
            At the deadline, if no attempt can have reached the store.
        StoreOutcomeUnknownError
            At the deadline, if an attempt may still take effect.
        """
        in_doubt = False
        while not self._has_passed(write.deadline):
            verdict = Verdict.ABSENT
            try:
                if in_doubt:
                    verdict = await self._read_back(write)
                if verdict is Verdict.ABSENT:
                    verdict = await self._commit(write)
            except StoreUnavailableError:
                pass
            except StoreOutcomeUnknownError:
                in_doubt = True
            if verdict is not Verdict.ABSENT:
                return verdict
            await self._pause()
        if in_doubt:
            raise StoreOutcomeUnknownError("the answer of the store was lost")
        raise StoreUnavailableError("the change could not be written by the deadline")

    async def _commit(self, write: _Write) -> Verdict:
        commit = self._store.commit(write.transaction)
        result = await self._within(write.deadline, commit)
        if result.succeeded:
            return Verdict.ACCEPTED
        record = write.record
        verdict = judge(result, record.version, record.change_id)
        # The revision that the write is bound to has passed, so an absent record
        # cannot appear any more.
        return Verdict.SUPERSEDED if verdict is Verdict.ABSENT else verdict

    async def _read_back(self, write: _Write) -> Verdict:
        record = write.record
        commit = self._store.commit(self._history.read_back(record.version))
        result = await self._within(write.deadline, commit)
        return judge(result, record.version, record.change_id)

    async def _check_expectation(
        self, request: _Request, configuration: Configuration
    ) -> None:
        changed_targets = request.change.changed_targets()
        if not changed_targets:
            message = "the change names no target"
            raise FindingsError(
                [Finding("change", ErrorCode.VALUE_OUT_OF_RANGE, message)]
            )
        if request.replace:
            return
        if request.expect_version is None:
            declared = {f"services.{name}" for name in configuration.services}
            declared |= {f"classes.{name}" for name in configuration.classes}
            message = "is declared already; pass the version you saw, or replace it"
            _refuse_conflicts({place: message for place in changed_targets & declared})
            return
        later = await self._read_later(request, configuration)
        _refuse_conflicts(
            {
                place: f"was changed by version {record.version} ({record.author})"
                for record in later
                for place in changed_targets & record.change.changed_targets()
            }
        )

    async def _read_later(
        self, request: _Request, configuration: Configuration
    ) -> list[ChangeRecord]:
        """Return the records after the expected version, up to the latest one."""
        seen, latest = request.expect_version, configuration.version
        if seen > latest:
            message = f"there is no version {seen} yet; the latest is {latest}"
            _refuse_conflicts({"expect_version": message})
        reading = self._history.read_records(seen + 1, latest)
        later = await self._within(request.deadline, reading)
        if len(later) != latest - seen:
            message = f"history does not reach back to version {seen}"
            _refuse_conflicts({"expect_version": message})
        return later

    async def _within(self, deadline: float, operation: Awaitable[T]) -> T:
        try:
            async with asyncio.timeout(deadline - self._clock.monotonic()):
                return await operation
        except TimeoutError as error:
            raise StoreOutcomeUnknownError("no answer by the deadline") from error

    async def _pause(self) -> None:
        await self._sleep(random.uniform(*RETRY_DELAY_S))

    def _has_passed(self, deadline: float) -> bool:
        return self._clock.monotonic() >= deadline


def _leave_open(version: int, change_id: str, message: str) -> Acceptance:
    place = f"history.{version}"
    finding = Finding(place, ErrorCode.STORE_OUTCOME_UNKNOWN, message)
    status = AcceptanceStatus.UNKNOWN
    return Acceptance(status, version, change_id, (finding,))


def _refuse(
    version: int, request: _Request, findings: tuple[Finding, ...]
) -> Acceptance:
    status = AcceptanceStatus.REFUSED
    return Acceptance(status, version, request.change_id, findings)


def _refuse_conflicts(conflicts: dict[str, str]) -> None:
    if conflicts:
        code = ErrorCode.VERSION_CONFLICT
        raise FindingsError(
            [Finding(place, code, conflicts[place]) for place in sorted(conflicts)]
        )


def _check_size(place: str, data: bytes) -> None:
    if len(data) > MAX_VALUE_BYTES:
        message = f"{len(data)} bytes, at most {MAX_VALUE_BYTES} are allowed"
        code = ErrorCode.CONFIGURATION_TOO_LARGE
        raise FindingsError([Finding(place, code, message)])
