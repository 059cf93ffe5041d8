"""A minimal caller: sends a call and retries it with the same idempotency key.

    python examples/caller.py --daemon 127.0.0.1:8000 --class renewals "one year"

Requires aiohttp and uuid6. All attempts carry the same idempotency key, so that a
request whose response was lost does not run twice.
"""

import argparse
import asyncio
import sys

import aiohttp
import uuid6

MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.5


async def send(arguments: argparse.Namespace) -> int:
    """Send the call until it completes or the attempts run out.

    Return the exit code: 0 if the call completed, otherwise 1.
    """
    headers = {
        "Almond-Class": arguments.class_name,
        "Idempotency-Key": str(uuid6.uuid7()),
    }
    url = f"http://{arguments.daemon}/"
    outcome = "unknown"
    async with aiohttp.ClientSession() as session:
        for _ in range(MAX_ATTEMPTS):
            try:
                async with session.post(
                    url, data=arguments.body, headers=headers
                ) as response:
                    text = await response.text()
                    outcome = response.headers["Almond-Outcome"]
                    code = response.headers["Almond-Code"]
            except aiohttp.ClientError as error:
                # The daemon may have received the request before the error.
                outcome, code, text = "unknown", str(error), ""
            if outcome == "complete":
                print(text, end="")
                return 0
            print(f"{outcome}: {code}", file=sys.stderr)
            await asyncio.sleep(RETRY_DELAY_S)
    return 1


def main() -> int:
    """Parse the command line and send the call; return the exit code."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--daemon", required=True, help="caller address of a daemon")
    parser.add_argument("--class", dest="class_name", required=True)
    parser.add_argument("body")
    return asyncio.run(send(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
