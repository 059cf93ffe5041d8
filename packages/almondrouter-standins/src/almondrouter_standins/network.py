"""Control network in memory, with cuts, loss, duplication, delay and reordering."""

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
    """What happens to frames.

    Parameters
    ----------
    loss, duplication
        Probability for each frame.
    delay
        Seconds until a frame arrives.
    jitter
        Most seconds added to ``delay``, evenly distributed; frames sent within
        this time of each other may arrive in another order.
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
        Seconds from one address to another, added to the delay of ``faults``.

    Notes
    -----
    Times are those of the running loop: run it on a `SimulatedLoop` with the
    `ManualClock` that the endpoints got, or on a real loop. Frames without
    delay arrive in the next pass of the loop. Frames that are under way when a
    link is cut are lost.
    """

    def __init__(
        self,
        *,
        seed: int = 0,
        faults: LinkFaults | None = None,
        find_delay: Callable[[str, str], float] | None = None,
    ) -> None:
        self.faults = faults or LinkFaults()
        self.frames = 0
        self._random = Random(seed)
        self._find_delay = find_delay
        self._endpoints: dict[str, MemoryControlEndpoint] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._held: dict[str, list[Callable[[], None]]] = {}

    def create_endpoint(
        self,
        address: str,
        *,
        cluster: str = "test",
        host: str,
        incarnation: int,
        clock: Clock,
    ) -> MemoryControlEndpoint:
        """Return an endpoint that takes the address when it starts."""
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
        self._cuts |= _pair(sources, destinations, two_way=two_way)

    def heal(
        self, sources: Iterable[str], destinations: Iterable[str], *, two_way: bool
    ) -> None:
        """Undo `cut`."""
        self._cuts -= _pair(sources, destinations, two_way=two_way)

    def heal_all(self) -> None:
        """Undo every cut."""
        self._cuts.clear()

    def freeze(self, address: str) -> None:
        """Keep what arrives at an address, as for a process that is stopped."""
        self._held.setdefault(address, [])

    def thaw(self, address: str) -> None:
        """Deliver what was kept since `freeze`, in order."""
        for deliver in self._held.pop(address, ()):
            deliver()

    def inject(self, source: str, destination: str, frame: bytes) -> None:
        """Send any bytes, as a foreign or faulty program could."""
        self.carry(source, destination, frame, None)

    def attach(self, endpoint: MemoryControlEndpoint) -> None:
        """Deliver frames for the endpoint's address to it."""
        self._endpoints[endpoint.address] = endpoint

    def detach(self, endpoint: MemoryControlEndpoint) -> None:
        """Deliver nothing more to the endpoint."""
        if self._endpoints.get(endpoint.address) is endpoint:
            del self._endpoints[endpoint.address]

    def carry(
        self, source: str, destination: str, frame: bytes, incarnation: int | None
    ) -> None:
        """Deliver a frame later, unless the link fails it.

        Parameters
        ----------
        incarnation
            Run of the destination that the frame is for; None for any.
        """
        self.frames += 1
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

    def run_when_thawed(self, address: str, action: Callable[[], None]) -> None:
        """Run an action now, or after `thaw` if the address is frozen."""
        held = self._held.get(address)
        if held is None:
            action()
        else:
            held.append(action)

    def _deliver(
        self, source: str, destination: str, frame: bytes, incarnation: int | None
    ) -> None:
        if (source, destination) in self._cuts:
            return
        endpoint = self._endpoints.get(destination)
        if endpoint is None or incarnation not in (None, endpoint.incarnation):
            return
        self.run_when_thawed(destination, lambda: endpoint.accept(source, frame))


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
        """Stop to send and receive at once, as a killed process does."""
        self._is_open = False
        self._network.detach(self)

    def accept(self, source: str, frame: bytes) -> None:
        """Handle a frame that has arrived."""
        if self._is_open:
            self._receive_frame(source, frame, partial(self._reply, source))

    def _reply(self, source: str, incarnation: int, frame: bytes) -> None:
        if self._is_open:
            self._get_byte_count(source).sent += estimate_wire_bytes(len(frame))
            self._network.carry(self.address, source, frame, incarnation)

    def _transmit(self, address: str, frame: bytes) -> bool:
        if self._is_open:
            self._network.carry(self.address, address, frame, None)
        return self._is_open

    def _expire_request(
        self, future: asyncio.Future[ControlMessage], address: str
    ) -> None:
        # The timer of a stopped process fires when it goes on, after what has
        # arrived in the meantime.
        expire = partial(super()._expire_request, future, address)
        self._network.run_when_thawed(self.address, expire)


def _pair(
    sources: Iterable[str], destinations: Iterable[str], *, two_way: bool
) -> set[tuple[str, str]]:
    sources, destinations = list(sources), list(destinations)
    pairs = {(a, b) for a in sources for b in destinations if a != b}
    return pairs | {(b, a) for a, b in pairs} if two_way else pairs
