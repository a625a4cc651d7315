"""A retry budget: retries stay a small share of the calls, whatever fails."""

SHARE = 0.1
MOST = 10.0


class RetryBudget:
    """Each call pays in a share; each retry that may double work takes one.

    >>> budget = RetryBudget(share=0.5, most=1.0)
    >>> budget.take(), budget.take()
    (True, False)
    >>> for _ in range(2):
    ...     budget.deposit()
    >>> budget.take()
    True

    Args:
        share: retries for each call, in the long run.
        most: retries that may follow at once after a quiet time.
    """

    __slots__ = ("_level", "_most", "_share")

    def __init__(self, share: float = SHARE, most: float = MOST) -> None:
        self._share = share
        self._most = most
        self._level = most

    def deposit(self) -> None:
        """Note one call."""
        self._level = min(self._most, self._level + self._share)

    def take(self) -> bool:
        """Return whether one retry is left, and take it."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
