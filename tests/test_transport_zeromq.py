"""Tests of control links over ZeroMQ on the loopback interface."""

import asyncio
import unittest

import msgspec
import zmq
import zmq.asyncio
from parameterized import parameterized

from almondrouter.clock import ManualClock, SystemClock
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.codec import MAX_CONTROL_FRAME_BYTES
from almondrouter.protocol.control import (
    CONTROL_CODEC,
    Accepted,
    Announcement,
    Head,
    StatusReply,
    StatusRequest,
)
from almondrouter.transport.envelopes import MAX_ENVELOPE_BYTES, Envelope
from almondrouter.transport.zeromq import (
    LINK_IDLE_TIMEOUT_S,
    NON_NEIGHBOUR_IDLE_TIMEOUT_S,
    ZmqControlEndpoint,
)

CLOCK = SystemClock()
TIMEOUT_SECONDS = 20.0


def _make_frame(*, cluster="c", version=1, correlation=7, message=None):
    if message is None:
        message = CONTROL_CODEC.encode(StatusRequest())
    envelope = Envelope(cluster, version, "x", 1, correlation, message)
    return msgspec.msgpack.encode(envelope)


class ZmqControlEndpointTest(unittest.IsolatedAsyncioTestCase):
    """Malformed frames and failed links must not affect other links."""

    async def asyncSetUp(self):
        self.received = asyncio.Queue()
        self.server = await self.start_endpoint("b")
        self.client = await self.start_endpoint("a")

    async def start_endpoint(self, host, *, cluster="c", address="127.0.0.1:0"):
        endpoint = ZmqControlEndpoint(
            cluster=cluster, host=host, incarnation=1, address=address, clock=CLOCK
        )
        endpoint.set_handler(StatusRequest, self.answer_status)
        endpoint.set_handler(Announcement, self.receive_announcement)
        await endpoint.start()
        self.addAsyncCleanup(endpoint.close)
        return endpoint

    async def answer_status(self, _message, host):
        return StatusReply(host, 1, Head(3, "d"), True)

    async def receive_announcement(self, message, host):
        await self.received.put((message, host))

    async def request_status(self, endpoint, address, *, seconds=TIMEOUT_SECONDS):
        deadline = CLOCK.monotonic() + seconds
        return await endpoint.request(address, StatusRequest(), deadline=deadline)

    async def test_replies_reach_their_requests_and_bytes_are_counted(self):
        """Guards against mixed-up replies and against byte counts that differ."""
        replies = await asyncio.gather(
            *(self.request_status(self.client, self.server.address) for _ in range(20))
        )
        self.assertEqual({reply.host for reply in replies}, {"a"})
        sent = self.client.count_bytes()[self.server.address]
        got = self.server.count_bytes()[self.client.address]
        self.assertEqual((sent.sent, sent.received), (got.received, got.sent))

    async def test_message_without_reply_opens_the_link(self):
        """Guards against losing the first message to an address."""
        message = Announcement("a", Head(1, "d"))
        self.client.send(self.server.address, message)
        got = await asyncio.wait_for(self.received.get(), TIMEOUT_SECONDS)
        self.assertEqual(got, (message, "a"))

    @parameterized.expand(
        [
            ("cluster", _make_frame(cluster="d"), ErrorCode.CLUSTER_MISMATCH),
            ("version", _make_frame(version=9), ErrorCode.PROTOCOL_MISMATCH),
            ("message", _make_frame(message=b"\xc1"), ErrorCode.FRAME_MALFORMED),
            (
                "large message",
                _make_frame(message=b" " * (MAX_CONTROL_FRAME_BYTES + 1)),
                ErrorCode.FRAME_TOO_LARGE,
            ),
        ]
    )
    async def test_refuses_request(self, _name, frame, code):
        """Guards against requesters that wait for a reply to an invalid request."""
        socket = self.open_raw_link()
        await socket.send(frame)
        answer = await asyncio.wait_for(socket.recv(), TIMEOUT_SECONDS)
        envelope = msgspec.msgpack.decode(answer, type=Envelope)
        refused = CONTROL_CODEC.decode(envelope.message)
        self.assertEqual((envelope.correlation, refused.code), (-7, code.value))
        self.assertEqual(self.server.refused, {code: 1})
        await self.request_status(self.client, self.server.address)

    @parameterized.expand(
        [
            ("foreign", b"GET / HTTP/1.1\r\n\r\n", ErrorCode.FRAME_MALFORMED),
            ("empty", b"", ErrorCode.FRAME_MALFORMED),
            ("large", b" " * (MAX_ENVELOPE_BYTES + 1), ErrorCode.FRAME_TOO_LARGE),
        ]
    )
    async def test_drops_and_counts_frame(self, _name, frame, code):
        """Guards against unreadable frames that stop the receiver or go uncounted."""
        socket = self.open_raw_link()
        await socket.send(frame)
        await socket.send(_make_frame())
        await asyncio.wait_for(socket.recv(), TIMEOUT_SECONDS)
        self.assertEqual(self.server.refused, {code: 1})

    async def test_closes_the_link_of_a_frame_beyond_memory_limits(self):
        """Guards against allocating memory for a frame of any announced size."""
        socket = self.open_raw_link()
        monitor = socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
        await socket.send(b" " * (3 * MAX_ENVELOPE_BYTES))
        await asyncio.wait_for(monitor.recv_multipart(), TIMEOUT_SECONDS)
        socket.disable_monitor()
        await self.request_status(self.client, self.server.address)
        self.assertEqual(self.server.refused, {})

    async def test_request_to_another_cluster_fails_with_its_code(self):
        """Guards against reporting a wrong cluster as a timeout."""
        other = await self.start_endpoint("o", cluster="other")
        with self.assertRaises(AlmondError) as caught:
            await self.request_status(self.client, other.address)
        self.assertEqual(caught.exception.code, ErrorCode.CLUSTER_MISMATCH)

    async def test_message_without_handler_is_refused(self):
        """Guards against requests that time out at a daemon that is still starting."""
        deadline = CLOCK.monotonic() + TIMEOUT_SECONDS
        with self.assertRaises(AlmondError) as caught:
            await self.client.request(
                self.server.address, Accepted(), deadline=deadline
            )
        self.assertEqual(caught.exception.code, ErrorCode.NOT_READY)

    async def test_silent_link_is_replaced_by_a_new_one(self):
        """Guards against keeping a connection that is open but transfers nothing.

        The proxy stops forwarding on the existing connection only, so that a request
        succeeds as soon as the client has opened a new link.
        """
        proxy = await _SilencingProxy.open(self.server.address)
        self.addAsyncCleanup(proxy.close)
        await self.request_status(self.client, proxy.address)
        proxy.silence()
        with self.assertRaises(AlmondError) as caught:
            await self.request_status(self.client, proxy.address, seconds=0.3)
        self.assertEqual(caught.exception.code, ErrorCode.PEER_TIMEOUT)
        # Without ROUTER_HANDOVER the server would reply on the silent link until its
        # heartbeat fails.
        await self.request_status(self.client, proxy.address, seconds=8)
        self.assertEqual(self.client.replaced_links, 1)

    async def test_restarted_peer_is_reached_over_the_same_link(self):
        """Guards against links that stay broken after the peer has restarted."""
        await self.request_status(self.client, self.server.address)
        address = self.server.address
        await self.server.close()
        self.server = await self.start_endpoint("b", address=address)
        await self.request_status(self.client, address)

    async def test_address_in_use_is_reported(self):
        """Guards against a start that fails without a code or hides the conflict."""
        with self.assertRaises(AlmondError) as caught:
            await self.start_endpoint("c", address=self.server.address)
        self.assertEqual(caught.exception.code, ErrorCode.ADDRESS_IN_USE)

    async def test_full_link_drops_instead_of_growing(self):
        """Guards against a queue without bound for a peer that is not reachable."""
        for version in range(1000):
            self.client.send("127.0.0.1:1", Announcement("a", Head(version, "d")))
        self.assertGreater(self.client.dropped, 900)

    def open_raw_link(self):
        context = zmq.asyncio.Context()
        self.addCleanup(context.destroy, linger=0)
        socket = context.socket(zmq.DEALER)
        socket.connect(f"tcp://{self.server.address}")
        return socket


