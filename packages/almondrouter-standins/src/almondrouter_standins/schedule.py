"""Runs tasks step by step; a test decides the order and the faults of their calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from almondrouter_standins.memory_store import CallFault

# Iterations of the event loop that suffice for every task to reach its next call.
LOOP_PASSES = 25


class LateCalls(Protocol):
    """A client whose calls may take effect after their caller stopped waiting."""

    late: list[Callable[[], Any]]

    def deliver_late(self, index: int = 0) -> Any:
        """Apply a late call."""


class Schedule:
    """An event loop on which each call waits until the test decides its fault.

    Clients get `hold` as their ``choose_fault``.

    Attributes
    ----------
    clients
        Clients that may have late calls.
    held
        Futures of the calls that wait for their fault, oldest first.
    """

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.clients: list[LateCalls] = []
        self.held: list[asyncio.Future[CallFault]] = []

    async def hold(self, _call: object) -> CallFault:
        """Wait until the test decides on the call; return its fault."""
        future = self.loop.create_future()
        self.held.append(future)
        return await future

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task; run all tasks until each waits for a call."""
        task = self.loop.create_task(coroutine)
        self.run_until_blocked()
        return task

    def run_until_blocked(self) -> None:
        """Run all tasks until each waits for a call or has ended."""
        self.loop.run_until_complete(_run_loop_passes())
        self.held = [future for future in self.held if not future.done()]

    def answer(self, index: int, fault: CallFault) -> None:
        """Set the fault of a held call; run all tasks until each waits for a call."""
        self.held.pop(index % len(self.held)).set_result(fault)
        self.run_until_blocked()

    def answer_all(self) -> None:
        """Let all held calls succeed; run all tasks until each waits for a call."""
        for future in self.held:
            future.set_result(CallFault.NONE)
        self.run_until_blocked()

    def list_clients_with_late_calls(self) -> list[LateCalls]:
        """Return the clients that have late calls."""
        return [client for client in self.clients if client.late]

    def deliver_late(self, index: int) -> None:
        """Apply a late call of one client; then run all tasks."""
        late = self.list_clients_with_late_calls()

        async def deliver() -> None:
            late[index % len(late)].deliver_late()

        self.loop.run_until_complete(deliver())
        self.run_until_blocked()

    def close(self) -> None:
        """Cancel all tasks, and those that they start as they end; close the loop."""
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.run_until_blocked()
        self.loop.close()


async def _run_loop_passes() -> None:
    for _ in range(LOOP_PASSES):
        await asyncio.sleep(0)
