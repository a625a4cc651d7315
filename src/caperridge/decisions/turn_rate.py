"""How fast those who wait for a service get their turn.

Turns come in clumps, because requests that start together end together. A mean over
the newest turns sees only the clump, so turns are counted against the time in which
somebody waited, both fading with that time.
"""

from math import exp

DECAY_S = 5.0
MIN_OBSERVED_S = 1.0


class DequeueRate:
    """The rate of turns of one queue.

    >>> rate = DequeueRate()
    >>> rate.observe(0.0, waiting=True)
    >>> for _ in range(4):
    ...     rate.record_dequeue(2.0, waiting=True)
    >>> round(rate.interval_s(2.0), 1)
    0.3
    """

    __slots__ = ("_at", "_seconds", "_turns", "_waiting")

    def __init__(self) -> None:
        self._at = 0.0
        self._seconds = 0.0
        self._turns = 0.0
        self._waiting = False

    def observe(self, now: float, waiting: bool) -> None:
        """Note whether somebody waits from ``now`` on."""
        if self._waiting:
            kept = exp(-max(0.0, now - self._at) / DECAY_S)
            self._seconds = self._seconds * kept + DECAY_S * (1.0 - kept)
            self._turns *= kept
        self._at = now
        self._waiting = waiting

    def record_dequeue(self, now: float, waiting: bool) -> None:
        """Note that one got its turn, and whether others still wait."""
        self.observe(now, waiting)
        self._turns += 1.0

    def interval_s(self, now: float) -> float:
        """Return the seconds for one turn; 0 while too little is known.

        The turn that is under way counts as one, so that a service that gives none
        is known for slow without being given up for good.
        """
        self.observe(now, self._waiting)
        if self._seconds < MIN_OBSERVED_S:
            return 0.0
        return self._seconds / (self._turns + 1.0)
