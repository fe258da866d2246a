"""Revisions that order the changes of the store across its restores.

A store that is restored from an older copy gives out the revisions since then again, for other
changes. Its era rises with each restore. A revision here has the era in its high bits, so that
revisions are compared, kept and sent as one number.

Pattern: epoch and counter in one number, like the transaction ids of ZooKeeper (Hunt et al.,
"ZooKeeper: Wait-free coordination for Internet-scale systems", 2010).
"""

import typing

# 40 bits number the changes of an era.
_ERA_UNIT: typing.Final = 0x10000000000


def combine(era: int, number: int) -> int:
    """Return the revision for a number that the store gave out in an era.

    0, which stands for no revision, is 0 in each era.
    """
    return era * _ERA_UNIT + number if number else 0


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision // _ERA_UNIT


def number_in_era(revision: int) -> int:
    """Return the number that the store gave out in the era of a revision."""
    return revision % _ERA_UNIT
