"""Job scheduling: fair order between callers, least slack first for urgent jobs."""

from collections.abc import Iterable

from caperridge.decisions.claims import stable_hash
from caperridge.decisions.jobs import Job
from caperridge.records import Record

# A job is urgent if its slack is below this share of its completion window.
URGENT_SLACK_RATIO = 0.15


class JobLoad(Record):
    """The scheduling state of a job.

    Attributes:
        job: the job.
        in_hand: its items that this instance has claimed and not finished.
        remaining: its items that are not committed, as last read.
        wait_reason: why no item can be claimed now; empty if one can.
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
    """Return the time between the expected end and the due time of a job.

    Args:
        load: the job.
        items_per_s: rate at which all its remaining items would run.
        now: seconds since the epoch.
    """
    rate = max(items_per_s, 0.001)
    return load.job.due - now - (load.remaining or load.job.items) / rate


def order_jobs(
    loads: Iterable[JobLoad], instance: str, items_per_s: float, now: float
) -> list[JobLoad]:
    """Return the jobs that may be claimed, the next one first.

    Callers with the fewest items in hand come first, so that all get a fair share. Of
    one caller's jobs, urgent ones come first, by slack; then the job with the fewest
    items in hand, so that a small job never waits for the whole of a large one; then
    the one due first. Ties are broken by a hash that differs between instances.

    Args:
        loads: all open jobs of a service.
        instance: name of the instance.
        items_per_s: throughput of the service on this instance.
        now: seconds since the epoch.
    """
    loads = list(loads)
    in_hand_by_caller: dict[str, int] = {}
    for load in loads:
        caller = load.job.caller
        in_hand_by_caller[caller] = in_hand_by_caller.get(caller, 0) + load.in_hand
    claimable = [load for load in loads if not load.wait_reason]

    def rank(load: JobLoad) -> tuple[float, ...]:
        window = max(1.0, load.job.due - load.job.created)
        slack = slack_s(load, items_per_s, now)
        urgent = slack < URGENT_SLACK_RATIO * window
        return (
            in_hand_by_caller[load.job.caller],
            slack if urgent else float("inf"),
            load.in_hand,
            load.job.due,
            stable_hash(instance, load.job.id),
        )

    return sorted(claimable, key=rank)


def expected_finish(job: Job, done: int, now: float) -> float | None:
    """Return when ``job`` ends at its average rate so far.

    Args:
        job: the job.
        done: its committed items.
        now: seconds since the epoch.

    Returns:
        Seconds since the epoch; None before its first committed items.

    >>> job = Job("j", "c", "s", "/", "f", 100, 500, created=0.0)
    >>> expected_finish(job, done=50, now=10.0)
    20.0
    """
    if not done or now <= job.created:
        return None
    return now + (job.items - done) * (now - job.created) / done
