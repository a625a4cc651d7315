"""Which items start, and which give way."""

from collections.abc import Iterable

from caperridge.gateway.jobs.held_job import HeldJob, ItemState
from caperridge.records import Record


class Startable(Record):
    """An item that may start, with its job and when its results are due."""

    __slots__ = ("due", "job", "state")

    def __init__(self, job: HeldJob, state: ItemState, due: float) -> None:
        self.job = job
        self.state = state
        self.due = due


def in_order(startable: Iterable[Startable], now: float) -> list[Startable]:
    """Return ``startable`` by urgency.

    Those that can still be in time come first, the earliest due before others and,
    of one job, the furthest along; late ones wait behind.
    """
    return sorted(
        startable,
        key=lambda one: (one.due < now, one.due, -one.state.progress.event),
    )


def first_to_cancel(running: Iterable[Startable]) -> list[Startable]:
    """Return running items with those first that may best wait.

    The latest due gives way first and, of one job, the least far along.
    """
    return sorted(running, key=lambda one: (-one.due, one.state.progress.event))
