"""Tests of call links: replies, refusals, silence, cancellation and drain."""

from __future__ import annotations

import asyncio
import socket
import unittest
from unittest.mock import patch

import msgspec
from parameterized import parameterized

from almondrouter.addresses import split_address
from almondrouter.clock import ManualClock
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import CALL_CODEC, BodyOffer, Cancel, Pong
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.protocol.outcomes import make_reply as make_error_reply
from almondrouter.transport import frames, links
from almondrouter.transport.frames import MAX_SILENCE_S, ClockOffset, FrameStream
from almondrouter.transport.links import (
    MAX_IDLE_S,
    CallLinkPool,
    CallLinkServer,
    LinkPolicy,
)
from almondrouter.transport.outbound_link import REPLY_GRACE_S
from calls_support import (
    TIMEOUT_S,
    CallAssertions,
    make_hello,
    make_reply,
    make_request,
    wait_until,
)


def encode_frame(message):
    """Return a message as a length-prefixed frame."""
    data = CALL_CODEC.encode(message)
    return len(data).to_bytes(4, "big") + data


UNPROBED_PING_INTERVAL_S = 10.0
"""Interval of the pings on the idle link that the tests open."""
FIRST_PING_S = 2.0
OFFER = b"offer"
"""Key of an offer, which has no body, among the pending replies."""
HELLO = encode_frame(make_hello("x"))


class Peer:
    """Server that completes the handshake and then reads only when a test does so."""

    def __init__(self, *, handshake_delay=0.0):
        self.handshake_delay = handshake_delay

    async def start(self):
        self.streams = []
        self.server = await asyncio.get_running_loop().create_server(
            lambda: FrameStream(ManualClock(), on_connect=self.serve), "127.0.0.1", 0
        )
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve(self, stream):
        await asyncio.sleep(self.handshake_delay)
        await stream.run_server_handshake(make_hello("silent"))
        self.streams.append(stream)


