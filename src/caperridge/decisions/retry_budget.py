"""Retry budget: limits retries to a small ratio of the calls.

Without it, a fleet that fails from overload gets several times its load in retries.
"""

RETRY_RATIO = 0.1
MAX_BURST = 10.0


class RetryBudget:
    """Each call deposits a fraction; each retry that may repeat work takes one.

    The retry of a stream that has started may overdraw the budget, since cutting off an
    answer that the caller is reading is the worst refusal.

    >>> budget = RetryBudget(ratio=0.5, max_burst=1.0)
    >>> budget.take(), budget.take(), budget.take(started=True)
    (True, False, True)
    >>> for _ in range(4):
    ...     budget.deposit()
    >>> budget.take()
    True

    Args:
        ratio: retries per call in the long run.
        max_burst: retries that may be made at once after an idle period.
    """

    __slots__ = ("_max_burst", "_ratio", "level")

    def __init__(
        self, ratio: float = RETRY_RATIO, max_burst: float = MAX_BURST
    ) -> None:
        self._ratio = ratio
        self._max_burst = max_burst
        self.level = max_burst

    def deposit(self) -> None:
        """Record one call."""
        self.level = min(self._max_burst, self.level + self._ratio)

    def take(self, started: bool = False) -> bool:
        """Take one retry; return whether the budget allowed it.

        Args:
            started: whether the caller has received a part of the answer.
        """
        min_level = 1.0 - self._max_burst if started else 1.0
        if self.level < min_level:
            return False
        self.level -= 1.0
        return True
