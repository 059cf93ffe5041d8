"""Replay of requests with long responses on one link, in virtual time.

The scheduler and the admission of the daemon run without sockets. A link carries what
they hand to it in order, and short frames beside it.
"""

from __future__ import annotations

import asyncio
import math
import random

from almondrouter.clock import ManualClock
from almondrouter.coordination.transfers.admission import TransferAdmission
from almondrouter.coordination.transfers.budget import LinkBudget
from almondrouter.coordination.transfers.scheduler import TransferScheduler
from almondrouter.protocol.calls import CallReply, CallRequest
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.transport.transfers import Transfer
from almondrouter_standins.virtual_time import run_virtual

LINK_BYTES_PER_SECOND = 1_250_000.0
"""A link of 10 Mbit/s."""
MEAN_BYTES, MIN_BYTES, MAX_BYTES = 90_000, 400, 540_000
MEDIAN_BYTES, SIGMA = 60_300, 1.0
"""Parameters of the lognormal sizes, whose mean within the bounds is 89 KB."""
TARGET_S, DEADLINE_S, RUN_S = 1.0, 3.6, 0.129
LATE_VALUE = 0.3
SHORT_BYTES, SHORT_INTERVAL_S = 600, 0.02
"""Replies of nested calls that leave beside the transfers."""


class _Link:
    """Carries bytes in the order in which they were handed to it."""

    def __init__(self, clock: ManualClock) -> None:
        self.budget = LinkBudget(bytes_per_second=LINK_BYTES_PER_SECOND, clock=clock)
        self.bytes = 0
        self._clock = clock
        self._free_at = 0.0

    def send(self, size: int) -> float:
        """Hand over bytes; return the time at which the link has carried them."""
        self.budget.charge(size)
        self.bytes += size
        self._free_at = max(self._free_at, self._clock.monotonic())
        self._free_at += size / LINK_BYTES_PER_SECOND
        return self._free_at


class LinkReplay:
    """Serves requests of several ranks over one link.

    Parameters
    ----------
    load
        Bytes of all responses relative to what the link carries.
    seed
        Seed of arrivals, sizes and run times.
    seconds
        Seconds in which requests arrive.
    ranks
        Ranks of the requests, which are equally likely.
    """

    def __init__(
        self,
        load: float,
        *,
        seed: int = 1,
        seconds: float = 30.0,
        ranks: tuple[int, ...] = (0, 1, 1, 2),
    ) -> None:
        self.values: dict[int, list[float]] = {rank: [] for rank in ranks}
        """Values of the requests by rank."""
        self.refused = 0
        self.short_delays: list[float] = []
        """Seconds until the link had carried each short frame."""
        self._clock = ManualClock(monotonic=0.0)
        self._link = _Link(self._clock)
        self._scheduler = TransferScheduler(self._link.budget, self._clock)
        self._admission = TransferAdmission(self._scheduler, self._clock)
        self._random = random.Random(seed)
        self._arrival_rate = load * LINK_BYTES_PER_SECOND / MEAN_BYTES
        self._seconds = seconds
        self._ranks = ranks

    def run(self) -> None:
        """Run the replay to the end of its last request."""
        run_virtual(self._run(), self._clock)

    @property
    def all_values(self) -> list[float]:
        """Values of the requests of all ranks."""
        return [value for values in self.values.values() for value in values]

    @property
    def used_share(self) -> float:
        """Share of the link's rate that was used over the replay."""
        return self._link.bytes / LINK_BYTES_PER_SECOND / self._clock.monotonic()

    async def _run(self) -> None:
        short = asyncio.create_task(self._send_short_frames())
        tasks = []
        while self._clock.monotonic() < self._seconds:
            await asyncio.sleep(self._random.expovariate(self._arrival_rate))
            tasks.append(asyncio.create_task(self._serve(self._choose_size())))
        await asyncio.gather(*tasks)
        short.cancel()

    def _choose_size(self) -> int:
        size = 0
        while not MIN_BYTES <= size <= MAX_BYTES:
            size = int(self._random.lognormvariate(math.log(MEDIAN_BYTES), SIGMA))
        return size

    async def _send_short_frames(self) -> None:
        while True:
            await asyncio.sleep(SHORT_INTERVAL_S)
            sent_at = self._clock.monotonic()
            self.short_delays.append(self._link.send(SHORT_BYTES) - sent_at)

    async def _serve(self, size: int) -> None:
        request = self._make_request()
        arrived_at = await self._transfer(size, request)
        value = 1.0 if arrived_at <= request.useful_until else LATE_VALUE
        if arrived_at > request.deadline:
            value = 0.0
        self.values[request.rank].append(value)

    def _make_request(self) -> CallRequest:
        now, rank = self._clock.monotonic(), self._random.choice(self._ranks)
        return CallRequest(
            0, "route", "", "GET", "/", (), b"", now + DEADLINE_S, "", "", 1,
            rank=rank, useful_until=now + TARGET_S,
        )  # fmt: skip

    async def _transfer(self, size: int, request: CallRequest) -> float:
        """Run a request and send its response; return the time of its arrival."""
        try:
            with self._admission.admit(request, run_time=RUN_S):
                await asyncio.sleep(self._random.gammavariate(4, RUN_S / 4))
        except CallError:
            self.refused += 1
            return math.inf
        reply = CallReply(0, Outcome.COMPLETE, 200, (), bytes(size), "", None)
        self._admission.record(request.class_name, reply)
        sent_at: asyncio.Future[float] = asyncio.get_running_loop().create_future()

        def send_part(transfer: Transfer, limit: int) -> None:
            sent = min(limit, transfer.remaining)
            transfer.remaining -= sent
            at = self._link.send(sent)
            if not transfer.remaining:
                sent_at.set_result(at)

        transfer = Transfer(
            request.rank, size, request.useful_until, request.deadline, send_part
        )
        try:
            self._scheduler.add(transfer)
            async with asyncio.timeout(request.deadline - self._clock.monotonic()):
                return await sent_at + self._scheduler.estimate_onward_time(size)
        except TimeoutError:
            return math.inf
        finally:
            self._scheduler.discard(transfer)
