"""Estimate of the rate at which the queue of a service is drained.

Requests are dequeued in bursts, because requests that start together finish together.
A mean over the latest ones would see only a burst, so they are divided by the time in
which the queue was not empty, and both decay exponentially with that time.
"""

from math import exp

DECAY_S = 5.0  # time constant
MIN_OBSERVED_S = 1.0


class DequeueRate:
    """The dequeue rate of one queue.

    >>> rate = DequeueRate()
    >>> rate.observe(0.0, waiting=True)
    >>> for _ in range(4):
    ...     rate.record_dequeue(2.0, waiting=True)
    >>> round(rate.interval_s(2.0), 1)
    0.3
    """

    __slots__ = ("_at", "_dequeued", "_seconds", "_waiting")

    def __init__(self) -> None:
        self._at = 0.0
        self._seconds = 0.0
        self._dequeued = 0.0
        self._waiting = False

    def observe(self, now: float, waiting: bool) -> None:
        """Record whether requests wait from ``now`` on."""
        if self._waiting:
            retained = exp(-max(0.0, now - self._at) / DECAY_S)
            self._seconds = self._seconds * retained + DECAY_S * (1.0 - retained)
            self._dequeued *= retained
        self._at = now
        self._waiting = waiting

    def record_dequeue(self, now: float, waiting: bool) -> None:
        """Record that a request was dequeued, and whether others still wait."""
        self.observe(now, waiting)
        self._dequeued += 1.0

    def interval_s(self, now: float) -> float:
        """Return the seconds per dequeued request; 0 while too little is known.

        The next request counts as dequeued, so that a service that dequeues none is
        seen as slow but is not given up for good: the estimate stays finite.
        """
        self.observe(now, self._waiting)
        if self._seconds < MIN_OBSERVED_S:
            return 0.0
        return self._seconds / (self._dequeued + 1.0)
