"""A backend server: answers calls, announces itself, drains when it is stopped.

    python examples/backend_server.py --name accounts-1 --service accounts \
        --address 127.0.0.1:9000 --daemon 127.0.0.1:8003

It needs aiohttp. SIGTERM stops it: it announces ``draining``, finishes the calls
that it has, and announces ``stopped``.
"""

import argparse
import asyncio
import contextlib
import signal

import aiohttp
from aiohttp import web

ANNOUNCEMENT_INTERVAL_S = 1.0


class BackendServer:
    """Runs at most ``slots`` calls at a time and says when it did not run one."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments
        self.state = "ready"
        self.running = 0

    async def answer(self, request: web.Request) -> web.Response:
        """Answer a call, or shed it with an outcome that its daemon trusts."""
        if self.running >= self.arguments.slots:
            return web.Response(status=503, headers={"Almond-Outcome": "not-run"})
        self.running += 1
        try:
            body = await request.text()
            milliseconds = request.headers["Almond-Deadline-Ms"]
            text = f"{body!r} answered with {milliseconds} ms left\n"
            return web.Response(text=text)
        finally:
            self.running -= 1

    async def announce(self, session: aiohttp.ClientSession) -> None:
        """Tell the daemon what this server is and whether it takes work."""
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
            print(f"daemon not reached: {error}", flush=True)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stop.set)
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self.answer)
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
            # Calls that the daemon handed over before it knew may still arrive.
            await asyncio.sleep(ANNOUNCEMENT_INTERVAL_S)
            while self.running:
                await asyncio.sleep(0.1)
            self.state = "stopped"
            await self.announce(session)
        await runner.cleanup()


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--name", required=True, help="unique name of this run")
    parser.add_argument("--service", required=True)
    parser.add_argument("--address", required=True, help="IP:PORT of this server")
    parser.add_argument("--daemon", required=True, help="its daemon's admin address")
    parser.add_argument("--slots", type=int, default=9)
    asyncio.run(BackendServer(parser.parse_args()).run())


if __name__ == "__main__":
    main()
