"""The configuration in force and the snapshot compiled from it."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import Head
from almondrouter.state.changes import ChangeRecord, apply_record
from almondrouter.state.registry import Registry
from almondrouter.state.snapshot import EMPTY_SNAPSHOT, Snapshot, compile_snapshot
from almondrouter.state.targets import (
    Configuration,
    check_configuration,
    decode_configuration,
    encode_configuration,
)

MAX_KEPT_RECORDS = 64
# A delta longer than this is no cheaper than the usual document.
MAX_KEPT_RECORD_BYTES = 64_000

EMPTY_HEAD = Head(0, "")

ActivationListener = Callable[[Snapshot], None]


@dataclass(frozen=True, slots=True)
class _InForce:
    """What one reference assignment swaps."""

    configuration: Configuration
    head: Head
    snapshot: Snapshot
    generation: int


class Activation:
    """Holds the configuration in force; guarantees G1, G2 and G3 are kept here.

    Parameters
    ----------
    registry
        Hosts and backend servers that routes may lead to.

    Notes
    -----
    ``refusals`` counts refused configurations by code and ``last_refusal``
    holds the newest one. A version that is in force already is no refusal.
    """

    def __init__(self, *, registry: Registry) -> None:
        self._registry = registry
        self._state = _InForce(Configuration(), EMPTY_HEAD, EMPTY_SNAPSHOT, -1)
        self._listeners: list[ActivationListener] = []
        self._records: deque[tuple[ChangeRecord, int]] = deque()
        self._records_base = EMPTY_HEAD
        self._document: bytes | None = None
        self.refusals: Counter[ErrorCode] = Counter()
        self.last_refusal: AlmondError | None = None

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._state.configuration

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot in force, compiled again if the registry has changed."""
        if self._state.generation != self._registry.generation:
            self.recompile()
        return self._state.snapshot

    def head(self) -> Head:
        """Return the version in force with its digest."""
        return self._state.head

    def document(self) -> bytes:
        """Return the canonical JSON of the configuration in force."""
        if self._document is None:
            self._document = encode_configuration(self._state.configuration)
        return self._document

    def add_listener(self, listener: ActivationListener) -> None:
        """Call ``listener`` with the snapshot after each activation."""
        self._listeners.append(listener)

    def activate(
        self,
        configuration: Configuration,
        *,
        digest: str,
        records: Sequence[ChangeRecord] = (),
    ) -> bool:
        """Put a configuration in force if it is newer, whole and valid.

        Parameters
        ----------
        configuration
            The candidate.
        digest
            Digest that its source names for it.
        records
            Change records that lead to it, kept for peers that are behind.

        Returns
        -------
        bool
            Whether it was put in force.
        """
        try:
            if not self._is_newer(Head(configuration.version, digest)):
                return False
            candidate = self._compile(configuration, digest)
        except AlmondError as error:
            return self._refuse(error)
        self._keep_records(records, candidate.head)
        self._document = None
        self._state = candidate
        for listener in self._listeners:
            listener(candidate.snapshot)
        return True

    def activate_document(self, document: bytes, *, digest: str) -> bool:
        """Decode a whole document and put it in force as `activate` does."""
        try:
            configuration = decode_configuration(document)
        except AlmondError as error:
            return self._refuse(error)
        return self.activate(configuration, digest=digest)

    def activate_records(self, records: Sequence[ChangeRecord]) -> bool:
        """Apply change records in order and put the last result in force.

        Records of versions that are in force already are passed over. A gap or
        one bad record refuses all of them.
        """
        configuration = self._state.configuration
        applied = []
        try:
            for record in records:
                if record.version <= self._state.head.version:
                    self._is_newer(Head(record.version, record.digest))
                    continue
                configuration = apply_record(configuration, record)
                applied.append(record)
        except AlmondError as error:
            return self._refuse(error)
        if not applied:
            return False
        digest = applied[-1].digest
        return self.activate(configuration, digest=digest, records=applied)

    def recompile(self) -> None:
        """Compile the configuration in force with the hosts known now."""
        state = self._state
        generation = self._registry.generation
        snapshot = EMPTY_SNAPSHOT
        if state.head.version:
            snapshot = compile_snapshot(state.configuration, self._registry)
        self._state = _InForce(state.configuration, state.head, snapshot, generation)

    def find_records(self, head: Head) -> tuple[ChangeRecord, ...] | None:
        """Return the change records that lead from ``head`` to the one in force.

        Returns
        -------
        tuple of ChangeRecord or None
            None if a record is no longer kept or ``head`` is of another
            history.
        """
        heads = [self._records_base]
        heads += [Head(record.version, record.digest) for record, _ in self._records]
        if head not in heads:
            return None
        skipped = heads.index(head)
        return tuple(record for record, _ in self._records)[skipped:]

    def _is_newer(self, head: Head) -> bool:
        current = self._state.head
        if head.version < current.version:
            message = f"version {head.version} is older than {current.version}"
            raise AlmondError(ErrorCode.VERSION_OLDER, message)
        if head.version == current.version and head.digest != current.digest:
            message = f"version {head.version} is in force with another digest"
            raise AlmondError(ErrorCode.VERSION_DIVERGED, message)
        return head.version > current.version

    def _compile(self, configuration: Configuration, digest: str) -> _InForce:
        check_configuration(configuration)
        generation = self._registry.generation
        snapshot = compile_snapshot(configuration, self._registry)
        if snapshot.digest != digest:
            message = f"version {configuration.version} has another digest than named"
            raise AlmondError(ErrorCode.DIGEST_MISMATCH, message)
        head = Head(configuration.version, digest)
        return _InForce(configuration, head, snapshot, generation)

    def _refuse(self, error: AlmondError) -> bool:
        self.refusals[error.code] += 1
        self.last_refusal = error
        return False

    def _keep_records(self, records: Sequence[ChangeRecord], head: Head) -> None:
        if not records or records[0].version != self._state.head.version + 1:
            self._records.clear()
            self._records_base = head
            return
        for record in records:
            self._records.append((record, len(msgspec.msgpack.encode(record))))
        while len(self._records) > MAX_KEPT_RECORDS or (
            sum(size for _, size in self._records) > MAX_KEPT_RECORD_BYTES
        ):
            dropped, _ = self._records.popleft()
            self._records_base = Head(dropped.version, dropped.digest)
