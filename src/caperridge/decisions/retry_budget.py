"""A retry budget: retries may add only a share to the load of a service.

Without it, a fleet that fails from overload gets several times its load in retries.
"""

DEPOSIT = 0.2
MOST_BALANCE = 64.0
FIRST_BALANCE = 32.0


class RetryBudget:
    """The token bucket of one service.

    A stream that has begun may overdraw it: to cut an answer that the caller reads
    already is the worst that a refusal can do.

    >>> budget = RetryBudget(balance=1.0)
    >>> budget.withdraw(begun=False), budget.withdraw(begun=False)
    (True, False)
    >>> budget.withdraw(begun=True)
    True
    """

    __slots__ = ("balance",)

    def __init__(self, balance: float = FIRST_BALANCE) -> None:
        self.balance = balance

    def deposit(self) -> None:
        """Note a first attempt."""
        self.balance = min(MOST_BALANCE, self.balance + DEPOSIT)

    def withdraw(self, begun: bool) -> bool:
        """Take a retry out; return whether it may be made."""
        least = -MOST_BALANCE if begun else 0.0
        if self.balance - 1.0 < least:
            return False
        self.balance -= 1.0
        return True
