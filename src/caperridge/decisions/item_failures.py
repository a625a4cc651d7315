"""Retry policy of batch items: exponential backoff, isolation and a retry budget."""

from functools import singledispatch

from caperridge.decisions.claims import stable_hash
from caperridge.records import Record
from caperridge.targets.outcomes import (
    AttemptError,
    InvalidAnswer,
    Lost,
    NotSent,
    TargetRefused,
    WrongAnswer,
)

# From this many faults on, an item is retried in isolation.
ISOLATION_FAULTS = 2
MAX_FAULTS = 5
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 20.0
RETRY_BUDGET_RATIO = 0.1
MIN_RETRIES_PER_S = 2.0
MAX_RETRY_BUDGET = 100.0


class Retry(Record):
    """Retry the item after a delay.

    Attributes:
        faults: failed attempts so far that the item itself may have caused.
        delay_s: delay before the retry.
        alone: it may have crashed its targets, and must not be retried together with
            other such items.
    """

    __slots__ = ("alone", "delay_s", "faults")

    def __init__(self, faults: int, delay_s: float, alone: bool) -> None:
        self.faults = faults
        self.delay_s = delay_s
        self.alone = alone


class FailItem(Record):
    """Fail the item for good."""

    __slots__ = ("code", "reason", "status")

    def __init__(self, code: str, reason: str, status: int) -> None:
        self.code = code
        self.reason = reason
        self.status = status


def after_failure(
    error: AttemptError, request: str, faults: int, tries: int
) -> Retry | FailItem:
    """Return whether to retry an item after a failed attempt, or to fail it.

    Args:
        error: of the attempt.
        request: id of the item's request; the jitter is derived from it.
        faults: earlier failed attempts that the item itself may have caused.
        tries: attempts before this one.
    """
    if isinstance(error, TargetRefused) and error.permanent:
        return FailItem("target_refused", error.reason, error.status)
    if may_be_item_fault(error):
        faults += 1
    if faults >= MAX_FAULTS:
        text = f"{faults} targets failed on it, the last one: {error.reason}"
        return FailItem("targets_failed", text, 502)
    delay_s = min(MAX_RETRY_DELAY_S, INITIAL_RETRY_DELAY_S * 2.0 ** min(tries, 10))
    jitter = stable_hash(request, str(tries)) / 2.0**64
    return Retry(faults, delay_s * (0.5 + jitter), faults >= ISOLATION_FAULTS)


@singledispatch
def may_be_item_fault(error: AttemptError) -> bool:
    """Return whether the item itself may have caused ``error``."""
    raise NotImplementedError(type(error).__name__)


@may_be_item_fault.register(NotSent)
@may_be_item_fault.register(InvalidAnswer)
def _(error: NotSent | InvalidAnswer) -> bool:
    return False


@may_be_item_fault.register
def _(error: TargetRefused) -> bool:
    # "Not run", full and leaving describe the state of the target, not the item.
    return error.run != "not_run" and error.status not in (429, 503)


@may_be_item_fault.register(Lost)
@may_be_item_fault.register(WrongAnswer)
def _(error: Lost | WrongAnswer) -> bool:
    return True


class RetryBudget:
    """Token bucket for retries, filled by a share of finished items and by time.

    The refill over time permits some retries while no item finishes.
    """

    def __init__(self) -> None:
        self._level = MAX_RETRY_BUDGET
        self._refilled_at: float | None = None

    def record_finished_item(self) -> None:
        """Record that an item finished, whatever its outcome."""
        self._level = min(MAX_RETRY_BUDGET, self._level + RETRY_BUDGET_RATIO)

    def take(self, now: float) -> bool:
        """Take a retry out of the budget; False if there is none at ``now``.

        Args:
            now: monotonic seconds.
        """
        if self._refilled_at is not None:
            earned = (now - self._refilled_at) * MIN_RETRIES_PER_S
            self._level = min(MAX_RETRY_BUDGET, self._level + earned)
        self._refilled_at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
