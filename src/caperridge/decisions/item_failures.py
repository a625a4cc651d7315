"""What to do about a batch item whose attempt failed: retry, alone, or give up."""

from functools import singledispatch

from caperridge.decisions.claims import stable_hash
from caperridge.records import Record
from caperridge.targets.outcomes import (
    AttemptError,
    Lost,
    NotSent,
    TargetRefused,
    WrongAnswer,
)

SUSPECT_FAULT_THRESHOLD = 2
MAX_FAULTS = 5
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 20.0
RETRY_BUDGET_RATIO = 0.1
MIN_RETRIES_PER_S = 2.0
MAX_RETRY_BUDGET = 100.0


class Retry(Record):
    """Try again after ``delay_s``; ``faults`` counts the faults that may be its own.

    ``alone`` says that it may have broken its targets, and must not be tried together
    with other such items.
    """

    __slots__ = ("alone", "delay_s", "faults")

    def __init__(self, faults: int, delay_s: float, alone: bool) -> None:
        self.faults = faults
        self.delay_s = delay_s
        self.alone = alone


class FailItem(Record):
    """The item can never be done."""

    __slots__ = ("code", "reason", "status")

    def __init__(self, code: str, reason: str, status: int) -> None:
        self.code = code
        self.reason = reason
        self.status = status


def after_failure(
    error: AttemptError, request: str, faults: int, tries: int
) -> Retry | FailItem:
    """Return what to do.

    Args:
        error: of the attempt.
        request: id of the item's request; the jitter is drawn from it.
        faults: faults before this attempt that may be the item's own.
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
    return Retry(faults, delay_s * (0.5 + jitter), faults >= SUSPECT_FAULT_THRESHOLD)


@singledispatch
def may_be_item_fault(error: AttemptError) -> bool:
    """Return whether the item itself may have caused ``error``."""
    raise NotImplementedError(type(error).__name__)


@may_be_item_fault.register
def _(error: NotSent) -> bool:
    return False


@may_be_item_fault.register
def _(error: TargetRefused) -> bool:
    # A target that says "not run", or is full or leaving, speaks of itself.
    return error.run != "not_run" and error.status not in (429, 503)


@may_be_item_fault.register(Lost)
@may_be_item_fault.register(WrongAnswer)
def _(error: Lost | WrongAnswer) -> bool:
    return True


class RetryBudget:
    """Bounds retries to a share of the items that end, and a floor each second."""

    def __init__(self) -> None:
        self._level = MAX_RETRY_BUDGET
        self._at: float | None = None

    def record_finished_item(self) -> None:
        """Note that an item ended, whatever its outcome."""
        self._level = min(MAX_RETRY_BUDGET, self._level + RETRY_BUDGET_RATIO)

    def take(self, now: float) -> bool:
        """Return whether one more retry may start at ``now``."""
        if self._at is not None:
            earned = (now - self._at) * MIN_RETRIES_PER_S
            self._level = min(MAX_RETRY_BUDGET, self._level + earned)
        self._at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
