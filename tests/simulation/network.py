"""Control links in memory that delay, drop, duplicate or block encoded messages."""

import asyncio
from collections import Counter

from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import CONTROL_CODEC, Refused
from almondrouter.transport.control import ByteCount, ControlEndpoint

# Size of a control message's envelope: cluster, protocol version, host, incarnation
# and frame headers.
ENVELOPE_BYTES = 48


class Network:
    """Delivers messages between endpoints; tests set its attributes to inject faults.

    Parameters
    ----------
    random
        Random generator that all faults draw from.
    same_region_delay, cross_region_delay
        One-way latency in seconds.

    Attributes
    ----------
    loss, duplicates
        Probability, from 0 to 1, that a message is lost or sent twice.
    jitter
        Maximum random addition to the latency, in seconds.
    cuts
        Blocked directions, as pairs of sender and receiver; each is the name of
        a host, a data centre or a region.
    """

    def __init__(self, random, *, same_region_delay=0.001, cross_region_delay=0.020):
        self.random = random
        self.same_region_delay, self.cross_region_delay = (
            same_region_delay,
            cross_region_delay,
        )
        self.endpoints = {}
        self.loss = self.duplicates = self.jitter = 0.0
        self.cuts = set()
        self.bytes_by_kind = Counter()
        self.cross_region_bytes_by_kind = Counter()

    def reaches(self, sender, receiver):
        """Return whether the sender's messages can reach the receiver.

        Both are host records.
        """
        name_pairs = {
            (a, b) for a in _list_names(sender) for b in _list_names(receiver)
        }
        return not (name_pairs & self.cuts)

    async def deliver(self, sender, receiver, message):
        """Send a message; return the decoded copy, or None if it was lost."""
        data = CONTROL_CODEC.encode(message)
        size = len(data) + ENVELOPE_BYTES
        sender.sent += size
        self.bytes_by_kind[type(message).__name__] += size
        same_region = sender.record.region == receiver.record.region
        if not same_region:
            self.cross_region_bytes_by_kind[type(message).__name__] += size
        delay = self.same_region_delay if same_region else self.cross_region_delay
        await asyncio.sleep(delay + self.random.random() * self.jitter)
        if self.random.random() < self.loss:
            return None
        if not self.reaches(sender.record, receiver.record) or not receiver.up:
            return None
        receiver.received += size
        await receiver.running.wait()
        return CONTROL_CODEC.decode(data)


def _list_names(record):
    return (record.host, record.data_centre, record.region)


class MemoryEndpoint(ControlEndpoint):
    """The control endpoint of one host.

    ``up`` is False while the daemon is stopped; clearing the event ``running``
    freezes the endpoint, as in a paused process.
    """

    def __init__(self, network, record):
        self.network = network
        self.record = record
        self.handlers = {}
        self.tasks = set()
        self.up = False
        self.sent = self.received = 0
        self.running = asyncio.Event()
        self.running.set()
        network.endpoints[record.control_address] = self

    def set_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, address, message):
        task = asyncio.create_task(self._send_with_duplicates(address, message))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send_with_duplicates(self, address, message):
        for _ in range(1 + (self.network.random.random() < self.network.duplicates)):
            await self._exchange(address, message)

    async def request(self, address, message, *, deadline):
        remaining = deadline - asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(max(remaining, 0)):
                reply = await self._exchange(address, message, reply=True)
        except TimeoutError as error:
            raise AlmondError(
                ErrorCode.PEER_TIMEOUT, "no reply before the deadline"
            ) from error
        if isinstance(reply, Refused):
            raise AlmondError(ErrorCode(reply.code), reply.message)
        return reply

    async def _exchange(self, address, message, *, reply=False):
        await self.running.wait()
        peer = self.network.endpoints[address]
        arrived = await self.network.deliver(self, peer, message)
        answer = None
        if arrived is not None and type(arrived) in peer.handlers:
            answer = await peer.handlers[type(arrived)](arrived, self.record.host)
        if not reply:
            return None
        if answer is not None:
            answer = await self.network.deliver(peer, self, answer)
        if answer is None:
            # No reply arrives: the request fails at its own deadline.
            await asyncio.sleep(3600)
        return answer

    def count_bytes(self):
        return {"": ByteCount(self.sent, self.received)}

    async def start(self):
        self.up = True

    async def close(self):
        self.up = False
        for task in list(self.tasks):
            task.cancel()
