"""A retry budget: retries stay a small share of the calls, whatever fails.

Without it, a fleet that fails from overload gets several times its load in retries.
"""

RETRY_RATIO = 0.1
MAX_BURST = 10.0


class RetryBudget:
    """Each call pays in a share; each retry that may double work takes one.

    A stream that has begun may overdraw the budget: to cut an answer that the caller
    reads already is the worst that a refusal can do.

    >>> budget = RetryBudget(ratio=0.5, max_burst=1.0)
    >>> budget.take(), budget.take(), budget.take(started=True)
    (True, False, True)
    >>> for _ in range(4):
    ...     budget.deposit()
    >>> budget.take()
    True

    Args:
        share: retries for each call, in the long run.
        most: retries that may follow at once after a quiet time.
    """

    __slots__ = ("_max_burst", "_ratio", "level")

    def __init__(
        self, ratio: float = RETRY_RATIO, max_burst: float = MAX_BURST
    ) -> None:
        self._ratio = ratio
        self._max_burst = max_burst
        self.level = max_burst

    def deposit(self) -> None:
        """Note one call."""
        self.level = min(self._max_burst, self.level + self._ratio)

    def take(self, started: bool = False) -> bool:
        """Return whether one retry is left, and take it.

        Args:
            started: the caller has seen a part of the answer.
        """
        least = 1.0 - self._max_burst if started else 1.0
        if self.level < least:
            return False
        self.level -= 1.0
        return True
