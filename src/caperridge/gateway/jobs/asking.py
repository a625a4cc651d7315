"""Splitting slot requests between granters, where there are too many to ask each.

If every granter were asked for all slots, each would grant all of them, and all grants
but one would be declined. So the requests are split, and slots that are not granted
soon are requested from other granters.
"""

import heapq
import random
from collections.abc import Iterable

from caperridge.records import Record

# A target of another zone is preferred only if it has this many more free slots: its
# counts are older here, and its events cross zones.
NEAR_BONUS_SLOTS = 1


class TargetCapacity(Record):
    """Free slots of one target, as far as this instance knows.

    Attributes:
        granter: id of the instance that grants its slots.
        free: number of free slots; may be negative.
        near: whether it is in this instance's availability zone.
    """

    __slots__ = ("free", "granter", "near")

    def __init__(self, granter: str, free: int, near: bool) -> None:
        self.granter = granter
        self.free = free
        self.near = near


def split_requests(
    wanted: int, capacities: Iterable[TargetCapacity], chance: random.Random
) -> dict[str, int]:
    """Return how many slots to request from each granter.

    Each slot is requested where most are free, so that bursts of online requests find
    free slots at all targets. Counts of other zones are old, so at most one slot is
    requested of each target that seems full.

    Args:
        wanted: number of slots in total; fewer are requested if targets are too few.
        capacities: of the targets that may be used.
        chance: breaks ties.

    >>> full = TargetCapacity("x", 0, near=True)
    >>> empty = TargetCapacity("y", 3, near=False)
    >>> split_requests(1, [full, empty], random.Random(1))
    {'y': 1}
    >>> split_requests(5, [full, empty], random.Random(1))
    {'y': 4, 'x': 1}
    """
    requested: dict[str, int] = {}
    heap = [
        (
            -one.free - NEAR_BONUS_SLOTS * one.near,
            chance.random(),
            one.free,
            one.granter,
        )
        for one in capacities
    ]
    heapq.heapify(heap)
    for _ in range(wanted):
        if not heap:
            break
        rank, tie, free, granter = heapq.heappop(heap)
        requested[granter] = requested.get(granter, 0) + 1
        if free > 0:
            heapq.heappush(heap, (rank + 1, tie, free - 1, granter))
    return requested
