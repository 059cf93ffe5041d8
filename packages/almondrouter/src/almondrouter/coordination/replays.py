"""Cache of the requests with idempotency keys that this daemon has run."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field

from almondrouter.clock import Clock
from almondrouter.protocol.calls import CallReply
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.keys import CLAIM_RETENTION_S

MAX_REPLAY_BYTES = 2_000_000
"""Default limit on the size of a `ReplayCache`."""
ENTRY_BYTES = 1_000
"""Estimated size of an entry without its response."""


@dataclass(slots=True, eq=False)
class Run:
    """Run of a request with an idempotency key, in flight or finished.

    Parameters
    ----------
    key, fingerprint
        Idempotency key, and digest of the request's content when the key was first
        used.
    claim_id
        Claim under which the request runs; empty until the claim is acquired.
    sent_to_backend
        Whether the backend server may have received the request.
    waiters
        Number of callers that wait for the result.
    task
        Task of the run; None once it has finished.
    reply
        Result of the run; None while it is in flight.
    size
        Bytes that the finished run counts in the cache.
    finished_at
        Monotonic seconds at which the run finished.
    """

    key: str
    fingerprint: str
    claim_id: str = ""
    sent_to_backend: bool = False
    waiters: int = 0
    task: asyncio.Task[CallReply] | None = None
    reply: CallReply | None = None
    size: int = 0
    finished_at: float = field(default=0.0)


class ReplayCache:
    """Cache of runs in flight, finished runs, and abandoned claims.

    Parameters
    ----------
    clock
        Source of monotonic time.
    max_bytes
        Limit on the size of finished runs and abandoned claims together, in bytes.
        The oldest are evicted first; the outcome of an evicted run is unknown.
    """

    def __init__(self, *, clock: Clock, max_bytes: int = MAX_REPLAY_BYTES) -> None:
        self._clock = clock
        self._max_bytes = max_bytes
        self._runs: dict[str, Run] = {}
        self._finished: OrderedDict[str, Run] = OrderedDict()
        self._abandoned: OrderedDict[str, float] = OrderedDict()
        # Of the current and of the previous retention period.
        self._used_claim_hashes: tuple[set[int], set[int]] = (set(), set())
        self._rotated_at = clock.monotonic()
        self.size = 0

    def find(self, key: str) -> Run | None:
        """Return the run of a key, or None."""
        self._evict_entries()
        return self._runs.get(key)

    def start(self, key: str, fingerprint: str) -> Run:
        """Add a run for a key that has none, and return it."""
        run = Run(key, fingerprint)
        self._runs[key] = run
        return run

    def finish(self, run: Run, reply: CallReply) -> None:
        """Store the result of a run.

        The run is removed instead if the request was not run, or if the result alone
        exceeds the limit of the cache.
        """
        run.reply = reply
        if reply.outcome is Outcome.NOT_RUN:
            self._runs.pop(run.key, None)
            return
        run.size = ENTRY_BYTES + len(reply.body)
        run.size += sum(len(name) + len(value) for name, value in reply.headers)
        if run.size > self._max_bytes:
            self._runs.pop(run.key, None)
            return
        run.finished_at = self._clock.monotonic()
        run.task = None
        self._finished[run.key] = run
        self.size += run.size
        self._evict_entries()

    def list_in_flight(self) -> list[Run]:
        """Return the runs that have not finished."""
        return [run for run in self._runs.values() if run.task is not None]

    def mark_claim_used(self, claim_id: str) -> bool:
        """Mark a claim as used; return False if it was used before.

        Notes
        -----
        A claim lasts longer than the cache entry of its run, so a used claim must be
        recognized after its run was evicted. Only hashes are kept: after a collision an
        unused claim is refused, which is safe.
        """
        self._rotate_used_claims()
        digest = hash(claim_id)
        if any(digest in used for used in self._used_claim_hashes):
            return False
        self._used_claim_hashes[0].add(digest)
        return True

    def abandon_claim(self, claim_id: str) -> None:
        """Record that no request runs under a claim, now or later."""
        self._abandoned[claim_id] = self._clock.monotonic()
        self.size += ENTRY_BYTES
        self._evict_entries()

    def is_abandoned(self, claim_id: str) -> bool:
        """Return whether a claim is recorded as abandoned."""
        self._evict_entries()
        return claim_id in self._abandoned

    def _evict_entries(self) -> None:
        horizon = self._clock.monotonic() - CLAIM_RETENTION_S
        while self._finished and (
            self.size > self._max_bytes
            or next(iter(self._finished.values())).finished_at < horizon
        ):
            key, run = self._finished.popitem(last=False)
            self._runs.pop(key, None)
            self.size -= run.size
        while self._abandoned and (
            self.size > self._max_bytes
            or next(iter(self._abandoned.values())) < horizon
        ):
            self._abandoned.popitem(last=False)
            self.size -= ENTRY_BYTES

    def _rotate_used_claims(self) -> None:
        now = self._clock.monotonic()
        if now - self._rotated_at > CLAIM_RETENTION_S:
            self._used_claim_hashes = (set(), self._used_claim_hashes[0])
            self._rotated_at = now