class LinkTest(CallAssertions, unittest.IsolatedAsyncioTestCase):
    """Calls from a pool to a server over TCP sockets, each with its own clock."""

    async def asyncSetUp(self):
        self.clock = ManualClock(monotonic=1000.0)
        self.server_clock = ManualClock(monotonic=5000.0)
        self.pending_replies = {}
        self.arrived = []
        self.cancelled = []
        self.waiting = set()
        self.pool = CallLinkPool(hello=make_hello("caller"), clock=self.clock)
        self.server = CallLinkServer(
            address="127.0.0.1:0",
            hello=make_hello("server"),
            handler=self.handle,
            clock=self.server_clock,
            withdraw=self.withdraw,
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.addAsyncCleanup(self.pool.close)

    async def handle(self, request):
        self.arrived.append(request)
        body = getattr(request, "body", OFFER)
        future = self.pending_replies[body] = asyncio.Future()
        if isinstance(request, BodyOffer):
            return make_reply(await future)
        try:
            return make_reply(await future or request.body)
        except CallError as error:
            return make_error_reply(error.code, error.outcome)
        except asyncio.CancelledError:
            self.cancelled.append(request.body)
            raise

    def withdraw(self, request):
        """Refuse a call that waits for a slot."""
        if request.body not in self.waiting:
            return False
        refusal = CallError(ErrorCode.CALL_CANCELLED, "withdrawn")
        self.pending_replies[request.body].set_exception(refusal)
        return True

    def start_call(self, body, *, address=None, key=""):
        request = make_request(body, deadline=self.clock.monotonic() + 60, key=key)
        address = address or self.server.address
        return asyncio.create_task(self.pool.call(address, request))

    async def test_crossed_replies_reach_their_own_calls(self):
        """Guards against matching replies by order instead of by call id."""
        tasks = [self.start_call(body) for body in (b"1", b"2", b"3")]
        await wait_until(lambda: len(self.pending_replies) == 3)
        for body in (b"3", b"1", b"2"):
            self.pending_replies[body].set_result(None)
        replies = await asyncio.gather(*tasks)
        self.assertEqual([b"1", b"2", b"3"], [reply.body for reply in replies])

    async def test_late_reply_is_dropped(self):
        """Guards against giving the reply of a cancelled call to another call."""
        peer = Peer()
        address = await peer.start()
        first = self.start_call(b"1", address=address)
        await wait_until(lambda: peer.streams)
        request = await peer.streams[0].receive()
        first.cancel()
        cancel = await peer.streams[0].receive()
        self.assertEqual(Cancel(request.call_id), cancel)
        second = self.start_call(b"2", address=address)
        following = await peer.streams[0].receive()
        for call_id, body in ((request.call_id, b"1"), (following.call_id, b"2")):
            reply = make_reply(body)
            peer.streams[0].send(msgspec.structs.replace(reply, call_id=call_id))
        self.assertEqual(b"2", (await second).body)
        self.assertEqual(1, self.pool.counts["late"])

    @parameterized.expand(
        [
            ("cluster", make_hello("x", cluster="other"), ErrorCode.CLUSTER_MISMATCH),
            ("version", make_hello("x", version=99), ErrorCode.PROTOCOL_MISMATCH),
        ]
    )
    async def test_mismatched_peer_is_refused_and_counted(self, _, hello, code):
        """Guards against calls between different clusters or protocol versions."""
        self.pool = CallLinkPool(hello=hello, clock=self.clock)
        unavailable = ErrorCode.PEER_UNAVAILABLE
        await self.assert_fails(self.start_call(b"1"), unavailable, Outcome.NOT_RUN)
        await wait_until(lambda: self.server.counts[code])
        self.assertEqual(1, self.pool.counts[code])
        self.assertEqual([], self.arrived)

    @parameterized.expand(
        [
            ("garbage", b"\0\0\0\3abc"),
            ("announced too large", b"\xff\xff\xff\xff", ErrorCode.FRAME_TOO_LARGE),
            ("no hello", encode_frame(Cancel(1))),
            ("call in the handshake", HELLO + encode_frame(make_request(deadline=9e9))),
            ("old clock in the handshake", HELLO + encode_frame(Pong(1.0, 1.0))),
        ]
    )
    async def test_bad_frames_close_the_link(
        self, _, data, code=ErrorCode.FRAME_MALFORMED
    ):
        """Guards against malformed input that leaks memory or stops the server."""
        address = split_address(self.server.address)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(data)
        await wait_until(lambda: self.server.counts[code])
        while await reader.read(1000):
            pass
        writer.close()
        task = self.start_call(b"1")
        await wait_until(lambda: self.pending_replies)
        self.pending_replies[b"1"].set_result(None)
        self.assertEqual(b"1", (await task).body)

    async def test_buffering_delay_counts_against_the_deadline(self):
        """Guards against deadlines that are counted from when a frame is read.

        The frame is sent 5 s after its deadline was set, as if a buffer had delayed
        it; the server still derives the deadline from the sender's clock.
        """
        stream = await FrameStream.connect(self.server.address, self.clock)
        await stream.run_client_handshake(make_hello("caller"))
        data = encode_frame(make_request(b"1", deadline=self.clock.monotonic() + 2))
        for clock in (self.clock, self.server_clock):
            clock.advance(5)
        stream._transport.write(data)
        await wait_until(lambda: self.arrived)
        self.assertEqual(5002.0, self.arrived[0].deadline)
        stream.close()

    async def test_call_waits_for_a_link_as_long_as_the_policy_allows(self):
        """Guards against giving up a distant daemon before the configured wait."""
        policy = LinkPolicy(max_connect_wait=TIMEOUT_S)
        self.pool = CallLinkPool(
            hello=make_hello("caller"), clock=self.clock, policy=policy
        )
        self.addAsyncCleanup(self.pool.close)
        peer = Peer(handshake_delay=0.3)
        with patch.object(links, "CONNECT_TIMEOUT_S", 0.1):
            task = self.start_call(b"1", address=await peer.start())
            await wait_until(lambda: task.done() or peer.streams)
        self.assertFalse(task.done())
        self.assertEqual(b"1", (await peer.streams[0].receive()).body)

    async def test_silent_link_is_closed_and_reopened(self):
        """Guards against calls that wait forever on a suspended or half-open peer.

        The peer reads nothing, so the first call fills the socket buffer and the
        second one is never written: its outcome is not-run instead of unknown.
        """
        peer = Peer()
        address = await peer.start()
        sent = self.start_call(bytes(7_000_000), address=address)
        await wait_until(lambda: peer.streams)
        await asyncio.sleep(0)
        held = self.start_call(b"2", address=address)
        await asyncio.sleep(0)
        for _ in range(3):
            self.pool.tick()
            self.assertFalse(sent.done())
            self.clock.advance(1)
        self.pool.tick()
        await self.assert_fails(sent, ErrorCode.PEER_TIMEOUT, Outcome.UNKNOWN)
        await self.assert_fails(held, ErrorCode.PEER_UNAVAILABLE, Outcome.NOT_RUN)
        again = self.start_call(b"3", address=address)
        await wait_until(lambda: len(peer.streams) == 2)
        again.cancel()

    async def pass_silent_seconds(self, seconds=3):
        """Let time pass in which no pong is read."""
        self.pool.tick()
        for _ in range(seconds):
            self.clock.advance(1)
            self.pool.tick()

    @parameterized.expand([("abandoned", True), ("kept", False)])
    async def test_reply_after_a_silence_is_lost_only_if_abandoned(self, _, abandon):
        """Guards against an error for a call that a slow or congested peer still runs.

        New calls use another connection meanwhile.
        """
        peer = Peer()
        address = await peer.start()
        request = make_request(b"1", deadline=self.clock.monotonic() + 60)
        call = asyncio.create_task(
            self.pool.call(address, request, abandon_silent=lambda: abandon)
        )
        await wait_until(lambda: peer.streams)
        received = await peer.streams[0].receive()
        await self.pass_silent_seconds()
        self.assertFalse(self.pool.is_alive(address))
        if abandon:
            await self.assert_fails(call, ErrorCode.PEER_TIMEOUT, Outcome.UNKNOWN)
        later = self.start_call(b"2", address=address)
        await wait_until(lambda: len(peer.streams) == 2)
        if not abandon:
            self.assertFalse(call.done())
            reply = make_reply(b"late")
            peer.streams[0].send(
                msgspec.structs.replace(reply, call_id=received.call_id)
            )
            self.assertEqual(b"late", (await call).body)
        self.pool.tick()
        await wait_until(lambda: peer.streams[0]._closed.is_set())
        self.assertFalse(later.done())
        later.cancel()

    async def test_unsent_call_on_a_silent_link_is_not_offered_for_abandonment(self):
        """Guards against a retry that is taken for a call that has not been sent.

        The call fails as not run and is sent elsewhere without the retry budget.
        """
        peer = Peer()
        address = await peer.start()
        sent = self.start_call(b"1", address=address)
        await wait_until(lambda: peer.streams and self.pool._links)
        self.pool._links[address].stream.pause_writing()
        asked = []
        held = asyncio.create_task(
            self.pool.call(
                address,
                make_request(b"2", deadline=self.clock.monotonic() + 60),
                abandon_silent=lambda: asked.append(1) is None,
            )
        )
        await asyncio.sleep(0)
        await self.pass_silent_seconds()
        await self.assert_fails(held, ErrorCode.PEER_UNAVAILABLE, Outcome.NOT_RUN)
        await self.assert_fails(sent, ErrorCode.PEER_TIMEOUT, Outcome.UNKNOWN)
        self.assertEqual([], asked)

    async def test_pause_of_this_process_is_not_silence_of_its_peers(self):
        """Guards against giving up calls after a short suspension of this process.

        The pong may have been received by the kernel and not been read yet.
        """
        policy = LinkPolicy(ping_interval=0.3, max_silence=1.0)
        self.pool = CallLinkPool(
            hello=make_hello("caller"), clock=self.clock, policy=policy
        )
        self.addAsyncCleanup(self.pool.close)
        peer = Peer()
        address = await peer.start()
        call = self.start_call(b"1", address=address)
        await wait_until(lambda: peer.streams)
        for seconds in (0.3, 0.8):
            self.pool.tick()
            self.clock.advance(seconds)
        self.pool.tick()
        self.assertEqual(0, self.pool.counts["silent"])
        call.cancel()

    async def open_idle_links(self, *, silent):
        """Open an idle link to a peer that is not probed; return its address.

        A link draws the time of its first ping, which decides whether the peer has
        sent something lately when a test suspects it.
        """
        share = FIRST_PING_S / UNPROBED_PING_INTERVAL_S
        self.enterContext(patch.object(frames.random, "random", return_value=share))
        policy = LinkPolicy(ping_interval=0.3, max_silence=1.0, ping_idle=True)
        self.pool = CallLinkPool(
            hello=make_hello("caller"), clock=self.clock, policy=policy
        )
        self.addAsyncCleanup(self.pool.close)
        # The one link gets the pings that a daemon of a fleet sends to 40 peers.
        pings_per_s = 1 / UNPROBED_PING_INTERVAL_S
        self.enterContext(patch.object(links, "UNPROBED_PINGS_PER_S", pings_per_s))
        self.pool.set_probed(())
        peer = Peer()
        address = await peer.start() if silent else self.server.address
        self.pool.preconnect(address)
        await wait_until(lambda: self.pool.is_alive(address))
        if silent:
            await wait_until(lambda: peer.streams)
            peer.streams[0]._transport.pause_reading()
        return address

    async def pass_time(self, seconds):
        """Let time pass in the steps of the ticks, and let pongs be read."""
        for _ in range(round(seconds / 0.25)):
            self.clock.advance(0.25)
            self.pool.tick()
            await asyncio.sleep(0.005)

    async def test_unprobed_idle_link_is_pinged_rarely(self):
        """Guards against pings to all hosts, which cost more than the calls."""
        address = await self.open_idle_links(silent=False)
        link = self.pool._links[address]
        with patch.object(link.stream, "send", wraps=link.stream.send) as send:
            await self.pass_time(40)
        self.assertTrue(self.pool.is_alive(address))
        self.assertLess(send.call_count, 7)
        self.assertGreater(send.call_count, 2)

    @parameterized.expand([("kept", True), ("not kept", False)])
    async def test_idle_link_is_closed_unless_it_is_kept(self, _, kept):
        """Guards against links that calls once opened and that nobody closes."""
        address = await self.open_idle_links(silent=False)
        self.pool.set_kept({address} if kept else ())
        await self.pass_time(MAX_IDLE_S - 1)
        self.assertEqual(1, self.pool.link_count)
        await self.pass_time(2)
        self.assertEqual(int(kept), self.pool.link_count)

    async def test_closely_probed_peer_has_to_respond_soon(self):
        """Guards against a frozen relay that counts as alive while its link is idle."""
        address = await self.open_idle_links(silent=True)
        self.pool.set_closely_probed({address})
        await self.pass_time(0.75)
        self.assertTrue(self.pool.is_alive(address))
        await self.pass_time(0.5)
        self.assertFalse(self.pool.is_alive(address))
        self.assertEqual([address], self.pool.take_newly_silent())

    async def test_report_does_not_prolong_the_silence_of_a_closely_probed_peer(self):
        """Guards against standbys that delay one another by their reports."""
        address = await self.open_idle_links(silent=True)
        self.pool.set_closely_probed({address})
        await self.pass_time(0.75)
        self.pool.suspect(address)
        self.pool.suspect_all()
        await self.pass_time(0.5)
        self.assertFalse(self.pool.is_alive(address))

    async def test_closely_probed_peer_that_responds_stays(self):
        """Guards against a relay that is replaced although it responds."""
        address = await self.open_idle_links(silent=False)
        self.pool.set_closely_probed({address})
        await self.pass_time(20)
        self.assertTrue(self.pool.is_alive(address))
        self.assertEqual([], self.pool.take_newly_silent())

    @parameterized.expand([("reported",), ("own pause",)])
    async def test_suspected_peer_has_to_respond_soon(self, reason):
        """Guards against calls to a silent host that others have reported."""
        address = await self.open_idle_links(silent=True)
        await self.pass_time(5)
        self.assertTrue(self.pool.is_alive(address))
        if reason == "reported":
            self.pool.suspect(address)
        else:
            self.clock.advance(5)
            self.pool.tick()
        await self.pass_time(0.75)
        self.assertTrue(self.pool.is_alive(address))
        await self.pass_time(0.5)
        self.assertFalse(self.pool.is_alive(address))
        self.assertEqual([address], self.pool.take_newly_silent())
        self.assertEqual([], self.pool.take_newly_silent())

    @parameterized.expand([("3 s ago", 3, True), ("just now", 0, False)])
    async def test_suspected_peer_that_responds_stays(self, _, heard_ago_s, checked):
        """Guards against giving up a host because another daemon cannot reach it."""
        address = await self.open_idle_links(silent=False)
        link = self.pool._links[address]
        opened_at = link.stream.last_received_at
        await self.pass_time(FIRST_PING_S)
        await wait_until(lambda: link.stream.last_received_at > opened_at)
        await self.pass_time(heard_ago_s)
        self.pool.suspect(address)
        self.assertIs(checked, link.is_suspected)
        await self.pass_time(3)
        self.assertTrue(self.pool.is_alive(address))
        self.assertFalse(link.is_suspected)
        self.assertEqual([], self.pool.take_newly_silent())

    async def test_call_that_waits_for_its_link_is_withdrawn(self):
        """Guards against sending a call after its daemon has given up its calls."""
        peer = Peer(handshake_delay=0.2)
        address = await peer.start()
        call = self.start_call(b"1", address=address)
        await asyncio.sleep(0.05)
        self.pool.withdraw_calls()
        await wait_until(lambda: call.done() or peer.streams)
        async with asyncio.timeout(1.0):
            await self.assert_fails(call, ErrorCode.STOPPING, Outcome.NOT_RUN)

    async def test_calls_on_a_silent_link_end_with_the_pool(self):
        """Guards against calls that are left behind when the pool is closed."""
        peer = Peer()
        address = await peer.start()
        request = make_request(b"1", deadline=self.clock.monotonic() + 60)
        call = asyncio.create_task(
            self.pool.call(address, request, abandon_silent=lambda: False)
        )
        await wait_until(lambda: peer.streams)
        await self.pass_silent_seconds()
        self.assertFalse(call.done())
        await self.pool.close()
        async with asyncio.timeout(1.0):
            await self.assert_fails(call, ErrorCode.PEER_TIMEOUT, Outcome.UNKNOWN)

    async def test_call_on_a_silent_link_can_be_withdrawn(self):
        """Guards against waiting calls that a stopping daemon does not withdraw."""
        peer = Peer()
        address = await peer.start()
        request = make_request(b"1", deadline=self.clock.monotonic() + 60)
        call = asyncio.create_task(
            self.pool.call(address, request, abandon_silent=lambda: False)
        )
        await wait_until(lambda: peer.streams)
        received = await peer.streams[0].receive()
        await self.pass_silent_seconds()
        self.pool.withdraw_calls()
        async with asyncio.timeout(1.0):
            cancel = await peer.streams[0].receive()
        self.assertEqual(Cancel(received.call_id), cancel)
        call.cancel()

    async def test_unsent_reply_to_a_dead_caller_does_not_delay_a_stop(self):
        """Guards against a graceful stop that waits for a caller that reads nothing."""
        call = self.start_call(b"1")
        await wait_until(lambda: self.arrived)
        (link,) = self.server._links
        link.stream.pause_writing()
        self.pending_replies[b"1"].set_result(None)
        await asyncio.sleep(0.02)
        for _ in range(30):
            self.server.tick()
            self.server_clock.advance(1)
        await asyncio.sleep(0.05)
        self.assertEqual(0, len(self.server._tasks))
        call.cancel()

    async def test_silent_link_ends_at_the_deadline_of_its_calls(self):
        """Guards against a call that waits for a dead peer beyond its deadline."""
        peer = Peer()
        address = await peer.start()
        request = make_request(b"1", deadline=self.clock.monotonic() + 5)
        call = asyncio.create_task(
            self.pool.call(address, request, abandon_silent=lambda: False)
        )
        await wait_until(lambda: peer.streams)
        await self.pass_silent_seconds(4)
        await asyncio.sleep(0.01)
        self.assertFalse(call.done())
        self.clock.advance(1 + REPLY_GRACE_S)
        self.pool._deadlines._expire_due()
        await self.assert_fails(call, ErrorCode.PEER_TIMEOUT, Outcome.UNKNOWN)

    def get_tcp_user_timeout(self, stream):
        """Return the TCP user timeout of a link in seconds."""
        connected = stream._transport.get_extra_info("socket")
        option = socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        return connected.getsockopt(*option) / 1000

    async def test_kernel_does_not_end_a_silent_link_with_calls(self):
        """Guards against a TCP timeout that ends calls which wait on a silent link."""
        call = self.start_call(b"1")
        await wait_until(lambda: self.arrived)
        (link,) = self.server._links
        self.assertGreater(self.get_tcp_user_timeout(link.stream), 10)
        stream = self.pool._links[self.server.address].stream
        self.assertGreater(self.get_tcp_user_timeout(stream), 10)
        self.pending_replies[b"1"].set_result(None)
        await call

    async def test_idle_link_fails_soon_if_a_notice_is_not_acknowledged(self):
        """Guards against notices that are lost on a connection which went silent.

        The next connection delivers the current notice.
        """
        call = self.start_call(b"1")
        await wait_until(lambda: self.arrived)
        self.pending_replies[b"1"].set_result(None)
        await call
        stream = self.pool._links[self.server.address].stream
        self.assertLessEqual(self.get_tcp_user_timeout(stream), MAX_SILENCE_S)

    async def test_calls_of_a_silent_caller_are_kept(self):
        """Guards against cancelling work for a caller whose network is congested."""
        policy = LinkPolicy(max_silence=1.0, max_inbound_silence=10.0)
        self.server._policy = policy
        call = self.start_call(b"1")
        await wait_until(lambda: self.arrived)
        self.server.tick()
        for _ in range(9):
            self.server_clock.advance(1)
            self.server.tick()
        self.pending_replies[b"1"].set_result(None)
        self.assertEqual(b"1", (await call).body)
        self.assertEqual([], self.cancelled)

    async def test_long_body_on_a_slow_path_is_not_cut(self):
        """Guards against aborting an upload because pings queue behind its bytes.

        Long bodies have a link of their own with a longer allowed silence.
        """
        policy = LinkPolicy(max_silence=1.0, max_short_bytes=100, max_bulk_silence=4.0)
        self.pool = CallLinkPool(
            hello=make_hello("caller"), clock=self.clock, policy=policy
        )
        self.addAsyncCleanup(self.pool.close)
        peer = Peer()
        address = await peer.start()
        upload = self.start_call(bytes(7_000_000), address=address)
        short = self.start_call(b"1", address=address)
        await wait_until(lambda: len(peer.streams) == 2)
        await asyncio.sleep(0)
        for _ in range(3):
            self.clock.advance(1)
            self.pool.tick()
            await asyncio.sleep(0)
        self.assertTrue(short.done())
        self.assertFalse(upload.done())
        self.clock.advance(1)
        self.pool.tick()
        await self.assert_fails(upload, ErrorCode.PEER_TIMEOUT, Outcome.UNKNOWN)
        await self.assert_fails(short, ErrorCode.PEER_TIMEOUT, Outcome.UNKNOWN)

    async def test_own_suspension_does_not_close_the_link(self):
        """Guards against closing links because this process itself was suspended."""
        task = self.start_call(b"1")
        await wait_until(lambda: self.pending_replies)
        self.pool.tick()
        self.clock.advance(30)
        self.pool.tick()
        self.pending_replies[b"1"].set_result(None)
        self.assertEqual(b"1", (await task).body)

    async def test_cancelled_caller_cancels_the_handler(self):
        """Guards against handlers that keep running after their call is cancelled."""
        task = self.start_call(b"1", key="key")
        await wait_until(lambda: self.pending_replies)
        task.cancel()
        await wait_until(lambda: self.cancelled == [b"1"])

    async def test_lost_link_cancels_only_calls_without_key(self):
        """Guards against losing the result of a call that will be retried."""
        tasks = [self.start_call(b"1"), self.start_call(b"2", key="key")]
        await wait_until(lambda: len(self.pending_replies) == 2)
        await self.pool.close()
        for task in tasks:
            await self.assert_fails(task, ErrorCode.PEER_TIMEOUT, Outcome.UNKNOWN)
        await wait_until(lambda: self.cancelled)
        self.assertEqual([b"1"], self.cancelled)

    async def test_call_that_is_cancelled_at_once_is_not_counted_on(self):
        """Guards against calls that stay open because they were never started.

        The frames of a call and of its cancellation may be read together.
        """
        stream = await FrameStream.connect(self.server.address, self.clock)
        await stream.run_client_handshake(make_hello("caller"))
        request = make_request(b"1", deadline=self.clock.monotonic() + 60)
        stream._transport.write(encode_frame(request) + encode_frame(Cancel(0)))
        stream._transport.write(
            encode_frame(msgspec.structs.replace(request, call_id=1))
        )
        await wait_until(lambda: self.pending_replies)
        self.assertEqual(1, self.server.calls_in_flight)
        self.assertEqual(1, len(self.arrived))
        stream.close()

    async def test_withdrawn_call_tells_whether_it_was_waiting(self):
        """Guards against unknown outcomes of calls that wait at another host.

        The call that runs there gets no reply: its outcome stays unknown.
        """
        self.waiting = {b"waits"}
        waits, runs = self.start_call(b"waits"), self.start_call(b"runs")
        await wait_until(lambda: len(self.pending_replies) == 2)
        self.pool.withdraw_calls()
        reply = await waits
        self.assertEqual(
            (Outcome.NOT_RUN, ErrorCode.CALL_CANCELLED), (reply.outcome, reply.code)
        )
        await wait_until(lambda: self.cancelled == [b"runs"])
        self.assertFalse(runs.done())
        refused = self.start_call(b"new")
        await self.assert_fails(refused, ErrorCode.STOPPING, Outcome.NOT_RUN)
        await self.pool.close()
        await self.assert_fails(runs, ErrorCode.PEER_TIMEOUT, Outcome.UNKNOWN)

    async def test_peer_that_ignores_a_withdrawal_leaves_the_outcome_unknown(self):
        """Guards against assuming that a call has not run at an earlier version.

        Daemons of earlier versions do not reply to a `Cancel`.
        """
        peer = Peer()
        address = await peer.start()
        task = self.start_call(b"1", address=address)
        await wait_until(lambda: peer.streams)
        request = await peer.streams[0].receive()
        self.pool.withdraw_calls()
        self.assertEqual(Cancel(request.call_id), await peer.streams[0].receive())
        self.assertFalse(task.done())
        await self.pool.close()
        await self.assert_fails(task, ErrorCode.PEER_TIMEOUT, Outcome.UNKNOWN)

    async def test_withdrawn_offer_has_not_run(self):
        """Guards against an unknown outcome of a request that was only offered."""
        deadline = self.clock.monotonic() + 60
        offer = BodyOffer(0, "c", "b", 1, 9, deadline, deadline)
        task = asyncio.create_task(self.pool.call(self.server.address, offer))
        await wait_until(lambda: self.pending_replies)
        self.pool.withdraw_calls()
        reply = await task
        self.assertEqual(
            (Outcome.NOT_RUN, ErrorCode.CALL_CANCELLED), (reply.outcome, reply.code)
        )

    async def test_drain_finishes_calls_and_refuses_new_ones(self):
        """Guards against aborting calls in flight at a planned stop."""
        task = self.start_call(b"1")
        await wait_until(lambda: self.pending_replies)
        draining = asyncio.create_task(self.server.drain())
        refused = await self.start_call(b"2")
        self.assertEqual(
            (Outcome.NOT_RUN, ErrorCode.STOPPING), (refused.outcome, refused.code)
        )
        self.assertFalse(draining.done())
        self.pending_replies[b"1"].set_result(None)
        self.assertEqual(b"1", (await task).body)
        await draining

    async def test_reply_too_large_for_a_frame_is_unknown(self):
        """Guards against a caller that waits for a reply above the frame limit."""
        task = self.start_call(b"1")
        await wait_until(lambda: self.pending_replies)
        self.pending_replies[b"1"].set_result(bytes(9_000_000))
        reply = await task
        self.assertEqual(
            (Outcome.UNKNOWN, ErrorCode.FRAME_TOO_LARGE), (reply.outcome, reply.code)
        )


class ClockOffsetTest(unittest.TestCase):
    """The estimate must stay correct when samples are delayed or old."""

    def test_delayed_sample_does_not_replace_the_estimate(self):
        """Guards against shifting all deadlines when a pong was delayed."""
        offset = ClockOffset()
        offset.add_sample(sent=10.0, received=10.002, peer=50.001)
        offset.add_sample(sent=11.0, received=13.0, peer=51.0)
        self.assertAlmostEqual(9.999, offset.to_local_time(50.0))

    def test_new_sample_replaces_an_old_one(self):
        """Guards against keeping an estimate that clock drift has made wrong."""
        offset = ClockOffset()
        offset.add_sample(sent=0.0, received=0.002, peer=50.001)
        offset.add_sample(sent=100.0, received=100.004, peer=150.102)
        self.assertAlmostEqual(99.898, offset.to_local_time(150.0))
