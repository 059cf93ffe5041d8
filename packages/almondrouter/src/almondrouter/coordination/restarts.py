"""Restarts the background tasks of a daemon after unexpected exceptions."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from almondrouter.logs import EventLogger

RESTART_DELAY_S = 1.0
"""Seconds from the failure of a task to its next start."""

_log = EventLogger("tasks")


async def run_with_restart(work: Callable[[], Awaitable[None]]) -> None:
    """Run ``work`` until it returns; run it again after an unexpected exception.

    If such a task ended, its daemon would go on without, for instance, getting another
    version.
    """
    while True:
        try:
            return await work()
        except Exception as error:  # noqa: BLE001 - no fault may end the task for good
            _log.error(
                "background task failed; restarting it",
                task=getattr(work, "__qualname__", repr(work)),
                error=repr(error),
                trace=traceback.format_exc(),
            )
            await asyncio.sleep(RESTART_DELAY_S)
