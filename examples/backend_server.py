"""A minimal backend server: announces itself, answers calls and drains on SIGTERM.

    python examples/backend_server.py --name accounts-1 --service accounts \
        --address 127.0.0.1:9000 --daemon 127.0.0.1:8003

Requires aiohttp. On SIGTERM or SIGINT the server announces ``draining``, finishes
its running calls, announces ``stopped`` and exits.
"""

import argparse
import asyncio
import contextlib
import signal

import aiohttp
from aiohttp import web

ANNOUNCEMENT_INTERVAL_S = 1.0


class BackendServer:
    """Runs at most ``slots`` calls at a time and sheds the others."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments
        self.state = "ready"
        self.running = 0

    async def handle_call(self, request: web.Request) -> web.Response:
        """Answer a call, or shed it.

        The outcome ``not-run`` tells the daemon that it may send the call to
        another backend server; the repeated id shows that the refusal is not a late
        copy of an earlier one.
        """
        if self.running >= self.arguments.slots:
            send_id = request.headers.get("Almond-Send-Id", "")
            headers = {"Almond-Outcome": "not-run", "Almond-Send-Id": send_id}
            return web.Response(status=503, headers=headers)
        self.running += 1
        try:
            body = await request.text()
            milliseconds = request.headers["Almond-Deadline-Ms"]
            text = f"{body!r} answered with {milliseconds} ms left\n"
            return web.Response(text=text)
        finally:
            self.running -= 1

    async def announce(self, session: aiohttp.ClientSession) -> None:
        """Announce this server's address, capacity and state to its daemon."""
        announcement = {
            "name": self.arguments.name,
            "service": self.arguments.service,
            "address": self.arguments.address,
            "slots": self.arguments.slots,
            "connections": 2 * self.arguments.slots,
            "state": self.state,
        }
        url = f"http://{self.arguments.daemon}/announce"
        try:
            async with session.post(url, json=announcement) as response:
                if response.status != 200:
                    print(await response.text(), flush=True)
        except aiohttp.ClientError as error:
            print(f"announcement to the daemon failed: {error}", flush=True)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        stop = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self.handle_call)
        runner = web.AppRunner(application)
        await runner.setup()
        host, _, port = self.arguments.address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
        timeout = aiohttp.ClientTimeout(total=ANNOUNCEMENT_INTERVAL_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not stop.is_set():
                await self.announce(session)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(ANNOUNCEMENT_INTERVAL_S):
                        await stop.wait()
            self.state = "draining"
            await self.announce(session)
            # Calls that the daemon forwarded before the announcement may still
            # arrive.
            await asyncio.sleep(ANNOUNCEMENT_INTERVAL_S)
            while self.running:
                await asyncio.sleep(0.1)
            self.state = "stopped"
            await self.announce(session)
        await runner.cleanup()


def main() -> None:
    """Parse the command line and run the server."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--name", required=True, help="unique name of this run")
    parser.add_argument("--service", required=True)
    parser.add_argument("--address", required=True, help="IP:PORT of this server")
    parser.add_argument("--daemon", required=True, help="admin address of its daemon")
    parser.add_argument("--slots", type=int, default=9)
    asyncio.run(BackendServer(parser.parse_args()).run())


if __name__ == "__main__":
    main()
