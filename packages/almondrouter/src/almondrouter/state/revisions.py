"""Revisions of a store that may come back from an older copy of itself.

With each return the store begins a new era, in which it gives out numbers again. A
revision holds the era and the number, so that the same number of two eras is not taken
for the same write.
"""

from __future__ import annotations

NUMBER_BITS = 40
"""Bits of a revision that hold the number that the store has given it."""
MAX_NUMBER = 2**NUMBER_BITS - 1
MAX_ERA = 2**13 - 1
"""Largest era: a revision is then less than 2**53, which all decoders read exactly."""


def join_era(era: int, number: int) -> int:
    """Return the revision with a number of a store in one of its eras.

    Notes
    -----
    Revisions of a later era are greater than those of an earlier one. The number 0 is
    no revision in any era.
    """
    return (era << NUMBER_BITS) | number if number else 0


def split_era(revision: int) -> tuple[int, int]:
    """Return the era and the number of a revision."""
    return revision >> NUMBER_BITS, revision & MAX_NUMBER


def was_written_later(revision: int, other: int) -> bool:
    """Return whether a write came after another one that the store holds, too.

    Notes
    -----
    The store keeps the numbers of the writes that its copy holds. Of two such writes
    that were read in different eras, the numbers tell which one came first.
    """
    return split_era(revision)[1] > split_era(other)[1]


def are_one_write(revision: int, other: int) -> bool:
    """Return whether revisions may be those of one write, read in different eras."""
    return split_era(revision)[1] == split_era(other)[1]
