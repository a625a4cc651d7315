"""Whom to ask for slots where there are too many granters to ask each of them.

Were each asked for all that is wanted, every granter would grant all of it, and all
grants but one would be declined. So what is wanted is split, and what is not granted
soon is asked elsewhere.
"""

import random
from collections.abc import Iterable

from caperridge.records import Record

# Slots of a target that are asked for last: online requests come without asking.
KEPT_FOR_ONLINE = 2


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

    One slot of each target in turn, those of the own zone and the emptiest first. What
    is known of other zones is old, so one more is asked of each target where nothing
    seems free.

    >>> busy, empty = Opening("x", 0, near=True), Opening("y", 3, near=False)
    >>> split(1, [busy, empty], random.Random(1))
    {'y': 1}
    >>> split(5, [busy, empty], random.Random(1))
    {'y': 4, 'x': 1}
    """
    asked: dict[str, int] = {}
    left = wanted
    for opening in _in_turn(list(openings), chance):
        if left <= 0:
            break
        asked[opening.granter] = asked.get(opening.granter, 0) + 1
        left -= 1
    return asked


def _in_turn(openings: list[Opening], chance: random.Random) -> Iterable[Opening]:
    """Yield an opening for each slot, the best first."""
    chance.shuffle(openings)
    openings.sort(key=lambda one: -one.free)
    near = [one for one in openings if one.near]
    far = [one for one in openings if not one.near]
    for part in (near, far):
        yield from _slots(part, KEPT_FOR_ONLINE)
    for part in (near, far):
        yield from _last_slots(part)
    yield from openings


def _slots(openings: list[Opening], kept: int) -> Iterable[Opening]:
    most = max((one.free for one in openings), default=0)
    for taken in range(max(0, most - kept)):
        for one in openings:
            if one.free - kept > taken:
                yield one


def _last_slots(openings: list[Opening]) -> Iterable[Opening]:
    for taken in range(KEPT_FOR_ONLINE):
        for one in openings:
            if min(one.free, KEPT_FOR_ONLINE) > taken:
                yield one
