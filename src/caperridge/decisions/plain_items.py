"""Batch items of plain services: slots at targets, and the outcome of an attempt.

An item of a service that is not repeatable is sent only after a row records that it
was started. A holder that finds an item started, without a result, never sends it.
"""

from caperridge.records import Record
from caperridge.refusals import NOT_RUN, UNKNOWN
from caperridge.targets.outcomes import (
    AttemptError,
    InvalidAnswer,
    Lost,
    TargetRefused,
)

# Share of a target's slots that is reserved for online calls.
ONLINE_RESERVED_RATIO = 0.25
STARTED_BEFORE = "an earlier holder started it, and its result was not saved"
STARTED_HERE = "it was started here before, and its answer did not come"
OUTCOME_UNKNOWN = "unknown"


class FinalResult(Record):
    """The final result of an item; ``code`` is empty if the answer is its result."""

    __slots__ = ("code", "reason", "run", "status")

    def __init__(
        self, status: int, code: str = "", reason: str = "", run: str = "ran"
    ) -> None:
        self.status = status
        self.code = code
        self.reason = reason
        self.run = run


def batch_slots(most_running: int, online: int, running: int) -> int:
    """Return how many more items may start at a target; online calls have priority.

    Args:
        most_running: maximum of concurrent calls at the target.
        online: online calls known to run there.
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
    """Return the result of an item that may have run once, without a known answer."""
    return FinalResult(502, OUTCOME_UNKNOWN, reason, UNKNOWN)


def classify_answer(
    status: int, run: str, repeatable: bool, believes_not_run: bool
) -> FinalResult | TargetRefused:
    """Return the result of an item, or the error to retry, for a complete answer.

    Args:
        status: of the answer.
        run: the target's statement on a refusal, e.g. ``not_run``; empty for none.
        repeatable: whether the item may be sent again after it may have run.
        believes_not_run: whether the target's "not run" is trusted.
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
    """Return the result of an item, or the error to retry, without a whole answer."""
    if isinstance(error, Lost | InvalidAnswer) and not repeatable:
        return unknown_outcome(error.reason)
    return error
