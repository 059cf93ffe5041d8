"""A response without a length that is reset midway reaches the client as whole."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

TROUBLE_S = 5.0
BROKEN_SHARE = 0.05
REQUESTS_PER_S = 60.0
BODY = b"catalogue entry; " * 200
SENT_BYTES = 1000


class UnframedInstance(harness.Instance):
    """Sends responses without a length; breaks off some of them with a reset."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)
        self.breaking = False
        self.broken: set[str] = set()

    async def start(self) -> None:
        """Listen and begin to send heartbeats."""
        ip, _, port = self.address.partition(":")
        self._socket = socket.create_server((ip, int(port)))
        self._socket.setblocking(False)
        self._tasks = {asyncio.create_task(self._accept_connections())}
        self._beats = asyncio.create_task(self._send_heartbeats())

    async def close(self) -> None:
        """End at once."""
        for task in tuple(self._tasks):
            task.cancel()
        self._socket.close()
        await super().close()

    async def _accept_connections(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._socket)
            task = asyncio.create_task(self._serve_one(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve_one(self, connection: socket.socket) -> None:
        """Serve one request, which has no body, and end the connection."""
        loop = asyncio.get_running_loop()
        data = b""
        with contextlib.suppress(OSError), connection:
            connection.setblocking(False)
            while b"\r\n\r\n" not in data:
                if not (received := await loop.sock_recv(connection, 65536)):
                    return
                data += received
            first, *lines = (
                data.decode("latin-1").partition("\r\n\r\n")[0].split("\r\n")
            )
            pairs = (line.partition(":") for line in lines)
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            await self._respond(first, headers, connection)

    async def _respond(
        self, first: str, headers: dict[str, str], connection: socket.socket
    ) -> None:
        loop = asyncio.get_running_loop()
        answer = await self._answer(first, headers, b"")
        if not answer.startswith(b"HTTP/1.1 200"):
            await loop.sock_sendall(connection, answer)
            return
        attempt = headers["attempt-id"]
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
            f"Response-Signature: sig-{attempt}\r\nConnection: close\r\n\r\n"
        ).encode()
        if self.breaking and random.random() < BROKEN_SHARE:
            self.broken.add(attempt)
            self.record.write(f"{self.name} breaks off the answer to {attempt}")
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            connection.send(head + BODY[:SENT_BYTES])
            return
        await loop.sock_sendall(connection, head + BODY)


async def fetch(host: harness.Host, found: Counter[str]) -> None:
    """Send one request; record what a client makes of the answer."""
    attempt = f"{next(host.fleet.attempts):016x}"
    headers = {
        "Host": harness.VIRTUAL_HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": "3000",
        "Connection": "close",
    }
    ip, _, port = host.outbound.partition(":")
    try:
        async with asyncio.timeout(4.0):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(harness.encode_request("GET", "/catalogue/a", headers))
            data = await reader.read(-1)
            writer.close()
    except (OSError, TimeoutError) as error:
        found[f"no whole answer: {type(error).__name__}"] += 1
        return
    head, _, body = data.partition(b"\r\n\r\n")
    status = head[9:12].decode()
    signed = b"response-signature" in head.lower()
    whole = body == BODY and b"content-length" not in head.lower()
    host.fleet.record.write(
        f"client {host.name} {attempt}: {status}, {len(body)} bytes, "
        f"signed {signed}, connection ended in order"
    )
    if status == "200" and signed and not whole:
        found["200, signed, ended in order, body cut short"] += 1
    else:
        found[f"{status}, as it should be"] += 1


async def main(record: harness.Record) -> int:
    """Play the case."""
    fleet = harness.Fleet(record, services=["catalogue"] * 3, work_s=0.01, slots=9)
    for host in fleet.hosts:
        host.instance = UnframedInstance(
            record,
            name=host.instance.name,
            service=host.service,
            address=host.instance.address,
            control=f"{host.ip}:{host.ports['control']}",
            zone=host.zone,
            slots=9,
            work_s=0.01,
        )
    found: Counter[str] = Counter()
    try:
        route = harness.make_route("catalogue", "/catalogue/", "catalogue")
        await fleet.start(harness.make_configuration(7, [route], ["catalogue"]))
        await asyncio.sleep(4.0)
        for host in fleet.hosts:
            host.instance.breaking = harness.is_troubled()
        tasks = []
        for number in range(int(TROUBLE_S * REQUESTS_PER_S)):
            host = fleet.hosts[number % len(fleet.hosts)]
            tasks.append(asyncio.create_task(fetch(host, found)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)
    finally:
        await fleet.close()
    broken = sum(len(host.instance.broken) for host in fleet.hosts)
    record.say(f"answers that instances reset midway: {broken}")
    for what, count in sorted(found.items()):
        record.say(f"clients got {what}: {count}")
    if not any(what.startswith("200, as") for what in found):
        return harness.NOT_RUN
    cut = found["200, signed, ended in order, body cut short"]
    return harness.BROKEN if cut else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(main, FOLDER))