class IdleLinkTest(unittest.IsolatedAsyncioTestCase):
    """Guards against keeping a link to every daemon that was ever contacted."""

    async def asyncSetUp(self):
        self.clock = _SteppedClock()
        self.endpoint = ZmqControlEndpoint(
            cluster="c",
            host="a",
            incarnation=1,
            address="127.0.0.1:0",
            clock=self.clock,
        )
        await self.endpoint.start()
        self.addAsyncCleanup(self.endpoint.close)
        self.endpoint.send("127.0.0.1:1", Accepted())
        self.endpoint.send("127.0.0.1:2", Accepted())

    async def test_idle_link_closes(self):
        """A message restarts the idle time of its link only."""
        await self.clock.step(LINK_IDLE_TIMEOUT_S - 1)
        self.endpoint.send("127.0.0.1:2", Accepted())
        await self.clock.step(2)
        self.assertEqual(self.endpoint.links, ("127.0.0.1:2",))

    async def test_link_to_a_host_that_is_not_a_neighbour_closes_early(self):
        """Recently used links and links to neighbours stay open."""
        self.endpoint.close_other_links([])
        self.assertEqual(len(self.endpoint.links), 2)
        await self.clock.step(NON_NEIGHBOUR_IDLE_TIMEOUT_S + 1)
        self.endpoint.close_other_links(["127.0.0.1:2"])
        self.assertEqual(self.endpoint.links, ("127.0.0.1:2",))


