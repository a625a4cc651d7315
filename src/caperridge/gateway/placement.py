"""Where requests go: online ones at once, items only where a slot is free.

Targets know no priorities and take requests in the order they come, so an item must
not hold a slot that an online request needs. Online requests are sent without asking;
whoever has items at a target that is then over its slots cancels as many. Everyone
sees the same counts a moment later and works out the same order, so one item is
cancelled for one request.
"""

import random
from collections.abc import Callable, Sequence

from caperridge.decisions.rendezvous import score
from caperridge.gateway.occupancy import Occupancy
from caperridge.gateway.targets import Target
from caperridge.records import Record

# How many requests may queue at a target whose slots are all taken by online ones.
MaxQueued = Callable[[Target], int]
# The better of two at random is nearly as good as the best, without a herd.
FAR_CHOICES = 2


def no_queue(target: Target) -> int:
    """Let nobody queue: only a slot will do."""
    return 0


def place_online(
    targets: Sequence[Target],
    occupancy: Occupancy,
    zone: str,
    chance: random.Random,
    most_queued: MaxQueued,
) -> Target | None:
    """Return where an online request goes; None if even the queues are full.

    Free slots come first, those of the own availability zone before others; then
    slots that an item gives up, then the shortest queue.
    """
    best: Target | None = None
    best_cost: Cost | None = None
    for target in targets:
        elsewhere = target.availability_zone != zone
        cost = _cost(target, occupancy, elsewhere, chance.random(), most_queued)
        if cost is None:
            continue
        if best_cost is None or cost.rank < best_cost.rank:
            best, best_cost = target, cost
    return best


def place_online_zone_first(
    targets: Sequence[Target],
    occupancy: Occupancy,
    zone: str,
    chance: random.Random,
    most_queued: MaxQueued,
) -> Target | None:
    """Return where an online request goes if counts of other zones are old.

    Slots of the own availability zone come first, also those that an item has to give
    up. Of other zones two targets at random are weighed: were the emptiest of all
    chosen, every instance would choose the same until it hears that it is full. All
    are weighed where those two have no slot left.
    """
    near = [target for target in targets if target.availability_zone == zone]
    best = place_online(near, occupancy, zone, chance, no_queue)
    if best is not None:
        return best
    far = [target for target in targets if target.availability_zone != zone]
    some = chance.sample(far, min(FAR_CHOICES, len(far)))
    best = place_online(some, occupancy, zone, chance, no_queue)
    return best or place_online(targets, occupancy, zone, chance, most_queued)


class Cost(Record):
    """What speaks against a target.

    Attributes:
        kind: free slot, an item's slot, or a queue; in the own zone or elsewhere.
        load: how full it is.
        tie: tells apart what is alike.
    """

    __slots__ = ("kind", "load", "tie")

    def __init__(self, kind: int, load: float, tie: float) -> None:
        self.kind = kind
        self.load = load
        self.tie = tie

    @property
    def rank(self) -> tuple[int, float, float]:
        """By which costs are compared, the lowest being best."""
        return self.kind, self.load, self.tie


def _cost(
    target: Target,
    occupancy: Occupancy,
    elsewhere: bool,
    tie: float,
    most_queued: MaxQueued,
) -> Cost | None:
    """Return what speaks against ``target``; None if there is no room."""
    count = occupancy.total_at(target.id)
    if count.total < target.slots:
        return Cost(0 + elsewhere, count.total / target.slots, tie)
    if count.online < target.slots:
        return Cost(2 + elsewhere, count.online / target.slots, tie)
    if count.online < target.slots + most_queued(target):
        return Cost(4, count.online - target.slots, elsewhere + tie)
    return None


def items_to_cancel(target: Target, occupancy: Occupancy) -> int:
    """Return how many of its items at ``target`` this instance has to cancel."""
    return items_to_cancel_by_instance(target, occupancy).get(occupancy.own, 0)


def items_to_cancel_by_instance(target: Target, occupancy: Occupancy) -> dict[str, int]:
    """Return how many of its items at ``target`` each instance has to cancel.

    Instances with items there yield in an order that all work out alike: who has the
    item that is due last begins. Those that need not yield are left out.
    """
    over = occupancy.total_at(target.id).total - target.slots
    if over <= 0:
        return {}
    holders = occupancy.item_counts_by_instance(target.id)
    order = sorted(
        holders,
        key=lambda one: (-holders[one].latest_due, score(target.id, one)),
    )
    yielded: dict[str, int] = {}
    for instance in order:
        if over <= 0:
            break
        yielded[instance] = min(over, holders[instance].items)
        over -= yielded[instance]
    return yielded
