"""What is learnt of one service: its retry budget, and how long to wait for it."""

from caperridge.decisions.patience import (
    AdaptiveTimeout,
    first_event_timeout,
    inter_event_timeout,
)
from caperridge.decisions.retry_budget import RetryBudget
from caperridge.records import Record

PREFILL_PATIENCE_S = 0.0002  # for one token of the prompt
EXPECTED_PATIENCE = 3.0  # times the expected wait
UNREPEATABLE_FIRST_S = 30.0
UNREPEATABLE_BETWEEN_S = 10.0
ALONE_S = 2.0  # least patience with a target that has no alternative
RETRY_SHARE = 0.2
MOST_RETRIES = 64.0  # at once; a lost runner moves all its streams together


class Limits(Record):
    """How long one attempt may be silent before and between its events, in seconds."""

    __slots__ = ("between_s", "first_s")

    def __init__(self, first_s: float, between_s: float) -> None:
        self.first_s = first_s
        self.between_s = between_s


class ServicePolicy:
    """The retry budget and the patience of one service."""

    __slots__ = ("between", "budget", "first")

    def __init__(self) -> None:
        self.budget = RetryBudget(RETRY_SHARE, MOST_RETRIES)
        self.first: AdaptiveTimeout = first_event_timeout()
        self.between: AdaptiveTimeout = inter_event_timeout()

    def limits(
        self, failed: int, tokens: int, expected_wait_s: float, alone: bool
    ) -> Limits:
        """Return the limits of the next attempt of a repeatable request.

        Args:
            failed: attempts of the request that failed.
            tokens: to be prefilled.
            expected_wait_s: at the target; its length says nothing against it.
            alone: there is no other target. To give a slow one up early then only
                turns a late answer into none.

        >>> policy = ServicePolicy()
        >>> policy.limits(0, 0, 0.0, alone=True).between_s >= ALONE_S
        True
        """
        # Each move doubles the patience: if all are slow, moving does not help.
        first_s = self.first.timeout_s() * 2**failed
        first_s += PREFILL_PATIENCE_S * tokens
        first_s += EXPECTED_PATIENCE * expected_wait_s
        between_s = self.between.timeout_s() * 2**failed
        if alone:
            return Limits(max(first_s, ALONE_S), max(between_s, ALONE_S))
        return Limits(first_s, between_s)
