"""Output of callers' connections: order, paced parts and the end of the output."""

from __future__ import annotations

import asyncio
import unittest

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.transfers.budget import LinkBudget
from almondrouter.transport.callers import CallerServer
from almondrouter.transport.calls import CallerResponse
from almondrouter.transport.output import PacedOutput
from almondrouter.transport.parts import MIN_PARTED_BYTES
from almondrouter.transport.pipelines import MAX_PIPELINED
from almondrouter.transport.transfers import TransferPacer, Urgency
from calls_support import TIMEOUT_S

URGENCY = Urgency(1, 1.0, 3.0)
LONG = bytes(range(250)) * 100
EOF_MARK = b"<eof>"


class Transport:
    """Records what is written."""

    def __init__(self, error=None):
        self.written = b""
        self.error = error
        self.aborted = False

    def write(self, data):
        self.written += data

    def write_eof(self):
        if self.error is not None:
            raise self.error
        self.written += EOF_MARK

    def abort(self):
        self.aborted = True

    def get_write_buffer_size(self):
        return 0


class Pacer(TransferPacer):
    """Sends parts when a test tells it."""

    def __init__(self):
        self.transfers = []

    def add(self, transfer):
        self.transfers.append(transfer)

    def discard(self, transfer):
        self.transfers.remove(transfer)

    def record_delay(self, delay):
        pass

    def wake(self):
        if self.transfers:
            self.send_part()

    def send_part(self, size=10_000):
        self.transfers[0].send_part(self.transfers[0], size)


class PacedOutputTest(unittest.IsolatedAsyncioTestCase):
    """A connection with a long response that waits for the link."""

    def setUp(self):
        self.transport, self.pacer, self.sent = Transport(), Pacer(), []
        self.output = PacedOutput(
            self.transport,
            pacer=self.pacer,
            on_sent=self.sent.append,
            on_paced=lambda: self.paced.append(self.output.is_pacing),
        )
        self.paced = []

    async def test_later_responses_follow_the_long_one(self):
        """Guards against responses that mix with the parts of the one before."""
        self.output.write(b"first", URGENCY)
        self.output.write(LONG, URGENCY)
        self.output.write(b"second", URGENCY)
        self.output.write(LONG, URGENCY)
        self.output.write(b"100 Continue")
        self.assertEqual(b"first", self.transport.written)
        while self.pacer.transfers:
            self.pacer.send_part()
        expected = b"first" + LONG + b"second" + LONG + b"100 Continue"
        self.assertEqual(expected, self.transport.written)
        self.assertEqual(len(expected), sum(self.sent))
        self.assertFalse(self.output.is_writing)
        await asyncio.sleep(0)
        self.assertEqual([False], self.paced)

    async def test_end_follows_the_last_part(self):
        """Guards against a half-close that cuts a response."""
        self.output.write(LONG, URGENCY)
        self.output.write_eof()
        for _ in range(2):
            self.pacer.send_part()
            self.assertTrue(self.output.is_writing)
        self.assertNotIn(EOF_MARK, self.transport.written)
        self.pacer.send_part()
        self.assertEqual(LONG + EOF_MARK, self.transport.written)

    def test_flush_writes_the_rest_in_order(self):
        """Guards against a response without a length that precedes others."""
        self.output.write(LONG, URGENCY)
        self.output.write(b"next", URGENCY)
        self.pacer.send_part()
        self.output.flush()
        self.assertEqual(LONG + b"next", self.transport.written)
        self.assertFalse(self.pacer.transfers)

    def test_discard_ends_the_transfer(self):
        """Guards against parts for callers that have left."""
        self.output.write(LONG, URGENCY)
        self.output.write(b"next", URGENCY)
        self.output.discard()
        self.assertFalse(self.pacer.transfers or self.output.is_writing)

    async def test_failed_end(self):
        """Guards against connections that stay open when their half-close fails."""
        self.transport.error = OSError("gone")
        self.output.write(LONG, URGENCY)
        self.output.write_eof()
        while self.pacer.transfers:
            self.pacer.send_part()
        self.assertTrue(self.transport.aborted)

    def test_full_buffer_stops_the_transfer(self):
        """Guards against parts that pile up in memory for a caller that reads none."""
        self.output.write(LONG, URGENCY)
        (transfer,) = self.pacer.transfers
        self.output.set_writable(False)
        self.assertFalse(transfer.is_writable())
        self.output.set_writable(True)
        self.assertTrue(transfer.is_writable())
        self.assertEqual(LONG[:10_000], self.transport.written)

    @parameterized.expand(
        [
            ("no urgency", LONG, None, True),
            ("short", LONG[:MIN_PARTED_BYTES], URGENCY, True),
            ("long", LONG, URGENCY, False),
        ]
    )
    def test_what_is_written_at_once(self, _, data, urgency, at_once):
        """Guards against short responses and errors that wait for the link."""
        self.output.write(data, urgency)
        self.assertEqual(at_once, self.transport.written == data)


class OwnHostTest(unittest.TestCase):
    """Callers on the host of the daemon do not use its link."""

    @parameterized.expand([("own", "10.0.0.1", 0), ("other", "10.0.0.2", 1)])
    def test_pacing_by_caller(self, _, peer, transfers):
        """Guards against nested calls that wait for a link they don't use."""
        pacer, sent = Pacer(), []
        server = CallerServer(
            address="",
            handler=None,
            max_body_bytes=0,
            pacer=pacer,
            on_sent=sent.append,
            own_ip="10.0.0.1",
        )
        output = server.make_output(Transport(), peer, lambda: None)
        output.write(b"short", URGENCY)
        output.write(LONG, URGENCY)
        self.assertEqual((transfers, transfers), (len(pacer.transfers), len(sent)))


class PipelineTest(unittest.IsolatedAsyncioTestCase):
    """A caller sends many requests with long responses on one connection."""

    async def test_no_request_starts_while_responses_wait(self):
        """Guards against responses that pile up in memory while the link is busy."""
        pacer, started = Pacer(), []

        async def handle(request):
            started.append(request)
            return CallerResponse(200, (), LONG, urgency=URGENCY)

        server = CallerServer(
            address="127.0.0.1:0", handler=handle, max_body_bytes=0, pacer=pacer
        )
        await server.start()
        self.addAsyncCleanup(server.close)
        reader, writer = await asyncio.open_connection(*server.address.split(":"))
        self.addCleanup(writer.close)
        count = 3 * MAX_PIPELINED
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * count)
        for _ in range(50):
            await asyncio.sleep(0.001)
        self.assertLessEqual(len(started), MAX_PIPELINED)
        received = b""
        async with asyncio.timeout(TIMEOUT_S):
            while received.count(LONG) < count:
                while pacer.transfers:
                    pacer.send_part()
                received += await reader.read(100_000)
        self.assertEqual(count, len(started))


class BudgetTest(unittest.TestCase):
    """What leaves at once holds back parts for as long as the link carries it."""

    @parameterized.expand(
        [
            ("10 Mbit/s", 1.25e6, 8_125),
            ("1 Gbit/s", 125e6, 812_500),
            ("slow", 1e5, 4_096),
        ]
    )
    def test_part_length(self, _, rate, expected):
        """Guards against many small parts on fast links, which cost processor time."""
        budget = LinkBudget(bytes_per_second=rate, clock=ManualClock())
        self.assertEqual(expected, budget.part_bytes)

    def test_debt_is_bounded(self):
        """Guards against transfers that stop because the stated rate is too low."""
        budget = LinkBudget(bytes_per_second=1e5, clock=ManualClock())
        budget.charge(10_000_000)
        self.assertAlmostEqual(1.0, budget.wait)
