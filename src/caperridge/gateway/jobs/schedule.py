"""Which items start, and which give way.

An item that can still be in time goes before one that cannot: where slots are few, the
earliest due first alone would finish nearly all of them late.
"""

from collections.abc import Iterable

from caperridge.gateway.jobs.held_job import HeldJob, ItemState
from caperridge.records import Record

# Added to the due time of items that will be late whatever is done; more than any job
# has, so that they stand behind all others in one order.
LATE_PENALTY_S = 1e6


class RankedItem(Record):
    """An item that may start or runs, with its job and its place in the order.

    Attributes:
        job: that it belongs to.
        state: of the item.
        due: when it is due, on the store's clock.
        order: by when it is ordered; see :func:`effective_due`.
    """

    __slots__ = ("due", "job", "order", "state")

    def __init__(
        self, job: HeldJob, state: ItemState, due: float, order: float
    ) -> None:
        self.job = job
        self.state = state
        self.due = due
        self.order = order

    @property
    def late(self) -> bool:
        """Whether it cannot be done by when it is due."""
        return self.order > self.due


def effective_due(due: float, left_s: float, now: float) -> float:
    """Return the due time that an item is ranked by.

    It is ``LATE_PENALTY_S`` later than the real one if the item will be late.

    Args:
        due: when it is due.
        left_s: how long it is likely to take.
        now: the time, on the same clock.

    >>> effective_due(20.0, 4.0, 10.0), effective_due(20.0, 4.0, 17.0)
    (20.0, 1000020.0)
    """
    return due + LATE_PENALTY_S if now + left_s > due else due


def by_urgency(startable: Iterable[RankedItem]) -> list[RankedItem]:
    """Return ``startable`` by urgency.

    The earliest due comes before others and, of one job, the furthest along.
    """
    return sorted(startable, key=lambda one: (one.order, -one.state.progress.event))


def preemption_order(running: Iterable[RankedItem]) -> list[RankedItem]:
    """Return running items with those first that may best wait.

    The latest due gives way first and, of one job, the least far along.
    """
    return sorted(running, key=lambda one: (-one.order, one.state.progress.event))
