"""Control links in memory: encoded messages with delay, loss, cuts and pauses."""

import asyncio
from collections import Counter

from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import CONTROL_CODEC, Refused
from almondrouter.transport.control import ByteCount, ControlEndpoint

# Envelope of a control message: cluster, protocol version, host, incarnation
# and the headers of the frames.
ENVELOPE_BYTES = 48


class Network:
    """Carries messages between endpoints; faults are set on its attributes."""

    def __init__(self, random, *, near=0.001, far=0.020):
        self.random = random
        self.near, self.far = near, far
        self.endpoints = {}
        self.loss = self.duplicates = self.jitter = 0.0
        self.cuts = set()
        self.bytes_by_kind = Counter()
        self.cross_region_bytes_by_kind = Counter()

    def reaches(self, sender, receiver):
        """Return whether messages pass from one record's host to another's."""
        ends = {(a, b) for a in _names(sender) for b in _names(receiver)}
        return not (ends & self.cuts)

    async def carry(self, sender, receiver, message):
        """Deliver a message; return whether it arrived."""
        data = CONTROL_CODEC.encode(message)
        size = len(data) + ENVELOPE_BYTES
        sender.sent += size
        self.bytes_by_kind[type(message).__name__] += size
        near = sender.record.region == receiver.record.region
        if not near:
            self.cross_region_bytes_by_kind[type(message).__name__] += size
        delay = self.near if near else self.far
        await asyncio.sleep(delay + self.random.random() * self.jitter)
        if self.random.random() < self.loss:
            return None
        if not self.reaches(sender.record, receiver.record) or not receiver.up:
            return None
        receiver.received += size
        await receiver.running.wait()
        return CONTROL_CODEC.decode(data)


def _names(record):
    return (record.host, record.data_centre, record.region)


class MemoryEndpoint(ControlEndpoint):
    """The control endpoint of one host."""

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
        task = asyncio.create_task(self._push(address, message))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _push(self, address, message):
        for _ in range(1 + (self.network.random.random() < self.network.duplicates)):
            await self._exchange(address, message)

    async def request(self, address, message, *, deadline):
        left = deadline - asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(max(left, 0)):
                reply = await self._exchange(address, message, reply=True)
        except TimeoutError as error:
            raise AlmondError(ErrorCode.PEER_TIMEOUT, "no reply") from error
        if isinstance(reply, Refused):
            raise AlmondError(ErrorCode(reply.code), reply.message)
        return reply

    async def _exchange(self, address, message, *, reply=False):
        await self.running.wait()
        peer = self.network.endpoints[address]
        arrived = await self.network.carry(self, peer, message)
        answer = None
        if arrived is not None and type(arrived) in peer.handlers:
            answer = await peer.handlers[type(arrived)](arrived, self.record.host)
        if not reply:
            return None
        if answer is not None:
            answer = await self.network.carry(peer, self, answer)
        if answer is None:
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
