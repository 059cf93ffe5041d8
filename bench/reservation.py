"""Measures whether reserving slots for starved classes helps under overload.

A server with reserved slots gives the next free slot to the starved class as long
as fewer than the reserved number of its calls run there, and reserves
`MAX_QUEUED_PER_SLOT` queue places per reserved slot. Slots that the class does
not use run other calls. Prints one JSON line per service, load and number of
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
from load import WORKER_PROCESSES, make_classes
from load_model import run_load
from load_servers import Service, WorkClass

RESERVED_SLOTS = (0, 1, 2)
LOADS = (1.5, 2.0, 4.0)


class ReservingAdmission(Admission):
    """Admission that reserves slots and queue places for one class.

    Parameters
    ----------
    reserved
        Number of reserved slots.
    class_name
        Class that they are reserved for.
    """

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
        # The reserved class may exceed the queue length while it uses no more than
        # its reserved places; calls beyond those places are shed by the usual rules.
        protected = [w for w in self._queue if w.class_name == self._reserved_class]
        protected_places = MAX_QUEUED_PER_SLOT * self._reserved
        if waiter.class_name == self._reserved_class:
            if len(protected) >= protected_places:
                super()._shed_lowest_priority(waiter)
        elif len(protected) > protected_places:
            super()._shed_lowest_priority(waiter)
        else:
            self._shed_unprotected(waiter, protected)

    def _shed_unprotected(self, waiter: _Waiter, protected: list[_Waiter]) -> None:
        """Shed by the usual rules, but never a call of the reserved class."""
        queue = self._queue
        self._queue = [other for other in queue if other not in protected]
        try:
            super()._shed_lowest_priority(waiter)
        finally:
            remaining = self._queue
            self._queue = [
                other for other in queue if other in protected or other in remaining
            ]


def make_large_classes(mean_seconds: float) -> tuple[WorkClass, ...]:
    """Return four classes, one of which has long calls of normal priority.

    ``mean_seconds`` is the mean service time of the normal class.
    """
    return (
        WorkClass(
            "critical", Priority.CRITICAL, 0.2, 0.5 * mean_seconds, 5 * mean_seconds
        ),
        WorkClass("normal", Priority.NORMAL, 0.5, mean_seconds, 10 * mean_seconds),
        WorkClass("large", Priority.NORMAL, 0.1, 4 * mean_seconds, 20 * mean_seconds),
        WorkClass(
            "deferrable", Priority.DEFERRABLE, 0.2, 2 * mean_seconds, 50 * mean_seconds
        ),
    )


SERVICES = (
    (Service("accounts", 8, 9, make_classes(0.1)), "deferrable"),
    (Service("advice-desk", 9, 14, make_classes(0.2)), "deferrable"),
    (Service("accounts", 8, 9, make_large_classes(0.1)), "large"),
)


def measure_reservation(
    service: Service, class_name: str, load: float, reserved: int, seeds: int
) -> dict:
    """Return the share of calls answered in time by class, over all seeds."""
    make_admission = functools.partial(
        ReservingAdmission, reserved=reserved, class_name=class_name
    )
    all_counts = [
        run_load(
            service,
            use_product=True,
            load=load,
            seed=seed,
            admission_type=make_admission,
        )
        for seed in range(1, seeds + 1)
    ]
    in_time_shares = {}
    for name in (item.name for item in service.classes):
        in_time = sum(counts.in_time[name] for counts in all_counts)
        in_time_shares[name] = round(
            in_time / sum(counts.offered[name] for counts in all_counts), 4
        )
    work = sum(
        c.call_share * c.mean_seconds * in_time_shares[c.name] for c in service.classes
    )
    offered_work = sum(c.call_share * c.mean_seconds for c in service.classes)
    return {
        "scenario": f"{service.name} {load:g}x",
        "reserved_for": class_name,
        "reserved_slots": reserved,
        "slots": service.slots,
        "share_in_time": in_time_shares,
        "useful_work_of_capacity": round(load * work / offered_work, 4),
    }


def main() -> None:
    """Run every combination of service, load and reserved slots."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    cases = [
        (service, name, load, reserved, seeds)
        for service, name in SERVICES
        for load in LOADS
        for reserved in RESERVED_SLOTS
    ]
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        for result_row in pool.map(measure_reservation, *zip(*cases, strict=True)):
            print(json.dumps(result_row), flush=True)


if __name__ == "__main__":
    main()
