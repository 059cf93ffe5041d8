"""A caller: sends a call and sends it again only if that is safe.

    python examples/caller.py --daemon 127.0.0.1:8000 --class renewals "one year"

It needs aiohttp and uuid6. The idempotency key stays the same over all attempts,
so that a request whose response was lost does not run twice.
"""

import argparse
import asyncio
import sys

import aiohttp
import uuid6

ATTEMPTS = 3
PAUSE_S = 0.5


async def send(arguments: argparse.Namespace) -> int:
    """Send the call until its outcome is known; return an exit code."""
    headers = {
        "Almond-Class": arguments.class_name,
        "Idempotency-Key": str(uuid6.uuid7()),
    }
    url = f"http://{arguments.daemon}/"
    outcome = "unknown"
    async with aiohttp.ClientSession() as session:
        for _ in range(ATTEMPTS):
            try:
                async with session.post(
                    url, data=arguments.body, headers=headers
                ) as response:
                    text = await response.text()
                    outcome = response.headers["Almond-Outcome"]
                    code = response.headers["Almond-Code"]
            except aiohttp.ClientError as error:
                # The daemon may have had the request: nothing is known.
                outcome, code, text = "unknown", str(error), ""
            if outcome == "complete":
                print(text, end="")
                return 0
            print(f"{outcome}: {code}", file=sys.stderr)
            await asyncio.sleep(PAUSE_S)
    return 1


def main() -> int:
    """Run the command line; return the exit code."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--daemon", required=True, help="a daemon's caller address")
    parser.add_argument("--class", dest="class_name", required=True)
    parser.add_argument("body")
    return asyncio.run(send(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
