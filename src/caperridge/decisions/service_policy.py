"""Per-service retry budget and adaptive time-outs for attempts."""

from caperridge.decisions.patience import (
    AdaptiveTimeout,
    first_event_timeout,
    inter_event_timeout,
)
from caperridge.decisions.retry_budget import RetryBudget
from caperridge.records import Record

PREFILL_TIMEOUT_S_PER_TOKEN = 0.0002  # of the prompt
EXPECTED_WAIT_FACTOR = 3.0
UNREPEATABLE_FIRST_EVENT_S = 30.0
UNREPEATABLE_INTER_EVENT_S = 10.0
MIN_SOLE_TARGET_TIMEOUT_S = 2.0  # for a target without an alternative
RETRY_RATIO = 0.2
MAX_RETRY_BURST = 64.0  # at once; a lost runner moves all its streams together


class EventTimeouts(Record):
    """Seconds that an attempt may be silent before its first and between its events."""

    __slots__ = ("between_s", "first_s")

    def __init__(self, first_s: float, between_s: float) -> None:
        self.first_s = first_s
        self.between_s = between_s


class ServicePolicy:
    """The retry budget and the time-outs of one service."""

    __slots__ = ("first_event", "inter_event", "retry_budget")

    def __init__(self) -> None:
        self.retry_budget = RetryBudget(RETRY_RATIO, MAX_RETRY_BURST)
        self.first_event: AdaptiveTimeout = first_event_timeout()
        self.inter_event: AdaptiveTimeout = inter_event_timeout()

    def timeouts(
        self, failed: int, tokens: int, expected_wait_s: float, sole_target: bool
    ) -> EventTimeouts:
        """Return the time-outs of the next attempt of a repeatable request.

        Args:
            failed: number of failed attempts of the request.
            tokens: number of tokens to prefill.
            expected_wait_s: expected queueing time at the target, which is no sign of a
                hung target.
            sole_target: whether there is no other target. Abandoning a slow one early
                would then only turn a late answer into no answer.

        >>> policy = ServicePolicy()
        >>> timeouts = policy.timeouts(0, 0, 0.0, sole_target=True)
        >>> timeouts.between_s >= MIN_SOLE_TARGET_TIMEOUT_S
        True
        """
        # Each move doubles the time-outs: moving does not help if all targets are slow.
        first_s = self.first_event.timeout_s() * 2**failed
        first_s += PREFILL_TIMEOUT_S_PER_TOKEN * tokens
        first_s += EXPECTED_WAIT_FACTOR * expected_wait_s
        between_s = self.inter_event.timeout_s() * 2**failed
        if sole_target:
            return EventTimeouts(
                max(first_s, MIN_SOLE_TARGET_TIMEOUT_S),
                max(between_s, MIN_SOLE_TARGET_TIMEOUT_S),
            )
        return EventTimeouts(first_s, between_s)
