"""Measures whether slots reserved for starving classes help under overload.

A server with reserved slots gives the next free slot to a starving class as
long as fewer than the reserved number of its calls run there, and keeps two
places of the queue for each reserved slot. Slots that the class does not use
run other calls. Prints one JSON line for each service, load and number of
reserved slots. Run it with ``python bench/reservation.py [SEEDS]``.
"""

from __future__ import annotations

import functools
import json
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from almondrouter.coordination.admission import MAX_QUEUED_PER_SLOT, Admission, _Waiter
from almondrouter.state.targets import Priority
from load import WORKERS, make_classes
from load_model import run_load
from load_servers import Service, WorkClass

RESERVED = (0, 1, 2)
LOADS = (1.5, 2.0, 4.0)


class ReservingAdmission(Admission):
    """Admission that reserves slots for one class."""

    def __init__(
        self, *args: Any, reserved: int, class_name: str, **options: Any
    ) -> None:
        super().__init__(*args, **options)
        self._reserved = reserved
        self._reserved_class = class_name

    def _get_next_waiter(self) -> _Waiter:
        running = sum(s.class_name == self._reserved_class for s in self._running)
        if running < self._reserved:
            for waiter in self._queue:
                if waiter.class_name == self._reserved_class:
                    return waiter
        return super()._get_next_waiter()

    def _shed_lowest_priority(self, waiter: _Waiter) -> None:
        kept = [w for w in self._queue if w.class_name == self._reserved_class]
        places = MAX_QUEUED_PER_SLOT * self._reserved
        if waiter.class_name == self._reserved_class:
            if len(kept) >= places:
                super()._shed_lowest_priority(waiter)
        elif len(kept) > places:
            super()._shed_lowest_priority(waiter)
        else:
            self._shed_others(waiter, kept)

    def _shed_others(self, waiter: _Waiter, kept: list[_Waiter]) -> None:
        """Shed as usual, with the protected calls out of sight."""
        queue = self._queue
        self._queue = [other for other in queue if other not in kept]
        try:
            super()._shed_lowest_priority(waiter)
        finally:
            left = self._queue
            self._queue = [other for other in queue if other in kept or other in left]


def make_large_classes(mean: float) -> tuple[WorkClass, ...]:
    """Return classes of which one has long calls at the usual priority."""
    return (
        WorkClass("critical", Priority.CRITICAL, 0.2, 0.5 * mean, 5 * mean),
        WorkClass("normal", Priority.NORMAL, 0.5, mean, 10 * mean),
        WorkClass("large", Priority.NORMAL, 0.1, 4 * mean, 20 * mean),
        WorkClass("deferrable", Priority.DEFERRABLE, 0.2, 2 * mean, 50 * mean),
    )


SERVICES = (
    (Service("accounts", 8, 9, make_classes(0.1)), "deferrable"),
    (Service("advice-desk", 9, 14, make_classes(0.2)), "deferrable"),
    (Service("accounts", 8, 9, make_large_classes(0.1)), "large"),
)


def measure(
    service: Service, class_name: str, load: float, reserved: int, seeds: int
) -> dict:
    """Return the shares answered in time by class, averaged over the seeds."""
    kind = functools.partial(
        ReservingAdmission, reserved=reserved, class_name=class_name
    )
    tallies = [
        run_load(service, ours=True, load=load, seed=seed, admission_type=kind)
        for seed in range(1, seeds + 1)
    ]
    shares = {}
    for name in (item.name for item in service.classes):
        good = sum(tally.good[name] for tally in tallies)
        shares[name] = round(good / sum(tally.offered[name] for tally in tallies), 4)
    work = sum(c.part * c.mean * shares[c.name] for c in service.classes)
    offered_work = sum(c.part * c.mean for c in service.classes)
    return {
        "scenario": f"{service.name} {load:g}x",
        "reserved_for": class_name,
        "reserved_slots": reserved,
        "slots": service.slots,
        "share_in_time": shares,
        "useful_work_of_capacity": round(load * work / offered_work, 4),
    }


def main() -> None:
    """Run each combination and print its figures."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    cases = [
        (service, name, load, reserved, seeds)
        for service, name in SERVICES
        for load in LOADS
        for reserved in RESERVED
    ]
    with ProcessPoolExecutor(WORKERS) as pool:
        for figure in pool.map(measure, *zip(*cases, strict=True)):
            print(json.dumps(figure), flush=True)


if __name__ == "__main__":
    main()
