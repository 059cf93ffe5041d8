"""Faults of versions and disturbances of fleets that roll a service out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from almondrouter_standins.rollout_fleet import RolloutFleet
from almondrouter_standins.rollout_hosts import VirtualHost
from almondrouter_standins.rollout_servers import Counts, Fault, Server
from almondrouter_standins.virtual_time import run_virtual

LATE_S = 4.0
"""Age of a server at which the late fault begins."""
LOADED_RUNS = 3
"""Requests on a server, of seven slots, with which the fault under load appears."""
RARE_ROUTE = "list"

Script = Callable[[RolloutFleet], Coroutine[Any, Any, None]]


def _fail_if(condition: Callable[[Server, str, float], bool]) -> Fault:
    return lambda server, route, now: (
        0.5 if condition(server, route, now) else 0.0,
        1.0,
    )


FAULTS: dict[str, Fault] = {
    "good": _fail_if(lambda server, route, now: False),
    "bad": _fail_if(lambda server, route, now: True),
    "bad late": _fail_if(lambda server, route, now: now - server.born > LATE_S),
    "under load": _fail_if(
        lambda server, route, now: server.runs_in_flight >= LOADED_RUNS
    ),
    "on one route": _fail_if(lambda server, route, now: route == RARE_ROUTE),
    "slow": lambda server, route, now: (0.0, 8.0),
}
"""Faults of a version by name."""


def fail_one_old(server: Server, route: str, now: float) -> tuple[float, float]:
    """Fault of one server of the old version, which also is slow."""
    return (0.5, 4.0) if server.entry.backend == "i0" else (0.0, 1.0)


def find_coordinators(fleet: RolloutFleet) -> list[VirtualHost]:
    """Return the hosts that coordinate."""
    return [h for h in fleet.hosts.values() if h.manager.coordinated]


async def wait_until(fleet: RolloutFleet, at: float) -> None:
    """Wait until some seconds after the order."""
    await asyncio.sleep(max(0.0, at - fleet.elapsed))


def kill_coordinator(*times: float) -> Script:
    """Kill the coordinator at some times since the order."""

    async def run(fleet: RolloutFleet) -> None:
        for at in times:
            await wait_until(fleet, at)
            for host in find_coordinators(fleet):
                fleet.replace_daemon(host)

    return run


async def kill_before_write(fleet: RolloutFleet) -> None:
    """Kill the coordinator between its verdict and the write of the status."""
    while True:
        await asyncio.sleep(0.001)
        for host in find_coordinators(fleet):
            if any(host.manager.coordinated.values()):
                fleet.replace_daemon(host)
                return


def pause_coordinator(begin: float, end: float) -> Script:
    """Hold the frames of the coordinator, and cut it off from the store."""

    async def run(fleet: RolloutFleet) -> None:
        await wait_until(fleet, begin)
        hosts = find_coordinators(fleet)
        for host in hosts:
            host.cut()
        await wait_until(fleet, end)
        for host in hosts:
            host.wake()

    return run


def cut_region(begin: float, end: float) -> Script:
    """Cut the region of the coordinator off from the others, but not from the store."""

    async def run(fleet: RolloutFleet) -> None:
        await wait_until(fleet, begin)
        fleet.cut_region = next(h.region for h in find_coordinators(fleet))
        await wait_until(fleet, end)
        fleet.cut_region = ""

    return run


def stop_store(begin: float, end: float) -> Script:
    """Refuse all calls of the store for some time."""

    async def run(fleet: RolloutFleet) -> None:
        await wait_until(fleet, begin)
        fleet.store.is_down = True
        await wait_until(fleet, end)
        fleet.store.is_down = False

    return run


async def lose_commits(fleet: RolloutFleet) -> None:
    """Lose the response to each commit, which takes effect."""
    fleet.store.loses_commits = True
    await wait_until(fleet, 14.0)


async def slow_store(fleet: RolloutFleet) -> None:
    """Let the store take 0.4 s for each response."""
    fleet.store.delay = 0.4


async def replace_daemons(fleet: RolloutFleet) -> None:
    """Kill a daemon and add a host, twelve times."""
    for _ in range(12):
        await asyncio.sleep(0.8)
        fleet.replace_daemon(fleet.random.choice(list(fleet.hosts.values())))
        fleet.add_host()


SCRIPTS: dict[str, Script] = {
    "coordinator killed at 3 s": kill_coordinator(3.0),
    "coordinator killed at 6 s": kill_coordinator(6.0),
    "coordinator killed at 9 s": kill_coordinator(9.0),
    "killed at 3 s and 6.5 s": kill_coordinator(3.0, 6.5),
    "killed before it writes": kill_before_write,
    "coordinator paused 4 to 8 s": pause_coordinator(4.0, 8.0),
    "coordinator paused 8 to 11 s": pause_coordinator(8.0, 11.0),
    "region cut off 3 to 20 s": cut_region(3.0, 20.0),
    "store down 3 to 6 s": stop_store(3.0, 6.0),
    "store down 6 to 12 s": stop_store(6.0, 12.0),
    "responses to writes lost": lose_commits,
    "store takes 0.4 s": slow_store,
    "daemons replaced and added": replace_daemons,
}
"""Disturbances by name."""


def simulate(
    fault: str, old: int, new: int, seed: int, *, script: str = "", **options: Any
) -> tuple[str, Counts, RolloutFleet]:
    """Run one roll-out; return the stored state, the counts and the fleet."""
    run_options = {
        name: options.pop(name)
        for name in ("duration", "appear_after")
        if name in options
    }
    options.setdefault("callers", 5)
    fleet = RolloutFleet(old=old, new=new, fault=FAULTS[fault], seed=seed, **options)
    running = fleet.run(script=SCRIPTS.get(script), **run_options)
    counts = run_virtual(running, fleet.clock)
    return fleet.state, counts, fleet
