"""Prints how roll-outs end in virtual time: verdicts, times and requests exposed.

``python bench/rollouts.py [SEEDS]`` runs each case with that many seeds.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import Any

from almondrouter_standins.rollout_faults import (
    FAULTS,
    SCRIPTS,
    fail_one_old,
    simulate,
)

SIZES = ((2, 1), (2, 2), (6, 2), (14, 3), (33, 5), (60, 10))
HEADER = (
    "| case | servers | wrong | verdict s | exposed | of bound | after 50th bad s |"
)


def run_case(
    name: str, fault: str, size: tuple[int, int], seeds: int, **options: Any
) -> None:
    """Run one case with all seeds and print its row.

    The verdict is given as least, median and largest time since the order; the other
    columns show the largest value of any seed.
    """
    results = [simulate(fault, *size, seed, **options)[:2] for seed in range(seeds)]
    expected = "completed" if fault == "good" else "rolled_back"
    wrong = sum(state != expected for state, _ in results)
    times = sorted(counts.decided_at or 99.0 for _, counts in results)
    middle = times[len(times) // 2]
    exposed = max(counts.exposed for _, counts in results)
    ratio = max(counts.exposed / counts.bound for _, counts in results)
    after = max(counts.sent_after_50_bad for _, counts in results)
    print(
        f"| {name}: {fault} | {size[0]}+{size[1]} | {wrong}/{seeds} "
        f"| {times[0]:.1f} / {middle:.1f} / {times[-1]:.1f} | {exposed} "
        f"| {'' if fault == 'good' else f'{ratio:.2f}'} "
        f"| {f'{after:.2f}' if after > -1 else ''} |",
        flush=True,
    )


def run_all(seeds: int) -> None:
    """Print the whole table."""
    print(HEADER)
    print("|---" * HEADER.count("| ") + "|")
    for fault in FAULTS:
        for size in SIZES:
            run_case("undisturbed", fault, size, seeds)
    for fault in ("good", "bad", "slow"):
        run_case("old server faulty", fault, (14, 3), seeds, old_fault=fail_one_old)
        run_case("load 0.95", fault, (14, 3), seeds, load=0.95)
    for fault in ("good", "bad", "bad late"):
        run_case("servers after 5 s", fault, (14, 3), seeds, appear_after=5.0)
        run_case("200 hosts, 10/s", fault, (6, 2), seeds, callers=192, rate=10.0)
    run_scripts(SCRIPTS, seeds)


def run_scripts(scripts: Iterable[str], seeds: int) -> None:
    """Print the rows of disturbed fleets."""
    for script in scripts:
        for fault in ("good", "bad", "bad late"):
            run_case(script, fault, (14, 6), seeds, script=script, callers=20)


if __name__ == "__main__":
    run_all(int(sys.argv[1]) if len(sys.argv) > 1 else 3)