class _SteppedClock(ManualClock):
    """Clock that advances in steps and wakes all sleepers at each step."""

    def __init__(self):
        super().__init__()
        self.sleepers = []

    async def sleep_until(self, _deadline):
        sleeper = asyncio.get_running_loop().create_future()
        self.sleepers.append(sleeper)
        await sleeper

    async def step(self, seconds):
        await asyncio.sleep(0)
        self.advance(seconds)
        sleepers, self.sleepers = self.sleepers, []
        for sleeper in sleepers:
            sleeper.set_result(None)
        await asyncio.sleep(0)


class _SilencingProxy:
    """TCP proxy that can stop forwarding on its open connections."""

    @classmethod
    async def open(cls, target):
        proxy = cls()
        proxy.target = target
        proxy.silenced = set()
        proxy.tasks = set()
        proxy.writers = []
        proxy.server = await asyncio.start_server(proxy.serve, "127.0.0.1", 0)
        host, port = proxy.server.sockets[0].getsockname()
        proxy.address = f"{host}:{port}"
        return proxy

    def silence(self):
        self.silenced |= self.tasks

    async def serve(self, reader, writer):
        host, port = self.target.split(":")
        upstream_reader, upstream_writer = await asyncio.open_connection(host, port)
        self.writers += [writer, upstream_writer]
        for source, sink in ((reader, upstream_writer), (upstream_reader, writer)):
            task = asyncio.get_running_loop().create_task(self.copy(source, sink))
            self.tasks.add(task)

    async def copy(self, reader, writer):
        # A silenced connection does not forward the end of the stream either.
        while data := await reader.read(4096):
            if asyncio.current_task() not in self.silenced:
                writer.write(data)
        if asyncio.current_task() not in self.silenced:
            writer.close()

    async def close(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in self.writers:
            writer.close()
