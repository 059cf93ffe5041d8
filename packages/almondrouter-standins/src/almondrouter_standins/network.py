"""In-memory control network with cuts, loss, duplication, delay and reordering."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from random import Random

from almondrouter.clock import Clock
from almondrouter.protocol.control import ControlMessage
from almondrouter.transport.envelopes import EnvelopeEndpoint, estimate_wire_bytes


@dataclass(slots=True)
class LinkFaults:
    """Faults of all links of a network.

    Parameters
    ----------
    loss, duplication
        Probability that a frame is lost or delivered twice.
    delay
        Seconds until a frame arrives.
    jitter
        Upper bound in seconds of a uniformly distributed addition to ``delay``;
        frames sent within this time of each other may arrive in another order.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0


class MemoryControlNetwork:
    """Carries encoded frames between the endpoints of one process.

    Parameters
    ----------
    seed
        Seed of loss, duplication and jitter.
    faults
        Faults of every link; may be changed at any time.
    find_delay
        Returns the delay in seconds between two addresses, which is added to the
        delay of ``faults``.

    Attributes
    ----------
    frames_sent
        Number of frames sent, including lost ones.

    Notes
    -----
    Delays are timers of the running event loop, either a `SimulatedLoop` on the
    `ManualClock` of the endpoints or a real loop. Frames without delay arrive in
    the next iteration of the loop. Frames in flight when a link is cut are lost.
    """

    def __init__(
        self,
        *,
        seed: int = 0,
        faults: LinkFaults | None = None,
        find_delay: Callable[[str, str], float] | None = None,
    ) -> None:
        self.faults = faults or LinkFaults()
        self.frames_sent = 0
        self._random = Random(seed)
        self._find_delay = find_delay
        self._endpoints: dict[str, MemoryControlEndpoint] = {}
        self._cut_links: set[tuple[str, str]] = set()
        self._frozen_queues: dict[str, list[Callable[[], None]]] = {}

    def create_endpoint(
        self,
        address: str,
        *,
        cluster: str = "test",
        host: str,
        incarnation: int,
        clock: Clock,
    ) -> MemoryControlEndpoint:
        """Return an endpoint that receives frames for the address once started."""
        return MemoryControlEndpoint(
            self,
            address,
            cluster=cluster,
            host=host,
            incarnation=incarnation,
            clock=clock,
        )

    def cut(
        self, sources: Iterable[str], destinations: Iterable[str], *, two_way: bool
    ) -> None:
        """Lose every frame from the sources to the destinations.

        With ``two_way``, frames in the other direction are lost too.
        """
        self._cut_links |= _make_links(sources, destinations, two_way=two_way)

    def heal(
        self, sources: Iterable[str], destinations: Iterable[str], *, two_way: bool
    ) -> None:
        """Undo `cut`."""
        self._cut_links -= _make_links(sources, destinations, two_way=two_way)

    def heal_all(self) -> None:
        """Undo every cut."""
        self._cut_links.clear()

    def freeze(self, address: str) -> None:
        """Queue the frames that arrive at an address, as if SIGSTOP stopped it."""
        self._frozen_queues.setdefault(address, [])

    def resume(self, address: str) -> None:
        """Deliver the frames queued since `freeze`, in order of arrival."""
        for deliver in self._frozen_queues.pop(address, ()):
            deliver()

    def inject(self, source: str, destination: str, frame: bytes) -> None:
        """Send arbitrary bytes, as a foreign or faulty program could."""
        self.send_frame(source, destination, frame, None)

    def attach(self, endpoint: MemoryControlEndpoint) -> None:
        """Start delivering frames for the endpoint's address to it."""
        self._endpoints[endpoint.address] = endpoint

    def detach(self, endpoint: MemoryControlEndpoint) -> None:
        """Stop delivering frames to the endpoint."""
        if self._endpoints.get(endpoint.address) is endpoint:
            del self._endpoints[endpoint.address]

    def send_frame(
        self, source: str, destination: str, frame: bytes, incarnation: int | None
    ) -> None:
        """Send a frame, subject to the faults of the link.

        Parameters
        ----------
        incarnation
            Incarnation of the destination that may receive the frame; None for any.
        """
        self.frames_sent += 1
        if self._random.random() < self.faults.loss:
            return
        copies = 2 if self._random.random() < self.faults.duplication else 1
        for _ in range(copies):
            delay = self.faults.delay + self._random.random() * self.faults.jitter
            if self._find_delay is not None:
                delay += self._find_delay(source, destination)
            asyncio.get_running_loop().call_later(
                delay, self._deliver, source, destination, frame, incarnation
            )

    def run_when_resumed(self, address: str, action: Callable[[], None]) -> None:
        """Run an action now, or at the next `resume` if the address is frozen."""
        frozen_queue = self._frozen_queues.get(address)
        if frozen_queue is None:
            action()
        else:
            frozen_queue.append(action)

    def _deliver(
        self, source: str, destination: str, frame: bytes, incarnation: int | None
    ) -> None:
        if (source, destination) in self._cut_links:
            return
        endpoint = self._endpoints.get(destination)
        if endpoint is None or incarnation not in (None, endpoint.incarnation):
            return
        self.run_when_resumed(destination, lambda: endpoint.accept(source, frame))


class MemoryControlEndpoint(EnvelopeEndpoint):
    """Control endpoint on a `MemoryControlNetwork`."""

    def __init__(
        self,
        network: MemoryControlNetwork,
        address: str,
        *,
        cluster: str,
        host: str,
        incarnation: int,
        clock: Clock,
    ) -> None:
        super().__init__(
            cluster=cluster, host=host, incarnation=incarnation, clock=clock
        )
        self.address = address
        self._network = network
        self._is_open = False

    async def start(self) -> None:  # noqa: D102
        self._is_open = True
        self._network.attach(self)

    async def close(self) -> None:  # noqa: D102
        self.kill()
        await self._stop_handlers()

    def kill(self) -> None:
        """Stop sending and receiving at once, as a killed process does."""
        self._is_open = False
        self._network.detach(self)

    def accept(self, source: str, frame: bytes) -> None:
        """Handle a frame that has arrived."""
        if self._is_open:
            self._receive_frame(source, frame, partial(self._reply, source))

    def _reply(self, source: str, incarnation: int, frame: bytes) -> None:
        if self._is_open:
            self._get_byte_count(source).sent += estimate_wire_bytes(len(frame))
            self._network.send_frame(self.address, source, frame, incarnation)

    def _transmit_frame(self, address: str, frame: bytes) -> bool:
        if self._is_open:
            self._network.send_frame(self.address, address, frame, None)
        return self._is_open

    def _expire_request(
        self, future: asyncio.Future[ControlMessage], address: str
    ) -> None:
        # After a stopped process resumes, it handles the queued frames before its
        # expired timers.
        expire = partial(super()._expire_request, future, address)
        self._network.run_when_resumed(self.address, expire)


def _make_links(
    sources: Iterable[str], destinations: Iterable[str], *, two_way: bool
) -> set[tuple[str, str]]:
    sources, destinations = list(sources), list(destinations)
    pairs = {(a, b) for a in sources for b in destinations if a != b}
    return pairs | {(b, a) for a, b in pairs} if two_way else pairs
