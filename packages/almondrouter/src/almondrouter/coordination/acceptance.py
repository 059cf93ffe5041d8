"""Writes configuration changes to the store by compare-and-swap."""

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
from almondrouter.coordination.history import History, WriteOutcome, find_write_outcome
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

# Change records kept in the store; each accepted change removes the oldest beyond it.
KEPT_RECORDS = 2_000
# Minimum and maximum delay between attempts; randomized so that concurrent writers
# whose transactions conflicted do not retry at the same moment and conflict again.
RETRY_DELAY_S = (0.02, 0.2)

_ABSENT_MESSAGE = "this version does not exist yet; a delayed write may still create it"
_PRUNED_MESSAGE = "the change record of this version has been pruned from the history"

T = TypeVar("T")


class AcceptanceStatus(StrEnum):
    """Outcome of a submitted change.

    ``REFUSED`` guarantees that the change has not taken effect and never will.
    ``UNKNOWN`` can be resolved later from the version and the change id.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Result of a submitted change.

    Parameters
    ----------
    version
        Version that the change created, or that the last attempt to write it
        would have created; 0 if no write was attempted.
    change_id
        Unique id of the change.
    findings
        Reasons for a refusal or for an unknown outcome.
    """

    status: AcceptanceStatus
    version: int
    change_id: str
    findings: tuple[Finding, ...] = ()


@dataclass(frozen=True, slots=True)
class _ChangeRequest:
    change: Change
    author: str
    reason: str
    expect_version: int | None
    replace: bool
    deadline: float
    change_id: str


@dataclass(frozen=True, slots=True)
class _PreparedWrite:
    """A transaction that succeeds only at one store revision of the configuration."""

    record: ChangeRecord
    transaction: Transaction
    deadline: float


