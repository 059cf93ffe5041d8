"""Decides which callers give way when memory or descriptors run short."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from almondrouter.clock import Clock
from almondrouter.coordination.callerlimits import CONNECTION_BYTES

MIN_LARGE_BYTES = 65_536
"""Bytes of an unfinished request below which it is never held back."""
PRESSURE_SHARE = 0.5
"""Share of the budget from which on large requests are received one at a time."""
LARGE_SHARE = 15 / 16
"""Share of the budget that is left to large requests. The rest is kept for ordinary
ones, so that there is always room for one."""
TARGET_SHARE = 0.875
"""Share of the budget down to which callers are released when it is exceeded, so that
the choice is not made anew for each read."""
STALL_S = 1.0
"""Seconds without progress from which a caller counts as stalled under pressure."""
TURN_S = 2.0
"""Seconds for which one large request is received while others are held back."""


class Holder(ABC):
    """Connection of a caller, which holds memory."""

    @abstractmethod
    def measure_unsent(self) -> int:
        """Return the bytes of responses that the caller has yet to read."""

    @abstractmethod
    def awaits_caller(self) -> bool:
        """Return whether a response is left because the caller has not read it."""

    @abstractmethod
    def hold_back(self, *, enabled: bool) -> None:
        """Stop reading from the connection, or go on."""

    @abstractmethod
    def refuse_for_memory(self) -> None:
        """Refuse the request that is being received, as not run, and release it."""

    @abstractmethod
    def close_for_memory(self) -> None:
        """Close the connection at once and release all that it holds."""


@dataclass(slots=True, eq=False)
class Account:
    """What one connection holds.

    Parameters
    ----------
    address
        IP address of the caller.
    receiving, running, unsent
        Bytes of the request that is being received, of complete requests that have
        no response yet, and of responses that the caller has yet to read.
    progressed_at
        Time of the last byte received or sent, in monotonic seconds.
    held_back
        Whether the connection is not read, to leave memory to others.
    has_sent
        Whether the caller has sent anything yet.
    """

    address: str
    holder: Holder
    progressed_at: float
    receiving: int = 0
    running: int = 0
    unsent: int = 0
    held_back: bool = False
    turn_ends_at: float = 0.0
    has_sent: bool = False

    @property
    def held(self) -> int:
        """Return the bytes that the connection holds."""
        return CONNECTION_BYTES + self.receiving + self.running + self.unsent


class _Rank(IntEnum):
    """Order in which callers are released."""

    STALLED = 0
    LARGE = 1
    SMALL = 2


class CallerBudget:
    """Memory that the connections of callers hold together, and what is done about it.

    Parameters
    ----------
    limit
        Bytes that all connections may hold together.
    clock
        Source of monotonic time.

    Notes
    -----
    From half of the budget on, large requests are received one at a time, in the order
    in which they came, for `TURN_S` each; the others are not read. Those that stall are
    refused. Beyond the budget, callers are released until an eighth is free: first
    those that have stalled, by stalled time and size; then large requests, latest
    first, so that the earlier ones finish; then small ones. While one address holds
    more than half and there are others, only its own connections are released.
    """

    def __init__(self, limit: int, *, clock: Clock) -> None:
        self.limit = limit
        self.used = 0
        self.counts: Counter[str] = Counter()
        self._clock = clock
        self._accounts: dict[Account, None] = {}
        # Large requests under pressure, in the order in which they came.
        self._queue: dict[Account, None] = {}
        self._heavy_address: str | None = None

    @property
    def _has_pressure(self) -> bool:
        return self.used > self.limit * PRESSURE_SHARE

    @property
    def _large_bytes(self) -> int:
        return max(MIN_LARGE_BYTES, self.limit // 256)

    def open(self, address: str, holder: Holder) -> Account:
        """Return the account of a new connection."""
        account = Account(address, holder, self._clock.monotonic())
        self._accounts[account] = None
        self.used += CONNECTION_BYTES
        return account

    def close(self, account: Account) -> None:
        """Release all that a connection holds."""
        if account in self._accounts:
            del self._accounts[account]
            self.used -= account.held
            account.receiving = account.running = account.unsent = 0
            self._leave_queue(account)

    def set_receiving(self, account: Account, size: int) -> None:
        """Record how many bytes the unfinished request of a connection holds.

        May hold back, refuse or close this connection or others.
        """
        if account not in self._accounts:
            return
        self.used += size - account.receiving
        account.receiving = size
        account.progressed_at = self._clock.monotonic()
        account.has_sent = True
        if self.used <= self.limit * PRESSURE_SHARE and not self._queue:
            return
        if size > self._large_bytes:
            self._enqueue(account)
            self._keep_within(self.limit * LARGE_SHARE, account)
        else:
            self._leave_queue(account)
            self._keep_within(self.limit, account)

    def admit_request(self, account: Account, size: int) -> bool:
        """Count a request as complete, not as being received; False if it has no room.

        Parameters
        ----------
        size
            Bytes that it holds until `finish_request`.
        """
        if account not in self._accounts:
            return True
        self.used += size - account.receiving
        account.receiving = 0
        account.running += size
        account.has_sent = True
        if self.used > self.limit:
            # The request itself cannot be released, as it is about to run.
            self._release_down_to(self.limit, self._list_victims(account))
            if self.used > self.limit:
                self.finish_request(account, size)
                self.counts["memory_refused"] += 1
                return False
        return True

    def add_response(self, account: Account, size: int) -> None:
        """Add a response that waits for earlier ones; released by `finish_request`."""
        if account in self._accounts:
            self.used += size
            account.running += size
            self._keep_within(self.limit, account)

    def finish_request(self, account: Account, size: int) -> None:
        """Release a request, and the response to it, that were added to an account."""
        if account in self._accounts:
            self.used -= size
            account.running -= size
            if self._queue and not self._has_pressure:
                self._assign_turns()

    def reserve_peer_body(self, size: int) -> bool:
        """Count a body that another daemon sends; return False if it has no room.

        Notes
        -----
        Nobody is released for it: the other daemon can turn to another host.
        """
        share = LARGE_SHARE if size > self._large_bytes else 1.0
        if self.used + size > self.limit * share:
            return False
        self.used += size
        return True

    def release_peer_body(self, size: int) -> None:
        """Release a body that `reserve_peer_body` has counted."""
        self.used -= size
        if self._queue and not self._has_pressure:
            self._assign_turns()

    def measure_unsent(self, account: Account) -> None:
        """Record what the caller has yet to read; may close connections."""
        self._refresh_unsent(account)
        self._keep_within(self.limit, account)

    def tick(self) -> None:
        """Refuse callers that stalled under pressure; give the next one its turn."""
        for account in tuple(self._accounts):
            self._refresh_unsent(account)
        if self._has_pressure:
            victims = self._list_victims(None)
            stalled = [item for item in victims if item[0] is _Rank.STALLED]
            self._release_down_to(self.limit * PRESSURE_SHARE, stalled)
            self._find_heavy_address()
        self._assign_turns()

    def _refresh_unsent(self, account: Account) -> None:
        if account not in self._accounts:
            return
        size = account.holder.measure_unsent()
        if size == account.unsent:
            return
        if size < account.unsent or not account.unsent:
            account.progressed_at = self._clock.monotonic()
        self.used += size - account.unsent
        account.unsent = size

    def _enqueue(self, account: Account) -> None:
        if account not in self._queue:
            self._queue[account] = None
        elif account.held_back or account.turn_ends_at > self._clock.monotonic():
            return
        self._assign_turns()

    def _leave_queue(self, account: Account) -> None:
        if account in self._queue:
            del self._queue[account]
            if account.held_back:
                self._hold_back(account, enabled=False)
            self._assign_turns()

    def _assign_turns(self) -> None:
        """Let the first large request be received; under no pressure, all of them."""
        if not self._has_pressure:
            queued = tuple(self._queue)
            self._queue.clear()
            for account in queued:
                self._hold_back(account, enabled=False)
            return
        now = self._clock.monotonic()
        first = self._find_first()
        if first is None:
            return
        if not first.held_back and 0 < first.turn_ends_at <= now:
            # Others get a turn, as this one may send slowly for a long time.
            del self._queue[first]
            self._queue[first] = None
            first.turn_ends_at = 0.0
            first = self._find_first()
        for account in tuple(self._queue):
            self._hold_back(account, enabled=account is not first)
        if not first.turn_ends_at:
            first.turn_ends_at = now + TURN_S

    def _find_first(self) -> Account | None:
        """Return the large request whose turn it is, not of a heavy address if any."""
        others = (a for a in self._queue if a.address != self._heavy_address)
        return next(others, next(iter(self._queue), None))

    def _hold_back(self, account: Account, *, enabled: bool) -> None:
        if account.held_back is enabled:
            return
        account.held_back = enabled
        account.progressed_at = self._clock.monotonic()
        if enabled:
            self.counts["memory_held_back"] += 1
        else:
            account.turn_ends_at = 0.0
        account.holder.hold_back(enabled=enabled)

    def _keep_within(self, limit: float, account: Account) -> None:
        """Release callers if more than ``limit`` is used because of an account."""
        if self.used <= limit:
            return
        for other in tuple(self._accounts):
            self._refresh_unsent(other)
        if self.used > limit:
            target = min(limit, self.limit * TARGET_SHARE)
            self._release_down_to(target, self._list_victims(account))

    def _release_down_to(
        self, target: float, victims: Iterable[tuple[_Rank, Account]]
    ) -> None:
        for _, account in victims:
            if self.used <= target:
                break
            self._release(account)

    def _release(self, account: Account) -> None:
        """Refuse what is being received; close a caller that does not read."""
        if account not in self._accounts:
            return
        if account.unsent > account.receiving:
            self.counts["memory_closed"] += 1
            account.holder.close_for_memory()
            self.close(account)
            return
        self.counts["memory_refused"] += 1
        self.used -= account.receiving
        account.receiving = 0
        self._leave_queue(account)
        account.holder.refuse_for_memory()

    def _list_victims(self, asking: Account | None) -> list[tuple[_Rank, Account]]:
        """Return the accounts in the order in which they are to be released.

        Parameters
        ----------
        asking
            Account that needs memory, which is the last of its rank if it is small.
        """
        now = self._clock.monotonic()
        first_in_turn = self._find_first()
        ranked = []
        for position, account in enumerate(self._choose_candidates()):
            rank = self._rank(account, now)
            size = account.receiving + account.unsent
            if rank is _Rank.STALLED:
                order = (False, -size * (now - account.progressed_at))
            elif rank is _Rank.LARGE:
                order = (account is first_in_turn, -position)
            else:
                order = (account is asking, -size)
            ranked.append((rank, *order, position, account))
        ranked.sort(key=lambda item: item[:4])
        return [(item[0], item[-1]) for item in ranked]

    def _rank(self, account: Account, now: float) -> _Rank:
        waits = account.receiving > 0 or account.holder.awaits_caller()
        idle = now - account.progressed_at >= STALL_S
        if idle and waits and not account.held_back:
            return _Rank.STALLED
        size = account.receiving + account.unsent
        return _Rank.LARGE if size > self._large_bytes else _Rank.SMALL

    def _choose_candidates(self) -> Iterable[Account]:
        """Return accounts to choose from: those of an address that holds over half."""
        self._find_heavy_address()
        candidates = [a for a in self._accounts if a.receiving or a.unsent]
        heavy = [a for a in candidates if a.address == self._heavy_address]
        return heavy or candidates

    def _find_heavy_address(self) -> None:
        """Find the address that holds over half of the budget, if there are others."""
        totals: Counter[str] = Counter()
        for account in self._accounts:
            totals[account.address] += account.held
        self._heavy_address = None
        for address, held in totals.items():
            if held > self.limit / 2 and len(totals) > 1:
                self._heavy_address = address


def choose_without_use(
    accounts: Iterable[Account], count: int, now: float
) -> list[Account]:
    """Return connections to close when a new one finds no descriptor.

    Parameters
    ----------
    count
        Number of connections to return at most.
    now
        Time in monotonic seconds.

    Returns
    -------
    list
        First those that never sent anything, then those without a request or response,
        then those that stalled in a request; of each kind the longest idle first.
    """
    ranked = []
    for account in accounts:
        idle = not (account.receiving or account.running or account.unsent)
        stalled = now - account.progressed_at >= STALL_S
        if idle or (stalled and not account.running and not account.held_back):
            kind = 2 if not idle else int(account.has_sent)
            ranked.append((kind, account.progressed_at, account))
    ranked.sort(key=lambda item: item[:2])
    return [account for _, _, account in ranked[:count]]
