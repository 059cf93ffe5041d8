"""Output of a caller's connection: long responses leave in paced parts."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from almondrouter.logs import EventLogger
from almondrouter.transport.parts import MIN_PARTED_BYTES
from almondrouter.transport.transfers import Transfer, TransferPacer, Urgency

_log = EventLogger("callers")


class PacedOutput:
    """Writes to a connection in order, as fast as the link of the host carries it.

    Parameters
    ----------
    transport
        The connection.
    pacer
        Paces long responses; if None, they are written at once.
    on_sent
        Called with the length of all that is written.
    on_paced
        Called soon after the last long response that waited has been written.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        *,
        pacer: TransferPacer | None,
        on_sent: Callable[[int], None],
        on_paced: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_paced = on_paced
        self._transport = transport
        self._pacer = pacer
        self._on_sent = on_sent
        self._waiting: deque[tuple[bytes, Urgency | None]] = deque()
        self._transfer: Transfer | None = None
        self._writable = True
        self._ends = False

    @property
    def is_writing(self) -> bool:
        """Whether bytes have yet to leave this process."""
        return bool(self._waiting) or self._transport.get_write_buffer_size() > 0

    @property
    def is_pacing(self) -> bool:
        """Whether a long response waits for the link."""
        return self._transfer is not None

    @property
    def unsent_bytes(self) -> int:
        """Bytes that have yet to leave this process."""
        waiting = sum(len(data) for data, _ in self._waiting)
        if self._transfer is not None:
            waiting += self._transfer.remaining - len(self._waiting[0][0])
        return waiting + self._transport.get_write_buffer_size()

    def write(self, data: bytes, urgency: Urgency | None = None) -> None:
        """Write bytes after those before; in parts if they are long.

        Parameters
        ----------
        urgency
            Order among the long responses of this host; None to write at once.
        """
        self._waiting.append((data, urgency))
        if self._transfer is None:
            self._write_waiting()

    def write_eof(self) -> None:
        """End the output when all is written."""
        self._ends = True
        if not self._waiting:
            self._finish()

    def flush(self) -> None:
        """Write all that waits at once."""
        transfer = self._end_transfer()
        if transfer is not None:
            data, _ = self._waiting.popleft()
            self._write(data[len(data) - transfer.remaining :])
        while self._waiting:
            self._write(self._waiting.popleft()[0])

    def discard(self) -> None:
        """Drop all that waits, as the connection has ended."""
        self._end_transfer()
        self._waiting.clear()

    def set_writable(self, writable: bool) -> None:
        """Set whether the buffer of the connection takes more."""
        self._writable = writable
        if writable and self._pacer is not None:
            self._pacer.wake()

    def _write_waiting(self) -> None:
        """Write up to the next long response, and start its transfer."""
        while self._waiting:
            data, urgency = self._waiting[0]
            paced = self._pacer is not None and urgency is not None
            if paced and len(data) > MIN_PARTED_BYTES:
                self._start_transfer(data, urgency)
                return
            self._waiting.popleft()
            self._write(data)
        if self._ends:
            self._finish()

    def _start_transfer(self, data: bytes, urgency: Urgency) -> None:
        self._transfer = Transfer(
            rank=urgency.rank,
            remaining=len(data),
            useful_until=urgency.useful_until,
            deadline=urgency.deadline,
            send_part=self._send_part,
            is_writable=lambda: self._writable,
            is_last_hop=True,
        )
        self._pacer.add(self._transfer)

    def _send_part(self, transfer: Transfer, size: int) -> None:
        data, _ = self._waiting[0]
        offset = len(data) - transfer.remaining
        part = data[offset : offset + size]
        transfer.remaining -= len(part)
        self._write(part)
        if not transfer.remaining:
            self._end_transfer()
            self._waiting.popleft()
            self._write_waiting()
            if not self._waiting:
                # The connection may be in the middle of writing a response.
                asyncio.get_running_loop().call_soon(self._on_paced)

    def _end_transfer(self) -> Transfer | None:
        transfer, self._transfer = self._transfer, None
        if transfer is not None:
            self._pacer.discard(transfer)
        return transfer

    def _write(self, data: bytes) -> None:
        self._on_sent(len(data))
        self._transport.write(data)

    def _finish(self) -> None:
        try:
            self._transport.write_eof()
        except OSError as error:
            _log.info("connection ended before its half-close", error=repr(error))
            self._transport.abort()
