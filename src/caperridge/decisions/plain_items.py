"""Batch items for plain services: where they go, how many, and what an attempt means.

An item of a service that may not be repeated is sent only after a row says that it was
started. Whoever finds it started and has no result of it never sends it again.
"""

from caperridge.records import Record
from caperridge.refusals import NOT_RUN, UNKNOWN
from caperridge.targets.outcomes import AttemptError, Lost, TargetRefused

# Of a target's places, the part that is always left to online calls.
ONLINE_RESERVED_RATIO = 0.25
STARTED_BEFORE = "an earlier holder started it, and its result was not saved"
STARTED_HERE = "it was started here before, and its answer did not come"
OUTCOME_UNKNOWN = "unknown"


class FinalResult(Record):
    """No further attempt; ``code`` is empty if the answer is the item's result."""

    __slots__ = ("code", "reason", "run", "status")

    def __init__(
        self, status: int, code: str = "", reason: str = "", run: str = "ran"
    ) -> None:
        self.status = status
        self.code = code
        self.reason = reason
        self.run = run


def batch_slots(most_running: int, online: int, running: int) -> int:
    """Return how many more items may start at a target; online calls go first.

    Args:
        most_running: calls that the target runs at once.
        online: online calls known to be there.
        running: items that run there now.

    >>> batch_slots(16, online=0, running=0), batch_slots(16, online=10, running=1)
    (12, 1)
    >>> batch_slots(1, online=0, running=0), batch_slots(1, online=1, running=0)
    (1, 0)
    """
    return max(
        0, most_running - int(most_running * ONLINE_RESERVED_RATIO) - online - running
    )


def unknown_outcome(reason: str) -> FinalResult:
    """Return the end of an item that may have run, once, without a known answer."""
    return FinalResult(502, OUTCOME_UNKNOWN, reason, UNKNOWN)


def classify_answer(
    status: int, run: str, repeatable: bool, believes_not_run: bool
) -> FinalResult | TargetRefused:
    """Return what a whole answer means.

    Args:
        status: of the answer.
        run: the target's own word on a refusal; empty for none.
        repeatable: whether the item may be sent again after it may have run.
        believes_not_run: whether the target's "not run" counts.
    """
    if status < 400:
        return FinalResult(status)
    reason = f"the target refused with {status}"
    busy = status in (429, 503)
    if busy and run == NOT_RUN and believes_not_run:
        return TargetRefused(status, reason, NOT_RUN)
    if repeatable and (busy or status >= 500):
        return TargetRefused(status, reason, UNKNOWN)
    if busy:
        return unknown_outcome(f"{reason}, and may have run it")
    return FinalResult(status, "target_refused", reason, UNKNOWN)


def classify_error(error: AttemptError, repeatable: bool) -> FinalResult | AttemptError:
    """Return what an attempt without a whole answer means; an error is tried again."""
    if isinstance(error, Lost) and not repeatable:
        return unknown_outcome(error.reason)
    return error
