"""Whom to ask for slots where there are too many granters to ask each of them.

Were each asked for all that is wanted, every granter would grant all of it, and all
grants but one would be declined. So what is wanted is split, and what is not granted
soon is asked elsewhere.
"""

import heapq
import random
from collections.abc import Iterable

from caperridge.records import Record

# So many slots more have to seem free at a target of another zone: what is known of it
# is older, and its events cross zones.
NEAR_SLOTS = 1


class Opening(Record):
    """A target as it looks from here.

    Attributes:
        granter: instance that grants its slots.
        free: slots that seem free.
        near: it runs in the own availability zone.
    """

    __slots__ = ("free", "granter", "near")

    def __init__(self, granter: str, free: int, near: bool) -> None:
        self.granter = granter
        self.free = free
        self.near = near


def split(
    wanted: int, openings: Iterable[Opening], chance: random.Random
) -> dict[str, int]:
    """Return how many slots to ask of each granter, ``wanted`` in all if it can be.

    Each slot is asked for where most seem free, so that online requests, which come in
    bursts, find room everywhere. What is known of other zones is old, so one more is
    asked of each target where nothing seems free.

    >>> busy, empty = Opening("x", 0, near=True), Opening("y", 3, near=False)
    >>> split(1, [busy, empty], random.Random(1))
    {'y': 1}
    >>> split(5, [busy, empty], random.Random(1))
    {'y': 4, 'x': 1}
    """
    asked: dict[str, int] = {}
    heap = [
        (-one.free - NEAR_SLOTS * one.near, chance.random(), one.free, one.granter)
        for one in openings
    ]
    heapq.heapify(heap)
    for _ in range(wanted):
        if not heap:
            break
        rank, tie, free, granter = heapq.heappop(heap)
        asked[granter] = asked.get(granter, 0) + 1
        if free > 0:
            heapq.heappush(heap, (rank + 1, tie, free - 1, granter))
    return asked
