"""Callers of the soak test that use a connection until the daemon closes it."""

from __future__ import annotations

import asyncio
import contextlib
import random as random_module
import time
from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass

from almondrouter.addresses import split_address
from almondrouter.transport.backends import encode_request
from almondrouter.transport.calls import BackendResponse
from almondrouter_standins.platform_backend import RunLedger
from almondrouter_standins.soak_hosts import HostState

CONNECT_TIMEOUT_S = 5.0
RECONNECT_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 3.0
"""Deadline that callers give to each request."""
LOSS_SLACK_S = 0.2
"""Seconds for which a connection stays open after a request at most if the daemon
closed it before the request arrived."""
BUSY_MARGIN_S = 6.0
"""Seconds by which a response may come later than its deadline on a busy machine."""
ANSWER_TIMEOUT_S = REQUEST_TIMEOUT_S + BUSY_MARGIN_S
"""Seconds after which a request has no response although its connection is open; the
time for which the daemon was paused is added."""
MAX_PENDING = 8
"""Limit on the pipelined requests of a connection."""
MAX_BURST = 3
"""Most pipelined requests that are sent in one segment."""
READ_PAUSE_PROBABILITY = 0.3
LOOP_PASSES = 3
"""Iterations of the event loop after which a closed connection is known as closed."""
BIG_BODY_BYTES = 100_000


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that was sent completely.

    Parameters
    ----------
    sent_at
        Monotonic seconds at which its last byte was sent.
    is_first
        Whether all earlier requests of the connection were answered before.
    """

    attempt: str
    method: str
    path: str
    body: bytes
    sent_at: float
    is_first: bool


@dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """A request whose connection ended without its response.

    Parameters
    ----------
    host
        Number of the host at whose daemon it was sent.
    stayed_open
        Seconds after the request for which its connection was certainly open while
        the daemon's process was not paused. A paused process has read nothing, and may
        close an idle connection before it reads.
    """

    request: SentRequest
    host: int
    stayed_open: float


class KeptConnection:
    """A connection that is used until the daemon closes it.

    Attributes
    ----------
    pending
        Requests without a response, oldest first.
    open_at
        Monotonic seconds at which the connection was last seen open.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        ledger: RunLedger,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._ledger = ledger
        self.pending: deque[SentRequest] = deque()
        self.open_at = time.monotonic()
        self._receiver = asyncio.create_task(self._receive_forever())

    @property
    def is_open(self) -> bool:
        """Whether the daemon has not closed the connection."""
        return not self._receiver.done()

    async def send(self, requests: list[tuple[str, str, bytes]]) -> None:
        """Send requests, given as method, path and body, in one piece."""
        data, sent = b"", []
        for method, path, body in requests:
            attempt = self._ledger.begin_attempt(method)
            headers = (
                ("attempt-id", attempt),
                ("deadline-ms", str(int(REQUEST_TIMEOUT_S * 1000))),
            )
            data += encode_request("shop.example", method, path, headers, body)
            sent.append((attempt, method, path, body))
        for fields in sent:
            request = SentRequest(*fields, time.monotonic(), not self.pending)
            self.pending.append(request)
        self._writer.write(data)
        with contextlib.suppress(OSError):
            await self._writer.drain()

    async def wait(self, seconds: float, *, reads: bool = True) -> None:
        """Wait for a time or for the end of the connection.

        Parameters
        ----------
        reads
            Whether responses are read meanwhile.
        """
        if not reads:
            self._writer.transport.pause_reading()
            await asyncio.sleep(seconds)
            self._writer.transport.resume_reading()
        await asyncio.wait({self._receiver}, timeout=seconds)
        now = time.monotonic()
        for _ in range(LOOP_PASSES):
            await asyncio.sleep(0)
        if self.is_open:
            self.open_at = now

    async def close(self) -> None:
        """Close the connection."""
        self._receiver.cancel()
        await asyncio.wait({self._receiver})
        self._writer.close()

    async def _receive_forever(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                response = await read_response(self._reader)
                if not self.pending:
                    self._ledger.violations.append(
                        f"response {response.status} without a request"
                    )
                    continue
                request = self.pending.popleft()
                self._ledger.record_response(
                    request.attempt,
                    request.method,
                    request.path,
                    request.body,
                    response,
                )


async def read_response(reader: asyncio.StreamReader) -> BackendResponse:
    """Read a response whose body has a length, is chunked, or ends with its connection.

    A response of the last kind is not framed.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = tuple((name.lower(), value.strip()) for name, _, value in pairs)
    status, fields = int(status_line.split()[1]), dict(headers)
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif "transfer-encoding" in fields:
        body = await read_chunks(reader)
    else:
        return BackendResponse(status, headers, await reader.read(-1), framed=False)
    return BackendResponse(status, headers, body)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body without trailers."""
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


class KeptConnectionCaller(ABC):
    """Sends requests to one daemon on one connection at a time.

    A caller goes on until the connection ends, also when a response announces that.

    Parameters
    ----------
    address
        ``ip:port`` for the callers of the daemon.
    host
        Number of its host.
    state
        Faults of its host.
    ledger
        Records attempts and responses.
    random
        Source of the requests and pauses of this caller.
    max_pause
        Longest pause before a request, in seconds.

    Attributes
    ----------
    unanswered
        Requests whose connections ended without a response while the daemon lived.
    """

    def __init__(
        self,
        address: str,
        *,
        host: int,
        state: HostState,
        ledger: RunLedger,
        random: random_module.Random,
        max_pause: float,
    ) -> None:
        self._address = address
        self._host = host
        self._state = state
        self._ledger = ledger
        self._random = random
        self._max_pause = max_pause
        self.unanswered: list[UnansweredRequest] = []

    async def run(self, stopping: asyncio.Event) -> None:
        """Send requests until an event is set and all responses have arrived."""
        while not stopping.is_set():
            connection = await self._connect()
            if connection is None:
                await asyncio.sleep(RECONNECT_INTERVAL_S)
                continue
            while connection.is_open and not stopping.is_set():
                await self.send_next(connection)
                self._check_overdue(connection)
            while connection.is_open and connection.pending:
                await connection.wait(RECONNECT_INTERVAL_S)
                self._check_overdue(connection)
            await connection.close()
            self._record_unanswered(connection)

    @abstractmethod
    async def send_next(self, connection: KeptConnection) -> None:
        """Send requests, if it is time for any, and pause."""

    def draw_pause(self) -> float:
        """Return a random pause in seconds."""
        return self._random.uniform(0.0, self._max_pause)

    def find_violations(self) -> list[str]:
        """Return descriptions of the accepted requests without a response."""
        return [
            description
            for unanswered in self.unanswered
            if (description := describe_loss(unanswered, self._ledger))
        ]

    async def _connect(self) -> KeptConnection | None:
        ip, port = split_address(self._address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, port)
        except (OSError, TimeoutError):
            return None
        return KeptConnection(reader, writer, ledger=self._ledger)

    def _check_overdue(self, connection: KeptConnection) -> None:
        if not connection.pending or not connection.is_open:
            return
        request = connection.pending[0]
        waited = connection.open_at - request.sent_at
        limit = ANSWER_TIMEOUT_S + self._state.sum_pauses_since(request.sent_at)
        if waited > limit:
            self._ledger.violations.append(
                f"{request.attempt} at host {self._host} got no response within "
                f"{limit:.1f} s on an open connection"
            )
            connection.pending.clear()

    def _record_unanswered(self, connection: KeptConnection) -> None:
        for request in connection.pending:
            self._ledger.outcomes["connection ended"] += 1
            if not self._state.was_killed_since(request.sent_at):
                stayed_open = connection.open_at - request.sent_at
                paused = self._state.sum_pauses_since(request.sent_at)
                self.unanswered.append(
                    UnansweredRequest(request, self._host, stayed_open - paused)
                )


class SequentialCaller(KeptConnectionCaller):
    """Sends the next request, repeatable or not, after each response."""

    async def send_next(self, connection: KeptConnection) -> None:  # noqa: D102
        if not connection.pending:
            path = self._random.choice(("/read/1", "/pay/1", "/pay/big"))
            method = "POST" if path.startswith("/pay/") else "GET"
            body = bytes(BIG_BODY_BYTES) if path.endswith("big") else b""
            await connection.send([(method, path, body)])
        await connection.wait(self.draw_pause())


class PipeliningCaller(KeptConnectionCaller):
    """Pipelines safe requests, also while the daemon stops, and reads with pauses."""

    async def send_next(self, connection: KeptConnection) -> None:  # noqa: D102
        count = self._random.randint(1, MAX_BURST)
        if len(connection.pending) + count <= MAX_PENDING:
            await connection.send([("GET", "/read/1", b"")] * count)
        reads = self._random.random() >= READ_PAUSE_PROBABILITY
        await connection.wait(self.draw_pause(), reads=reads)


def describe_loss(unanswered: UnansweredRequest, ledger: RunLedger) -> str:
    """Return why a request without a response breaks a guarantee; empty if not.

    A request that reached a backend server has to be answered, and one that the
    daemon could start at once unless the connection was closed meanwhile.
    """
    request = unanswered.request
    place = f"{request.attempt} ({request.method}) at host {unanswered.host}"
    if ledger.arrivals[request.attempt]:
        return f"{place} reached a backend server, but its connection ended first"
    if request.is_first and unanswered.stayed_open > LOSS_SLACK_S:
        return (
            f"{place} got no response, although its connection stayed open for "
            f"{unanswered.stayed_open:.2f} s"
        )
    return ""
