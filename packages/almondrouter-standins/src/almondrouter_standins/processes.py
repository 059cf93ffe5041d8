"""Runs the programs of this repository on loopback for tests and the demo."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0
FIRST_PORT = 18_000
PORT_BLOCKS = 40
PORTS_PER_BLOCK = 300


class ProcessError(Exception):
    """A program failed to start, or a condition was not met in time."""


@dataclass(frozen=True, slots=True)
class DaemonAddresses:
    """Listening addresses of one daemon."""

    caller: str
    peer: str
    control: str
    admin: str


@dataclass(slots=True)
class HostPlan:
    """Planned host: a daemon and, unless ``service`` is empty, a backend server."""

    name: str
    data_centre: str
    region: str
    daemon: DaemonAddresses
    service: str = ""
    slots: int = 9
    connections: int = 120
    backend_address: str = ""


@dataclass(slots=True)
class Program:
    """A program that was started as a child process."""

    name: str
    process: asyncio.subprocess.Process
    log: Path
    frozen: bool = field(default=False)

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    @property
    def running(self) -> bool:
        """Return whether the program has not exited."""
        return self.process.returncode is None

    def freeze(self) -> None:
        """Suspend the program with SIGSTOP."""
        os.kill(self.pid, signal.SIGSTOP)
        self.frozen = True

    def resume(self) -> None:
        """Resume the program with SIGCONT."""
        os.kill(self.pid, signal.SIGCONT)
        self.frozen = False

    async def stop(self) -> int:
        """Stop the program with SIGTERM; return its exit code."""
        if self.running:
            self.process.terminate()
        return await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)

    async def kill(self) -> None:
        """Kill the program with SIGKILL and wait for its exit."""
        if self.running:
            self.process.kill()
        await self.process.wait()


class Cluster:
    """A store, daemons and backend servers as separate processes on loopback.

    Parameters
    ----------
    directory
        Directory of the programs' log files.
    base_port
        First port to use; it is an error if a port is taken. If None, the process id
        determines the first port, and taken ports are skipped.
    cluster
        Name of the cluster.
    options
        Additional command line flags for every daemon.
    """

    def __init__(
        self,
        directory: Path,
        *,
        base_port: int | None = None,
        cluster: str = "demo",
        options: tuple[str, ...] = (),
    ) -> None:
        self.directory = directory
        self._has_fixed_ports = base_port is not None
        self._next_port = base_port or _choose_first_port()
        self._options = options
        self.store_options: tuple[str, ...] = ()
        self.daemon_command = ("-m", "almondrouterd.main")
        self.cluster = cluster
        self.store_address = self.allocate_address()
        self.hosts: dict[str, HostPlan] = {}
        self.daemons: dict[str, Program] = {}
        self.backends: dict[str, Program] = {}
        self.store: Program | None = None
        self.started_programs: list[Program] = []

    def allocate_address(self) -> str:
        """Return a loopback address with a free port.

        Raises
        ------
        ProcessError
            If ``base_port`` was given and the next port is taken.
        """
        while True:
            port = self._next_port
            self._next_port += 1
            try:
                _check_port(port)
            except OSError as error:
                if not self._has_fixed_ports:
                    continue
                message = f"[address_in_use] port {port} is taken: {error.strerror}"
                raise ProcessError(message) from error
            return f"127.0.0.1:{port}"

    def plan_host(
        self,
        name: str,
        *,
        data_centre: str,
        region: str,
        service: str = "",
        slots: int = 9,
        connections: int = 120,
    ) -> HostPlan:
        """Plan a host and allocate its addresses."""
        addresses = DaemonAddresses(*(self.allocate_address() for _ in range(4)))
        plan = HostPlan(
            name, data_centre, region, addresses, service, slots, connections
        )
        if service:
            plan.backend_address = self.allocate_address()
        self.hosts[name] = plan
        return plan

    async def start_store(self) -> None:
        """Start the store stand-in and wait until it accepts connections."""
        self.store = await self._start(
            "store",
            "-m",
            "almondrouter_standins.store",
            "--address",
            self.store_address,
            *self.store_options,
        )
        await self.wait_for_port(self.store_address, self.store)

    async def start_daemon(self, name: str) -> Program:
        """Start a planned host's daemon; wait until it accepts connections."""
        plan = self.hosts[name]
        others = [p.daemon.control for p in self.hosts.values() if p.name != name]
        program = await self._start(
            f"daemon-{name}",
            *self.daemon_command,
            *("--cluster", self.cluster),
            *("--host", name),
            *("--data-centre", plan.data_centre),
            *("--region", plan.region),
            *("--caller-address", plan.daemon.caller),
            *("--peer-address", plan.daemon.peer),
            *("--control-address", plan.daemon.control),
            *("--admin-address", plan.daemon.admin),
            *("--store", self.store_address),
            *("--seeds", ",".join(others[:3])),
            *self._options,
        )
        self.daemons[name] = program
        await self.wait_for_port(plan.daemon.admin, program)
        return program

    async def start_backend(self, name: str) -> Program:
        """Start a planned host's backend server; wait until it accepts connections."""
        plan = self.hosts[name]
        program = await self._start(
            f"backend-{name}",
            *("-m", "almondrouter_standins.backend"),
            *("--name", f"{plan.service}-{name}"),
            *("--service", plan.service),
            *("--address", plan.backend_address),
            *("--slots", str(plan.slots)),
            *("--connections", str(plan.connections)),
            *("--daemon", plan.daemon.admin),
        )
        self.backends[name] = program
        await self.wait_for_port(plan.backend_address, program)
        return program

    async def start_all(self) -> None:
        """Start the store and every planned host."""
        await self.start_store()
        await asyncio.gather(*(self.start_daemon(name) for name in self.hosts))
        served = [name for name, plan in self.hosts.items() if plan.service]
        await asyncio.gather(*(self.start_backend(name) for name in served))

    async def run_almondctl(self, *arguments: str) -> tuple[int, str, str]:
        """Run ``almondctl``; return its exit code, stdout and stderr."""
        admin = ",".join(plan.daemon.admin for plan in self.hosts.values())
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "almondctl.main"),
            *arguments,
            *("--store", self.store_address),
            *("--daemon", admin),
            *("--cluster", self.cluster),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        return process.returncode, output.decode(), errors.decode()

    async def read_admin(self, name: str, path: str = "/status") -> Any:
        """Return the JSON response of a daemon's admin endpoint."""
        return await fetch_json(f"http://{self.hosts[name].daemon.admin}{path}")

    async def wait_for_port(self, address: str, program: Program) -> None:
        """Wait until a program accepts connections."""
        host, _, port = address.rpartition(":")

        async def accepts() -> bool:
            if not program.running:
                raise ProcessError(
                    f"{program.name} exited before it accepted connections; "
                    f"its log:\n{program.log.read_text()}"
                )
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                return False
            writer.close()
            return True

        await wait_until(accepts, f"{program.name} accepts connections")

    async def close(self) -> None:
        """Kill all programs."""
        programs = [
            *self.backends.values(),
            *self.daemons.values(),
            *self.started_programs,
        ]
        if self.store is not None:
            programs.append(self.store)
        for program in programs:
            await program.kill()

    async def _start(self, name: str, *arguments: str) -> Program:
        log = self.directory / f"{name}.log"
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable, *arguments, stdout=output, stderr=output
            )
        program = Program(name, process, log)
        self.started_programs.append(program)
        return program


def _choose_first_port() -> int:
    """Return a port below the ephemeral range, chosen by process id.

    Processes that run tests at the same time thus rarely use the same ports.
    """
    return FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_BLOCK


def _check_port(port: int) -> None:
    with socket.socket() as probe:
        # Connections of an earlier run in TIME_WAIT do not make the port taken.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", port))


async def fetch_json(url: str) -> Any:
    """Return the JSON response of a URL."""
    timeout = aiohttp.ClientTimeout(total=5)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.get(url) as response,
    ):
        return await response.json(content_type=None)


async def wait_until(
    condition: Any, description: str, *, timeout: float = START_TIMEOUT_S
) -> None:
    """Poll an asynchronous condition until it holds.

    Parameters
    ----------
    condition
        Coroutine function without arguments that returns a bool.
    description
        Text of the condition for the error message.
    timeout
        Seconds until the wait fails.

    Raises
    ------
    ProcessError
        If the condition does not hold in time.
    """
    deadline = time.monotonic() + timeout
    while True:
        if await condition():
            return
        if time.monotonic() >= deadline:
            raise ProcessError(f"condition not met within {timeout:g} s: {description}")
        await asyncio.sleep(0.05)
