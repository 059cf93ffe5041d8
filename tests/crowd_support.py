"""Crowds of clients that send legal requests, most of them without their end."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

MAX_HEADER_BYTES, MAX_BODY_BYTES = 16_384, 64 * 1024 * 1024
"""Documented limits on a request, which no client of a crowd exceeds."""
CONFIGURED_LIMITS = {
    "max_header_bytes": MAX_HEADER_BYTES,
    "max_body_bytes": MAX_BODY_BYTES,
    "header_timeout_s": 60,
    "idle_timeout_s": 60,
}
BODY_BYTES = 4 * 1024 * 1024
LONG_RESPONSE = bytes(1_000_000)
LONG_RESPONSE_PATH = "/read/long"
SEND_BYTES = 65_536
SETTLED_S = 1.5
"""Seconds without any byte accepted from the crowd after which it is in place. A crowd
that is held up for longer only makes the check less strict."""
SAMPLE_INTERVAL_S = 0.02

_HEAD = b"POST /pay/crowd HTTP/1.1\r\nHost: shop.example\r\ndeadline-ms: 60000\r\n"
_ODD_LINES = (
    b"!#$&:\t\xff\r\n",
    b"'*+.^:\r\n",
    b"_`|~: ,\r\n",
    b'A-:";"\r\n',
    b"0:\x80,;\t \r\n",
)


@dataclass(frozen=True, slots=True)
class Crowd:
    """Clients of one kind.

    Parameters
    ----------
    clients
        Number of clients.
    finishing
        How many of them send their request to its end.
    make_pieces
        Returns the pieces that a client sends; receives whether it finishes.
    """

    clients: int
    finishing: int
    make_pieces: Callable[..., Iterator[bytes]]


def repeat_lines(lines: tuple[bytes, ...], *, finishes: bool) -> Iterator[bytes]:
    """Yield headers that fill the limit with lines, with or without their end."""
    room = MAX_HEADER_BYTES - len(_HEAD) - 200
    text = b"".join(lines) * (room // len(b"".join(lines)))
    yield _HEAD + text
    if finishes:
        yield b"\r\n"


def send_short_lines(*, finishes: bool) -> Iterator[bytes]:
    """Yield headers of some 4,000 lines of 4 bytes."""
    return repeat_lines((b"a:\r\n",), finishes=finishes)


def send_odd_lines(*, finishes: bool) -> Iterator[bytes]:
    """Yield headers of some 1,700 lines with unusual names and values."""
    return repeat_lines(_ODD_LINES, finishes=finishes)


def _send_long_body(size: int, *, finishes: bool) -> Iterator[bytes]:
    yield _HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    for _ in range(BODY_BYTES // size - 1):
        yield bytes(size)
    yield bytes(size if finishes else size - 1)


def send_whole_body(*, finishes: bool) -> Iterator[bytes]:
    """Yield a long body with a length in one piece."""
    return _send_long_body(BODY_BYTES, finishes=finishes)


def send_body_in_pieces(*, finishes: bool) -> Iterator[bytes]:
    """Yield a long body with a length in pieces of 16 KiB."""
    return _send_long_body(16_384, finishes=finishes)


def _send_chunks(size: int, total: int, *, finishes: bool) -> Iterator[bytes]:
    yield _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%b\r\n" % (size, bytes(size))
    batch = max(1, 4_096 // len(chunk))
    for _ in range(total // size // batch):
        yield chunk * batch
    if finishes:
        yield b"0\r\n\r\n"


def send_large_chunks(*, finishes: bool) -> Iterator[bytes]:
    """Yield a long body in chunks of 128 KiB."""
    return _send_chunks(131_072, BODY_BYTES, finishes=finishes)


def send_small_chunks(*, finishes: bool) -> Iterator[bytes]:
    """Yield a body in chunks of one byte."""
    return _send_chunks(1, 40_000, finishes=finishes)


def request_long_responses(*, finishes: bool) -> Iterator[bytes]:
    """Yield pipelined requests for long responses, which no client reads."""
    head = b"GET %b HTTP/1.1\r\nHost: shop.example\r\n" % LONG_RESPONSE_PATH.encode()
    yield (head + b"deadline-ms: 60000\r\n\r\n") * (16 if finishes else 15)
    if not finishes:
        yield head


def send_nothing(*, finishes: bool) -> Iterator[bytes]:
    """Yield nothing, or an ordinary request if it is finished."""
    if finishes:
        yield _HEAD + b"Content-Length: 0\r\n\r\n"


class CrowdRunner:
    """Connects the clients of a crowd and keeps them open.

    Parameters
    ----------
    address
        Host and port of the daemon.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task] = []
        self._progress = 0

    async def run(self, crowd: Crowd) -> None:
        """Start all clients; return when none of them makes progress any more."""
        self.start(crowd)
        await self.settle()

    def start(self, crowd: Crowd) -> None:
        """Start all clients."""
        for number in range(crowd.clients):
            # The finishing ones are among the others, so that they meet them.
            step = crowd.clients // crowd.finishing
            finishes = number % step == min(1, step - 1)
            pieces = crowd.make_pieces(finishes=finishes)
            self._tasks.append(asyncio.create_task(self._run_client(pieces)))

    async def settle(self) -> None:
        """Return when no client makes progress any more."""
        seen = -1
        while seen != self._progress:
            seen = self._progress
            await asyncio.sleep(SETTLED_S)

    async def _run_client(self, pieces: Iterator[bytes]) -> None:
        loop = asyncio.get_running_loop()
        client = socket.socket()
        self._sockets.append(client)
        client.setblocking(False)  # noqa: FBT003
        # Otherwise the kernel takes several megabytes for a client that does not read.
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        with contextlib.suppress(OSError):
            await loop.sock_connect(client, self._address)
            self._progress += 1
            for piece in pieces:
                view = memoryview(piece)
                for start in range(0, len(view), SEND_BYTES):
                    await loop.sock_sendall(client, view[start : start + SEND_BYTES])
                    self._progress += 1
                await asyncio.sleep(0)

    async def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._sockets:
            client.close()


class ProcessSampler:
    """Samples the peak resident memory and the open descriptors of a process.

    Parameters
    ----------
    pid
        Id of the process.
    """

    def __init__(self, pid: int) -> None:
        self._proc = Path(f"/proc/{pid}")
        self.peak_bytes = 0
        self.most_descriptors = 0
        self._task = asyncio.create_task(self._sample_forever())

    def sample(self) -> None:
        """Read the figures once; a process that has ended leaves them as they are."""
        with contextlib.suppress(OSError):
            for line in (self._proc / "status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    self.peak_bytes = int(line.split()[1]) * 1024
            count = len(os.listdir(self._proc / "fd"))
            self.most_descriptors = max(self.most_descriptors, count)

    async def _sample_forever(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def close(self) -> None:
        """Stop sampling."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