class ChangeWriter:
    """Submits changes, and reads the configuration and its history.

    Parameters
    ----------
    store, keys
        Store, and keys under which the configuration and its history are stored.
    clock
        Source of monotonic time for deadlines and of the records' timestamps.
    kept_records
        Number of change records to retain in the history.
    sleep
        Waits the given number of seconds between attempts.
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
        """Read the configuration from the store.

        Returns
        -------
        tuple of Configuration and int
            The configuration and its store revision; an empty configuration and
            0 if the store holds none.

        Raises
        ------
        StoreUnavailableError
            If the store could not be reached.
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

        If another change is written first, this one is applied again to the
        resulting configuration, so concurrent changes of other targets are kept.

        Parameters
        ----------
        change
            Targets to set and to withdraw.
        author, reason
            Recorded in the history.
        expect_version
            Version that the operator based the change on; the change is refused
            if a later version changed one of its targets. If None, targets that
            are already declared are not changed.
        replace
            Skip these checks and overwrite the targets.
        deadline
            Monotonic time in seconds after which no attempt is started.

        Returns
        -------
        Acceptance
            The outcome. Store failures and findings are reported in it, not
            raised.
        """
        request = _ChangeRequest(
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
                write = await self._prepare_write(request)
            except FindingsError as error:
                return _make_refusal(version, request, error.findings)
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                if self._has_passed(deadline):
                    finding = Finding("store", error.code, error.message)
                    return _make_refusal(version, request, (finding,))
                await self._wait_before_retry()
                continue
            version = write.record.version
            try:
                outcome = await self._commit_until_resolved(write)
            except StoreUnavailableError as error:
                finding = Finding("store", error.code, error.message)
                return _make_refusal(version, request, (finding,))
            except StoreOutcomeUnknownError as error:
                return _make_unknown_acceptance(
                    version, request.change_id, error.message
                )
            if outcome is WriteOutcome.ACCEPTED:
                return Acceptance(AcceptanceStatus.ACCEPTED, version, request.change_id)
            if outcome is WriteOutcome.PRUNED:
                return _make_unknown_acceptance(
                    version, request.change_id, _PRUNED_MESSAGE
                )
            await self._wait_before_retry()

    async def resolve(self, version: int, change_id: str) -> Acceptance:
        """Determine the outcome of a change that `submit` reported as unknown.

        Parameters
        ----------
        version, change_id
            As reported by `submit`.

        Raises
        ------
        StoreUnavailableError
            If the store could not be reached.
        """
        result = await self._store.commit(self._history.make_read_back(version))
        outcome = find_write_outcome(result, version, change_id)
        if outcome is WriteOutcome.ACCEPTED:
            return Acceptance(AcceptanceStatus.ACCEPTED, version, change_id)
        if outcome is WriteOutcome.SUPERSEDED:
            message = "this version was created by another change"
            place = f"history.{version}"
            finding = Finding(place, ErrorCode.VERSION_CONFLICT, message)
            status = AcceptanceStatus.REFUSED
            return Acceptance(status, version, change_id, (finding,))
        absent = outcome is WriteOutcome.ABSENT
        message = _ABSENT_MESSAGE if absent else _PRUNED_MESSAGE
        return _make_unknown_acceptance(version, change_id, message)

    async def list_history(self, limit: int = 20) -> tuple[ChangeRecord, ...]:
        """Return up to ``limit`` of the latest change records, newest first."""
        configuration, _ = await self.read()
        first = max(1, configuration.version - limit + 1)
        records = await self._history.read_records(first, configuration.version)
        return tuple(reversed(records))

    async def _prepare_write(self, request: _ChangeRequest) -> _PreparedWrite:
        """Apply the change to the latest configuration and build its transaction.

        Raises
        ------
        FindingsError
            If the change or the resulting configuration is not valid, or the
            change conflicts with an earlier one.
        """
        configuration, revision = await self._run_with_deadline(
            request.deadline, self.read()
        )
        await self._check_conflicts(request, configuration)
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
        return _PreparedWrite(record, transaction, request.deadline)

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
        read_back = self._history.make_read_back(record.version)
        return Transaction(
            compares=(
                Compare(self._keys.configuration, mod_revision=revision),
                # If the configuration document was lost but the history was
                # not, versions must not start again from 1.
                Compare(record_key, mod_revision=0),
            ),
            success=tuple(success),
            failure=read_back.success,
        )

    async def _commit_until_resolved(self, write: _PreparedWrite) -> WriteOutcome:
        """Commit the transaction, with retries, until its outcome is known.

        Every attempt repeats the same transaction, which succeeds only at one
        store revision of the configuration, so at most one attempt can take
        effect. After a lost response, the store is read before the next attempt.

        Raises
        ------
        StoreUnavailableError
            At the deadline, if no attempt can have reached the store.
        StoreOutcomeUnknownError
            At the deadline, if an attempt may still take effect.
        """
        in_doubt = False
        while not self._has_passed(write.deadline):
            outcome = WriteOutcome.ABSENT
            try:
                if in_doubt:
                    outcome = await self._read_back(write)
                if outcome is WriteOutcome.ABSENT:
                    outcome = await self._commit_write(write)
            except StoreUnavailableError:
                pass
            except StoreOutcomeUnknownError:
                in_doubt = True
            if outcome is not WriteOutcome.ABSENT:
                return outcome
            await self._wait_before_retry()
        if in_doubt:
            raise StoreOutcomeUnknownError(
                "the store's response was lost; the change may still take effect"
            )
        raise StoreUnavailableError(
            "no attempt to write the change reached the store by the deadline"
        )

    async def _commit_write(self, write: _PreparedWrite) -> WriteOutcome:
        commit = self._store.commit(write.transaction)
        result = await self._run_with_deadline(write.deadline, commit)
        if result.succeeded:
            return WriteOutcome.ACCEPTED
        record = write.record
        outcome = find_write_outcome(result, record.version, record.change_id)
        # The compared revision no longer exists, so no attempt of this write can
        # create the record any more.
        return WriteOutcome.SUPERSEDED if outcome is WriteOutcome.ABSENT else outcome

    async def _read_back(self, write: _PreparedWrite) -> WriteOutcome:
        record = write.record
        commit = self._store.commit(self._history.make_read_back(record.version))
        result = await self._run_with_deadline(write.deadline, commit)
        return find_write_outcome(result, record.version, record.change_id)

    async def _check_conflicts(
        self, request: _ChangeRequest, configuration: Configuration
    ) -> None:
        """Refuse a change without targets, or one that conflicts with another change.

        Raises
        ------
        FindingsError
            ``value_out_of_range`` if the change has no target. ``version_conflict``
            if a target was changed after the expected version, if that version does
            not exist yet or the history lacks records after it, or, if no version is
            expected, if a target is already declared.
        """
        changed_targets = request.change.changed_targets()
        if not changed_targets:
            message = "the change sets or withdraws no target"
            raise FindingsError(
                [Finding("change", ErrorCode.VALUE_OUT_OF_RANGE, message)]
            )
        if request.replace:
            return
        if request.expect_version is None:
            declared = {f"services.{name}" for name in configuration.services}
            declared |= {f"classes.{name}" for name in configuration.classes}
            message = "is already declared; pass the version you saw, or replace it"
            _refuse_conflicts({place: message for place in changed_targets & declared})
            return
        later = await self._read_later_records(request, configuration)
        _refuse_conflicts(
            {
                place: f"was changed by version {record.version} ({record.author})"
                for record in later
                for place in changed_targets & record.change.changed_targets()
            }
        )

    async def _read_later_records(
        self, request: _ChangeRequest, configuration: Configuration
    ) -> list[ChangeRecord]:
        """Return the records after the expected version, up to the latest one."""
        seen, latest = request.expect_version, configuration.version
        if seen > latest:
            message = f"version {seen} does not exist yet; the latest is {latest}"
            _refuse_conflicts({"expect_version": message})
        reading = self._history.read_records(seen + 1, latest)
        later = await self._run_with_deadline(request.deadline, reading)
        if len(later) != latest - seen:
            message = f"the history no longer reaches back to version {seen}"
            _refuse_conflicts({"expect_version": message})
        return later

    async def _run_with_deadline(self, deadline: float, operation: Awaitable[T]) -> T:
        try:
            async with asyncio.timeout(deadline - self._clock.monotonic()):
                return await operation
        except TimeoutError as error:
            raise StoreOutcomeUnknownError(
                "the store did not respond by the deadline"
            ) from error

    async def _wait_before_retry(self) -> None:
        await self._sleep(random.uniform(*RETRY_DELAY_S))

    def _has_passed(self, deadline: float) -> bool:
        return self._clock.monotonic() >= deadline


def _make_unknown_acceptance(version: int, change_id: str, message: str) -> Acceptance:
    place = f"history.{version}"
    finding = Finding(place, ErrorCode.STORE_OUTCOME_UNKNOWN, message)
    status = AcceptanceStatus.UNKNOWN
    return Acceptance(status, version, change_id, (finding,))


def _make_refusal(
    version: int, request: _ChangeRequest, findings: tuple[Finding, ...]
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
