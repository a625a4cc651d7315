"""Load balancing of online requests, and preemption of items in their favour.

Targets have no priorities and run requests in order of arrival, so an item must not
occupy a slot that an online request needs. Online requests are sent without
coordination; instances with items at a target that then exceeds its slots cancel as
many. All instances soon see the same counts and compute the same order, so exactly one
item is cancelled for each request.
"""

import random
from collections.abc import Callable, Sequence

from caperridge.decisions.rendezvous import score
from caperridge.gateway.occupancy import Occupancy
from caperridge.gateway.targets import Target
from caperridge.records import Record

# Returns how many requests may queue at a target whose slots all run online requests.
MaxQueued = Callable[[Target], int]
# Power of two random choices: nearly as good as the best target, without herding.
REMOTE_CHOICES = 2


def no_queue(target: Target) -> int:
    """Allow no queue: the request needs a slot."""
    return 0


def place_online(
    targets: Sequence[Target],
    occupancy: Occupancy,
    zone: str,
    rng: random.Random,
    max_queued: MaxQueued,
) -> Target | None:
    """Return the target for an online request; None if all queues are full too.

    Free slots come first, then slots that an item would give up, both in the own
    availability zone before others; then the shortest queue.
    """
    best: Target | None = None
    best_cost: Cost | None = None
    for target in targets:
        elsewhere = target.availability_zone != zone
        cost = _cost(target, occupancy, elsewhere, rng.random(), max_queued)
        if cost is None:
            continue
        if best_cost is None or cost.rank < best_cost.rank:
            best, best_cost = target, cost
    return best


def place_online_zone_first(
    targets: Sequence[Target],
    occupancy: Occupancy,
    zone: str,
    rng: random.Random,
    max_queued: MaxQueued,
) -> Target | None:
    """Return the target for an online request when counts of other zones are stale.

    Slots of the own availability zone come first, also those that an item would have
    to give up. Of the other zones two random targets are compared: with the emptiest
    of all, every instance would choose the same target until its count is updated.
    If those two have no slot left, all targets are compared.
    """
    local = [target for target in targets if target.availability_zone == zone]
    best = place_online(local, occupancy, zone, rng, no_queue)
    if best is not None:
        return best
    remote = [target for target in targets if target.availability_zone != zone]
    sampled = rng.sample(remote, min(REMOTE_CHOICES, len(remote)))
    best = place_online(sampled, occupancy, zone, rng, no_queue)
    return best or place_online(targets, occupancy, zone, rng, max_queued)


class Cost(Record):
    """The cost of sending a request to a target.

    Attributes:
        kind: 0 for a free slot, 2 for the slot of an item, each one more in another
            availability zone; 4 for a queue.
        load: how full the target is.
        tie: breaks ties.
    """

    __slots__ = ("kind", "load", "tie")

    def __init__(self, kind: int, load: float, tie: float) -> None:
        self.kind = kind
        self.load = load
        self.tie = tie

    @property
    def rank(self) -> tuple[int, float, float]:
        """The sort key of costs; the lowest is best."""
        return self.kind, self.load, self.tie


def _cost(
    target: Target,
    occupancy: Occupancy,
    elsewhere: bool,
    tie: float,
    max_queued: MaxQueued,
) -> Cost | None:
    """Return the cost of using ``target``; None if it has no room."""
    count = occupancy.total_at(target.id)
    if count.total < target.slots:
        return Cost(0 + elsewhere, count.total / target.slots, tie)
    if count.online < target.slots:
        return Cost(2 + elsewhere, count.online / target.slots, tie)
    if count.online < target.slots + max_queued(target):
        return Cost(4, count.online - target.slots, elsewhere + tie)
    return None


def items_to_cancel(target: Target, occupancy: Occupancy) -> int:
    """Return how many of its own items at ``target`` this instance has to cancel."""
    return items_to_cancel_by_instance(target, occupancy).get(occupancy.own, 0)


def items_to_cancel_by_instance(target: Target, occupancy: Occupancy) -> dict[str, int]:
    """Return how many of its items at ``target`` each instance has to cancel.

    The order is the same on every instance: the one whose latest item deadline is the
    last cancels first. Instances that need not cancel any are left out.
    """
    excess = occupancy.total_at(target.id).total - target.slots
    if excess <= 0:
        return {}
    counts = occupancy.item_counts_by_instance(target.id)
    order = sorted(
        counts,
        key=lambda one: (-counts[one].latest_due, score(target.id, one)),
    )
    cancelled: dict[str, int] = {}
    for instance in order:
        if excess <= 0:
            break
        cancelled[instance] = min(excess, counts[instance].items)
        excess -= cancelled[instance]
    return cancelled
