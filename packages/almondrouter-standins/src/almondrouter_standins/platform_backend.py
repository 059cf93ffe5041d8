"""A backend server of the users' platform, and the ledger of what it ran."""

from __future__ import annotations

import asyncio
import contextlib
import random as random_module
import time
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus

import msgspec

from almondrouter.clock import SystemClock
from almondrouter.protocol.outcomes import CallError
from almondrouter.transport.backends import BackendClient
from almondrouter.transport.callers import CallerServer
from almondrouter.transport.calls import CallerRequest, CallerResponse

HEARTBEAT_S = 0.3
SLOTS = 4
DRAIN_S = 2.5
"""Seconds after which a leaving backend server gets nothing more, as the deployments
have it."""
RUN_S = (0.005, 0.05)
MAX_BODY_BYTES = 2_000_000
HEARTBEAT_PATH = "/almondrouter/Instances.Heartbeat/"


@dataclass(slots=True)
class Ledger:
    """What backend servers ran and what callers were told.

    Parameters
    ----------
    runs
        Runs by attempt id.
    promised
        Attempts that their callers were told have not run and never will.
    faults
        Broken guarantees, for people.
    """

    runs: Counter[str] = field(default_factory=Counter)
    promised: set[str] = field(default_factory=set)
    once: set[str] = field(default_factory=set)
    faults: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)

    def check(self) -> list[str]:
        """Return all broken guarantees."""
        faults = list(self.faults)
        faults += [f"{a} ran twice" for a in self.once if self.runs[a] > 1]
        faults += [f"{a} ran though refused" for a in self.promised if self.runs[a]]
        return faults


class PlatformBackend:
    """A backend server that counts what it runs.

    Parameters
    ----------
    name, service, ip
        Which backend server it is, and where it runs.
    address
        ``ip:port`` that it announces.
    ledger
        Takes its runs.
    random
        Source of run times.
    """

    def __init__(
        self,
        name: str,
        service: str,
        ip: str,
        *,
        address: str,
        ledger: Ledger,
        random: random_module.Random,
    ) -> None:
        self._address = address
        self.draining_since: float | None = None
        self.name = name
        self.beating = True
        self.state = "ready"
        self.run_time = RUN_S
        self._service = service
        self._ip = ip
        self._ledger = ledger
        self._random = random
        self._running = 0
        self._sequence = 0
        self._started_ms = int(time.time() * 1000)
        self._task: asyncio.Task | None = None
        self.acknowledged = Counter[str]()
        self.server = CallerServer(
            address=f"{ip}:7001", handler=self._handle, max_body_bytes=MAX_BODY_BYTES
        )

    async def start(self) -> None:
        """Serve, and send heartbeats."""
        await self.server.start()
        self._task = asyncio.create_task(self._beat_forever())

    async def close(self) -> None:
        """Stop at once."""
        if self._task is not None:
            self._task.cancel()
        await self.server.close()

    async def _handle(self, request: CallerRequest) -> CallerResponse:
        headers = dict(request.headers)
        attempt = headers.get("attempt-id", "")
        echo = (("attempt-id", attempt), ("instance-id", self.name))
        if headers.get("expected-instance") != self.name:
            return CallerResponse(HTTPStatus.MISDIRECTED_REQUEST, echo, b"")
        if self._running >= SLOTS:
            refusal = (*echo, ("not-executed", "1"))
            return CallerResponse(HTTPStatus.SERVICE_UNAVAILABLE, refusal, b"")
        self._running += 1
        self._ledger.runs[attempt] += 1
        self._check_draining(attempt)
        try:
            await asyncio.sleep(self._random.uniform(*self.run_time))
        finally:
            self._running -= 1
        body = make_body(attempt, request.target, request.body)
        return CallerResponse(200, (*echo, ("response-signature", "s")), body)

    def _check_draining(self, attempt: str) -> None:
        since = self.draining_since
        if since is not None and time.monotonic() - since > DRAIN_S:
            self._ledger.faults.append(f"{attempt} reached {self.name}, which leaves")

    async def _beat_forever(self) -> None:
        client = BackendClient(f"{self._ip}:7005", connections=1, clock=SystemClock())
        while True:
            if self.beating:
                await self._beat(client)
            await asyncio.sleep(HEARTBEAT_S)

    async def _beat(self, client: BackendClient) -> None:
        self._sequence += 1
        document = {
            "address": self._address,
            "born": self._started_ms,
            "info": {"service": self._service, "slots": SLOTS},
            "status": {"state": self.state, "sequence": self._sequence},
        }
        state = self.state
        body = msgspec.json.encode(document)
        target = HEARTBEAT_PATH + self.name
        deadline = time.monotonic() + 1.0
        with contextlib.suppress(CallError):
            response = await client.send("POST", target, (), body, deadline=deadline)
            if response.status == HTTPStatus.OK:
                self._take_acknowledgement(state)

    def _take_acknowledgement(self, state: str) -> None:
        self.acknowledged[state] += 1
        if state == "draining" and self.draining_since is None:
            self.draining_since = time.monotonic()


def make_body(attempt: str, target: str, body: bytes) -> bytes:
    """Return the body of the answer to a request."""
    return f"{attempt} {target} {len(body)}".encode()
