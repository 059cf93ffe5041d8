"""Stand-in for a backend server of the hosting platform, with a ledger of its runs."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random as random_module
import time
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus

import msgspec

from almondrouter.clock import SystemClock
from almondrouter.protocol.outcomes import CallError
from almondrouter.state.routes import CallerLimits
from almondrouter.transport.backends import BackendClient
from almondrouter.transport.callers import CallerServer
from almondrouter.transport.calls import BackendResponse, CallerRequest, CallerResponse

HEARTBEAT_INTERVAL_S = 0.3
RESTART_DELAY_S = 0.5
"""Seconds from a crash to the start of the next backend server on the host."""
CRASH_DELAY_S = 0.02
"""Seconds for which a request runs before it crashes its backend server."""
SLOTS = 4
DRAIN_PERIOD_S = 2.5
"""Seconds from the first acknowledged heartbeat in state ``draining`` until a backend
server receives no more requests; the same as in production."""
RUN_TIME_RANGE_S = (0.005, 0.05)
MAX_BODY_BYTES = 2_000_000
HEARTBEAT_PATH = "/almondrouter/Instances.Heartbeat/"


@dataclass(slots=True)
class RunLedger:
    """Records what backend servers ran and what callers were told.

    Parameters
    ----------
    arrivals
        Number of requests that reached a backend server, by attempt id.
    runs
        Number of runs by attempt id.
    reported_not_run
        Attempts that callers were told have not run and never will.
    non_repeatable
        Attempts that may run at most once.
    violations
        Descriptions of violated guarantees.
    outcomes
        Number of responses by status, and of failed requests by error code.
    crashes
        Number of crashes by the target of the request that caused them.
    served
        Number of requests that were run to their end, by version.
    """

    arrivals: Counter[str] = field(default_factory=Counter)
    runs: Counter[str] = field(default_factory=Counter)
    reported_not_run: set[str] = field(default_factory=set)
    non_repeatable: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    crashes: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    _attempts: int = 0

    def begin_attempt(self, method: str, *, parent: str = "") -> str:
        """Return the id of a new attempt; it extends that of a running parent."""
        self._attempts += 1
        attempt = f"a{os.getpid()}x{self._attempts}"
        if parent:
            attempt = f"{parent}.{attempt}"
        if method == "POST":
            self.non_repeatable.add(attempt)
        return attempt

    def record_response(
        self,
        attempt: str,
        method: str,
        path: str,
        body: bytes,
        response: BackendResponse,
    ) -> None:
        """Record what a caller was told about an attempt, and check it."""
        status = response.status
        self.outcomes[str(status)] += 1
        refused = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
        if status == HTTPStatus.OK:
            if response.body != make_response_body(attempt, path, body):
                self.violations.append(f"{attempt} got the response of another attempt")
        elif status in refused and method == "POST":
            self.reported_not_run.add(attempt)

    def find_violations(self) -> list[str]:
        """Return descriptions of all violated guarantees."""
        violations = list(self.violations)
        violations += [
            f"{a} ran twice" for a in self.non_repeatable if self.runs[a] > 1
        ]
        violations += [
            f"{a} ran but was reported not run"
            for a in self.reported_not_run
            if self.runs[a]
        ]
        return violations


class PlatformBackend:
    """A backend server that sends heartbeats and records its runs in a ledger.

    Parameters
    ----------
    name, service
        Instance and service name that it announces.
    ip
        IP address of its host, where the daemon receives heartbeats on port 7005.
    address
        ``ip:port`` that it announces for requests.
    ledger
        Records its runs.
    random
        Source of run times.

    Attributes
    ----------
    unframed_share
        Share of the responses to safe requests that have no length.
    max_body_bytes
        Longest body that it accepts, from the next request on.
    sends_heartbeats
        Whether heartbeats are sent; a test may pause them.
    draining_since
        Monotonic seconds of the first acknowledged heartbeat in state
        ``draining``.
    acknowledged
        Number of acknowledged heartbeats by state.
    crashing_targets
        Targets of requests that crash the backend server once it runs them.
    version
        Version that it announces; empty for none.
    failure_share
        Share of the responses that are server errors.
    """

    def __init__(
        self,
        name: str,
        service: str,
        ip: str,
        *,
        address: str,
        ledger: RunLedger,
        random: random_module.Random,
    ) -> None:
        self._address = address
        self.draining_since: float | None = None
        self.name = name
        self.sends_heartbeats = True
        self.state = "ready"
        self.run_time = RUN_TIME_RANGE_S
        self.unframed_share = 0.0
        self.version = ""
        self.failure_share = 0.0
        self._service = service
        self._ip = ip
        self._ledger = ledger
        self._random = random
        self._running = 0
        self._sequence = 0
        self._started_ms = int(time.time() * 1000)
        self._task: asyncio.Task | None = None
        self._restart: asyncio.Task | None = None
        self._restarts = 0
        self._first_name = name
        self.acknowledged = Counter[str]()
        self.crashing_targets: frozenset[str] = frozenset()
        self.max_body_bytes = MAX_BODY_BYTES
        self.server = self._make_server()

    def _make_server(self) -> CallerServer:
        return CallerServer(
            address=f"{self._ip}:7001",
            handler=self._handle,
            max_body_bytes=MAX_BODY_BYTES,
            limits=lambda: CallerLimits(max_body_bytes=self.max_body_bytes),
        )

    async def start(self) -> None:
        """Start serving requests and sending heartbeats."""
        await self.server.start()
        self._task = asyncio.create_task(self._send_heartbeats_forever())

    async def close(self) -> None:
        """Stop the heartbeats and close the server without draining."""
        for task in (self._task, self._restart):
            if task is not None:
                task.cancel()
        await self.server.close()

    def crash(self) -> None:
        """End at once without an answer; start again as another backend server."""
        if self._restart is None or self._restart.done():
            self._restart = asyncio.create_task(self._crash_and_restart())

    async def _crash_and_restart(self) -> None:
        self._task.cancel()
        await self.server.close()
        await asyncio.sleep(RESTART_DELAY_S)
        self._restarts += 1
        self.name = f"{self._first_name}-restart-{self._restarts}"
        self._sequence, self._running = 0, 0
        self.acknowledged.clear()
        self._started_ms = int(time.time() * 1000)
        self.server = self._make_server()
        await self.start()

    async def _handle(self, request: CallerRequest) -> CallerResponse:
        received = dict(request.headers)
        attempt = received.get("attempt-id", "")
        self._ledger.arrivals[attempt] += 1
        echo_headers = (("attempt-id", attempt), ("instance-id", self.name))
        if received.get("expected-instance") != self.name:
            return CallerResponse(HTTPStatus.MISDIRECTED_REQUEST, echo_headers, b"")
        if self._running >= SLOTS:
            refusal = (*echo_headers, ("not-executed", "1"))
            return CallerResponse(HTTPStatus.SERVICE_UNAVAILABLE, refusal, b"")
        self._running += 1
        self._ledger.runs[attempt] += 1
        self._check_not_drained(attempt)
        try:
            if request.target in self.crashing_targets:
                await self._crash_under(request.target)
            await asyncio.sleep(self._random.uniform(*self.run_time))
        finally:
            self._running -= 1
        self._ledger.served[self.version] += 1
        if self._random.random() < self.failure_share:
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            return CallerResponse(status, echo_headers, b"")
        body = make_response_body(attempt, request.target, request.body)
        headers = (*echo_headers, ("response-signature", "s"))
        unframed = (
            request.method == "GET" and self._random.random() < self.unframed_share
        )
        return CallerResponse(HTTPStatus.OK, headers, body, framed=not unframed)

    async def _crash_under(self, target: str) -> None:
        await asyncio.sleep(CRASH_DELAY_S)
        self._ledger.crashes[target] += 1
        self.crash()
        await asyncio.Event().wait()

    def _check_not_drained(self, attempt: str) -> None:
        since = self.draining_since
        if since is not None and time.monotonic() - since > DRAIN_PERIOD_S:
            self._ledger.violations.append(
                f"{attempt} reached {self.name} after its drain period"
            )

    async def _send_heartbeats_forever(self) -> None:
        client = BackendClient(f"{self._ip}:7005", connections=1, clock=SystemClock())
        while True:
            if self.sends_heartbeats:
                await self._send_heartbeat(client)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_heartbeat(self, client: BackendClient) -> None:
        self._sequence += 1
        document = {
            "address": self._address,
            "born": self._started_ms,
            "info": {
                "service": self._service,
                "slots": SLOTS,
                "version": self.version,
            },
            "status": {"state": self.state, "sequence": self._sequence},
        }
        state = self.state
        body = msgspec.json.encode(document)
        target = HEARTBEAT_PATH + self.name
        deadline = time.monotonic() + 1.0
        with contextlib.suppress(CallError):
            response = await client.send("POST", target, (), body, deadline=deadline)
            if response.status == HTTPStatus.OK:
                self._record_acknowledgement(state)

    def _record_acknowledgement(self, state: str) -> None:
        self.acknowledged[state] += 1
        if state == "draining" and self.draining_since is None:
            self.draining_since = time.monotonic()


def make_response_body(attempt: str, target: str, body: bytes) -> bytes:
    """Return the response body that a backend server sends for a request.

    A target with the query ``bytes=N`` has a body of that length.
    """
    text = f"{attempt} {target} {len(body)}".encode()
    _, is_long, size = target.partition("?bytes=")
    if not is_long:
        return text
    return (text * (int(size) // len(text) + 1))[: int(size)]
