"""Compares orders of long responses on a link of 10 Mbit/s, without a network.

Prints, for each order and load, the mean value, the shares served and on time, the
longest delay of a short frame in milliseconds, and the mean value by rank.
"""

from __future__ import annotations

from collections.abc import Callable
from unittest.mock import patch

from almondrouter.coordination.transfers.queue import TransferQueue
from almondrouter.transport.transfers import Transfer
from almondrouter_standins.link_replay import LinkReplay

LOADS = (0.6, 1.0, 1.5)
SEEDS = (1, 2, 3, 4)
SECONDS = 60.0

Key = Callable[[Transfer, bool, bool], tuple[float, ...]]
"""Returns the position of a transfer, and gets whether it is lost and late."""

ORDERS: dict[str, Key | None] = {
    "arrival": lambda t, lost, late: (),
    "earliest useful_until": lambda t, lost, late: (t.rank, t.useful_until),
    "the same, late ones behind": lambda t, lost, late: (
        lost, t.rank, late, t.useful_until
    ),
    "shortest remaining, late ones behind": lambda t, lost, late: (
        lost, t.rank, late, t.remaining
    ),
    "built": None,
}  # fmt: skip


def make_choice(key: Key) -> Callable:
    """Return a replacement of `TransferQueue.choose` that orders by a key."""

    def choose(queue: TransferQueue, now: float, *, rate: float) -> Transfer | None:
        def get_position(transfer: Transfer) -> tuple[float, ...]:
            arrives_at = now + transfer.remaining / rate
            lost = arrives_at > transfer.deadline
            return key(transfer, lost, arrives_at > transfer.useful_until)

        return min(queue.transfers, key=get_position, default=None)

    return choose


def describe(load: float, ranks: tuple[int, ...]) -> str:
    """Return the results of all seeds at one load."""
    replays = [LinkReplay(load, seed=s, seconds=SECONDS, ranks=ranks) for s in SEEDS]
    for replay in replays:
        replay.run()
    values = [value for replay in replays for value in replay.all_values]
    served = sum(value > 0 for value in values) / len(values)
    on_time = sum(value == 1 for value in values) / len(values)
    refused = sum(replay.refused for replay in replays) / len(values)
    delay = 1000 * max(max(replay.short_delays) for replay in replays)
    by_rank = []
    for rank in sorted(set(ranks)):
        of_rank = [value for replay in replays for value in replay.values[rank]]
        by_rank.append(f"{sum(of_rank) / len(of_rank):.3f}")
    return (
        f"{load}: value {sum(values) / len(values):.3f} served {served:.3f} "
        f"on time {on_time:.3f} refused {refused:.3f} short {delay:.1f} ms "
        f"by rank {' '.join(by_rank)}"
    )


def main() -> None:
    """Print the comparison."""
    for ranks in ((0, 1, 1, 2), (1,)):
        for name, key in ORDERS.items():
            print(f"ranks {ranks}: {name}")
            choose = TransferQueue.choose if key is None else make_choice(key)
            with patch.object(TransferQueue, "choose", choose):
                for load in LOADS:
                    print("   ", describe(load, ranks))


if __name__ == "__main__":
    main()
