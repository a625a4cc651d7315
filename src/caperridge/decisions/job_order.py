"""Which job's items come next, and why the others wait."""

from collections.abc import Iterable

from caperridge.decisions.claims import stable_hash
from caperridge.decisions.jobs import Job
from caperridge.records import Record

URGENT_SLACK_RATIO = 0.15


class JobLoad(Record):
    """A job as the order sees it.

    Attributes:
        job: which one.
        in_hand: its items that this instance has claimed and not finished.
        remaining: its items not committed, as far as known.
        wait_reason: why nothing of it can be claimed now; empty if something can.
    """

    __slots__ = ("in_hand", "job", "remaining", "wait_reason")

    def __init__(
        self, job: Job, in_hand: int = 0, remaining: int = 0, wait_reason: str = ""
    ) -> None:
        self.job = job
        self.in_hand = in_hand
        self.remaining = remaining
        self.wait_reason = wait_reason


def slack_s(load: JobLoad, items_per_s: float, now: float) -> float:
    """Return the time to spare if the whole rest went on at ``items_per_s``."""
    rate = max(items_per_s, 0.001)
    return load.job.due - now - (load.remaining or load.job.items) / rate


def order_jobs(
    loads: Iterable[JobLoad], own: str, items_per_s: float, now: float
) -> list[JobLoad]:
    """Return the loads that may be claimed, the next one first.

    First come callers with the fewest items in hand, so that each has its turn. Of one
    caller's jobs those that would be late go first, by slack; then the one with the
    fewest items in hand, so that a small job is never behind the whole of a large one;
    then the one due first. Ties are drawn, differently on each instance.

    Args:
        loads: of all open jobs of a service.
        own: name of the instance.
        items_per_s: of the service on this instance.
        now: seconds since the epoch.
    """
    loads = list(loads)
    in_hand_by_caller: dict[str, int] = {}
    for load in loads:
        caller = load.job.caller
        in_hand_by_caller[caller] = in_hand_by_caller.get(caller, 0) + load.in_hand
    able = [load for load in loads if not load.wait_reason]

    def rank(load: JobLoad) -> tuple[float, ...]:
        window = max(1.0, load.job.due - load.job.created)
        slack = slack_s(load, items_per_s, now)
        urgent = slack < URGENT_SLACK_RATIO * window
        return (
            in_hand_by_caller[load.job.caller],
            slack if urgent else float("inf"),
            load.in_hand,
            load.job.due,
            stable_hash(own, load.job.id),
        )

    return sorted(able, key=rank)


def expected_finish(job: Job, done: int, now: float) -> float | None:
    """Return when ``job`` ends at its pace so far; None before its first items.

    >>> job = Job("j", "c", "s", "/", "f", 100, 500, created=0.0)
    >>> expected_finish(job, done=50, now=10.0)
    20.0
    """
    if not done or now <= job.created:
        return None
    return now + (job.items - done) * (now - job.created) / done
