"""Holds the configuration in force and the snapshot compiled from it."""

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

# Bounds on the change records retained for peers that are behind; a peer that is
# further behind gets the complete document.
MAX_KEPT_RECORDS = 64
# Above this size, change records save nothing over sending a typical document.
MAX_KEPT_RECORD_BYTES = 64_000

EMPTY_HEAD = Head(0, "")

ActivationListener = Callable[[Snapshot], None]


@dataclass(frozen=True, slots=True)
class _ActiveState:
    """State that is replaced as a whole, by assigning a single reference.

    Parameters
    ----------
    generation
        Generation of the registry that the snapshot was compiled from.
    """

    configuration: Configuration
    head: Head
    snapshot: Snapshot
    generation: int


class Activation:
    """Holds the configuration in force and replaces it by newer versions.

    Guarantees that only newer, complete and valid configurations take effect, and
    that routes never lead to a backend server that is not known to work.

    Parameters
    ----------
    registry
        Hosts and backend servers that routes may lead to.

    Notes
    -----
    ``refusals`` counts refused configurations by error code and
    ``last_refusal`` holds the latest error. Receiving the version that is
    already in force does not count as a refusal.
    """

    def __init__(self, *, registry: Registry) -> None:
        self._registry = registry
        self._state = _ActiveState(Configuration(), EMPTY_HEAD, EMPTY_SNAPSHOT, -1)
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
        """The snapshot in force, recompiled first if the registry has changed."""
        if self._state.generation != self._registry.generation:
            self.recompile()
        return self._state.snapshot

    def head(self) -> Head:
        """Return the version in force and its digest."""
        return self._state.head

    def document(self) -> bytes:
        """Return the canonical JSON of the configuration in force."""
        if self._document is None:
            self._document = encode_configuration(self._state.configuration)
        return self._document

    def add_listener(self, listener: ActivationListener) -> None:
        """Register a callable that receives the snapshot after each activation."""
        self._listeners.append(listener)

    def activate(
        self,
        configuration: Configuration,
        *,
        digest: str,
        records: Sequence[ChangeRecord] = (),
    ) -> bool:
        """Put a configuration in force if it is newer, complete and valid.

        Parameters
        ----------
        configuration
            Configuration to put in force.
        digest
            Digest that the sender stated; must match the configuration's own.
        records
            Change records from the version in force to this one, retained for
            peers that are behind.

        Returns
        -------
        bool
            Whether it was put in force.
        """
        try:
            if not self._is_newer(Head(configuration.version, digest)):
                return False
            candidate = self._compile_configuration(configuration, digest)
        except AlmondError as error:
            return self._record_refusal(error)
        self._retain_records(records, candidate.head)
        self._document = None
        self._state = candidate
        for listener in self._listeners:
            listener(candidate.snapshot)
        return True

    def activate_document(self, document: bytes, *, digest: str) -> bool:
        """Decode a complete document and put it in force as `activate` does."""
        try:
            configuration = decode_configuration(document)
        except AlmondError as error:
            return self._record_refusal(error)
        return self.activate(configuration, digest=digest)

    def activate_records(self, records: Sequence[ChangeRecord]) -> bool:
        """Apply change records in order and put the final result in force.

        Records up to the version in force are skipped, as it may have been replaced
        since the sender was asked; the last of them must be that version. A gap in
        the versions or one invalid record causes all of them to be refused.

        Returns
        -------
        bool
            Whether a new version was put in force.
        """
        configuration, head = self._state.configuration, self._state.head
        known = [record for record in records if record.version <= head.version]
        newer = [record for record in records if record.version > head.version]
        try:
            if known:
                # Raises for an older version, or for another digest.
                self._is_newer(Head(known[-1].version, known[-1].digest))
            for record in newer:
                configuration = apply_record(configuration, record)
        except AlmondError as error:
            return self._record_refusal(error)
        if not newer:
            return False
        return self.activate(configuration, digest=newer[-1].digest, records=newer)

    def recompile(self) -> None:
        """Compile the snapshot again from the hosts in the registry now."""
        state = self._state
        generation = self._registry.generation
        snapshot = EMPTY_SNAPSHOT
        if state.head.version:
            snapshot = compile_snapshot(state.configuration, self._registry)
        self._state = _ActiveState(
            state.configuration, state.head, snapshot, generation
        )

    def find_records(self, head: Head) -> tuple[ChangeRecord, ...] | None:
        """Return the change records that lead from ``head`` to the version in force.

        Returns
        -------
        tuple of ChangeRecord or None
            None if a record is no longer retained, or if no retained version
            has the version and digest of ``head``.
        """
        heads = [self._records_base]
        heads += [Head(record.version, record.digest) for record, _ in self._records]
        if head not in heads:
            return None
        skipped = heads.index(head)
        return tuple(record for record, _ in self._records)[skipped:]

    def _is_newer(self, head: Head) -> bool:
        """Return whether ``head`` is newer than the version in force; False if equal.

        Raises
        ------
        AlmondError
            ``version_older`` if it is older, ``version_diverged`` if it is the same
            version with another digest.
        """
        current = self._state.head
        if head.version < current.version:
            message = (
                f"version {head.version} is older than the current {current.version}"
            )
            raise AlmondError(ErrorCode.VERSION_OLDER, message)
        if head.version == current.version and head.digest != current.digest:
            message = f"version {head.version} is in force with another digest"
            raise AlmondError(ErrorCode.VERSION_DIVERGED, message)
        return head.version > current.version

    def _compile_configuration(
        self, configuration: Configuration, digest: str
    ) -> _ActiveState:
        check_configuration(configuration)
        generation = self._registry.generation
        snapshot = compile_snapshot(configuration, self._registry)
        if snapshot.digest != digest:
            message = f"version {configuration.version} does not match its digest"
            raise AlmondError(ErrorCode.DIGEST_MISMATCH, message)
        head = Head(configuration.version, digest)
        return _ActiveState(configuration, head, snapshot, generation)

    def _record_refusal(self, error: AlmondError) -> bool:
        self.refusals[error.code] += 1
        self.last_refusal = error
        return False

    def _retain_records(self, records: Sequence[ChangeRecord], head: Head) -> None:
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
