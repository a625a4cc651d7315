"""Earliest-deadline-first scheduling of items: which start, and which are preempted.

An item that can still be in time goes before one that cannot: where slots are few,
plain earliest deadline first would finish nearly all items late.
"""

from collections.abc import Iterable

from caperridge.gateway.jobs.held_job import HeldJob, ItemState
from caperridge.records import Record

# Added to the due time of items that will be late in any case. It is longer than the
# time of any job, so that these items rank behind all others.
LATE_PENALTY_S = 1e6


class RankedItem(Record):
    """An item that may start or is running, with its rank.

    Attributes:
        job: that it belongs to.
        state: of the item.
        due: due time, in seconds of the store's clock.
        order: effective due time that it is ranked by; see :func:`effective_due`.
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
        """Whether it can no longer be done in time."""
        return self.order > self.due


def effective_due(due: float, left_s: float, now: float) -> float:
    """Return the due time that an item is ranked by.

    It is ``LATE_PENALTY_S`` later than the real one if the item will be late.

    Args:
        due: due time, in seconds.
        left_s: expected time until it is done.
        now: current time, on the same clock.

    >>> effective_due(20.0, 4.0, 10.0), effective_due(20.0, 4.0, 17.0)
    (20.0, 1000020.0)
    """
    return due + LATE_PENALTY_S if now + left_s > due else due


def by_urgency(items: Iterable[RankedItem]) -> list[RankedItem]:
    """Return items by urgency.

    The earliest due comes first; of one job, the one with the most output.
    """
    return sorted(items, key=lambda one: (one.order, -one.state.progress.event))


def preemption_order(running: Iterable[RankedItem]) -> list[RankedItem]:
    """Return running items in the order in which they are preempted.

    The latest due comes first; of one job, the one with the least output.
    """
    return sorted(running, key=lambda one: (-one.order, one.state.progress.event))
