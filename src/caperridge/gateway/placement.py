"""Where requests go: online ones at once, items only where a slot is free.

Targets know no priorities and take requests in the order they come, so an item must
not hold a slot that an online request needs. Online requests are sent without asking;
whoever has items at a target that is then over its slots cancels as many. Everyone
sees the same counts a moment later and works out the same order, so one item is
cancelled for one request.
"""

import random
from collections.abc import Sequence

from caperridge.decisions.rendezvous import score
from caperridge.gateway.occupancy import Occupancy
from caperridge.gateway.targets import Target

# Requests that may queue at each target when all are full. One more waits about
# a run's length over the slots, some 100 ms.
QUEUE_FOR_EACH_TARGET = 3


def place_online(
    targets: Sequence[Target],
    occupancy: Occupancy,
    zone: str,
    chance: random.Random,
    most_queued: int = QUEUE_FOR_EACH_TARGET,
) -> Target | None:
    """Return where an online request goes; None if even the queues are full.

    Free slots come first, those of the own availability zone before others; then
    slots that an item gives up, then the shortest queue.
    """
    best: Target | None = None
    best_cost: tuple[int, float, float] | None = None
    for target in targets:
        count = occupancy.at(target.id)
        elsewhere = target.availability_zone != zone
        if count.total < target.slots:
            cost = (0 + elsewhere, count.total / target.slots, chance.random())
        elif count.online < target.slots:
            cost = (2 + elsewhere, count.online / target.slots, chance.random())
        elif count.online < target.slots + most_queued:
            cost = (4, count.online - target.slots, elsewhere + chance.random())
        else:
            continue
        if best_cost is None or cost < best_cost:
            best, best_cost = target, cost
    return best


def items_to_cancel(target: Target, occupancy: Occupancy) -> int:
    """Return how many of its items at ``target`` this instance has to cancel."""
    return items_to_cancel_by_instance(target, occupancy).get(occupancy.own, 0)


def items_to_cancel_by_instance(target: Target, occupancy: Occupancy) -> dict[str, int]:
    """Return how many of its items at ``target`` each instance has to cancel.

    Instances with items there yield in an order that all work out alike: who has the
    item that is due last begins. Those that need not yield are left out.
    """
    over = occupancy.at(target.id).total - target.slots
    if over <= 0:
        return {}
    holders = occupancy.holders_of_items(target.id)
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
