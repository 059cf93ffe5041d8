"""Runs tasks step by step while a test decides what becomes of each call."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from almondrouter_standins.memory import CallFault

# Passes of the event loop in which every task runs until it waits for a call.
PASSES = 25


class LateCalls(Protocol):
    """A client whose calls may take effect after their caller has gone."""

    late: list[Callable[[], Any]]

    def deliver_late(self, index: int = 0) -> Any:
        """Let a late call take effect."""


class Schedule:
    """An event loop whose calls are held until they are answered.

    Attributes
    ----------
    clients
        Clients that may have late calls.
    held
        Calls that wait for their fault, the oldest first.
    """

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.clients: list[LateCalls] = []
        self.held: list[asyncio.Future[CallFault]] = []

    async def hold(self, _call: object) -> CallFault:
        """Wait until the call is answered; return its fault."""
        future = self.loop.create_future()
        self.held.append(future)
        return await future

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task and run all tasks until they wait."""
        task = self.loop.create_task(coroutine)
        self.turn()
        return task

    def turn(self) -> None:
        """Run all tasks until they wait."""
        self.loop.run_until_complete(_pass_loop())
        self.held = [future for future in self.held if not future.done()]

    def answer(self, index: int, fault: CallFault) -> None:
        """Decide what becomes of a held call."""
        self.held.pop(index % len(self.held)).set_result(fault)
        self.turn()

    def answer_all(self) -> None:
        """Let all held calls succeed."""
        for future in self.held:
            future.set_result(CallFault.NONE)
        self.turn()

    def find_late(self) -> list[LateCalls]:
        """Return the clients that have late calls."""
        return [client for client in self.clients if client.late]

    def deliver_late(self, index: int) -> None:
        """Let a late call take effect."""
        late = self.find_late()

        async def deliver() -> None:
            late[index % len(late)].deliver_late()

        self.loop.run_until_complete(deliver())
        self.turn()

    def close(self) -> None:
        """Cancel all tasks and close the loop."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.turn()
        self.loop.close()


async def _pass_loop() -> None:
    for _ in range(PASSES):
        await asyncio.sleep(0)
