"""How long to wait for a target's next event before moving away from it.

The limit follows a percentile of what was seen, so that a hung target is left early
while a fleet that is merely busy is not made busier by moves. A limit that ran out
counts as seen: when many run out, the limit rises.
"""

from bisect import insort
from collections import deque

WINDOW_SAMPLES = 128
MIN_SAMPLES = 8


class AdaptiveTimeout:
    """The limit for one kind of event of one service, in seconds.

    Args:
        quantile: of the times seen that counts as usual.
        factor: how many times the usual is too long.
        least_s: lower bound of the limit.
        most_s: upper bound of the limit.
        cold_s: the limit while little was seen.
    """

    __slots__ = (
        "_factor",
        "_initial_s",
        "_max_s",
        "_min_s",
        "_newest",
        "_quantile",
        "_sorted",
    )

    def __init__(
        self,
        quantile: float,
        factor: float,
        min_s: float,
        max_s: float,
        initial_s: float,
    ) -> None:
        self._quantile = quantile
        self._factor = factor
        self._min_s = min_s
        self._max_s = max_s
        self._initial_s = initial_s
        self._newest: deque[float] = deque()
        self._sorted: list[float] = []

    def record(self, seconds: float) -> None:
        """Take in one time that was seen, or the limit that ran out."""
        self._newest.append(seconds)
        insort(self._sorted, seconds)
        if len(self._newest) > WINDOW_SAMPLES:
            self._sorted.remove(self._newest.popleft())

    def timeout_s(self) -> float:
        """Return the limit."""
        if len(self._sorted) < MIN_SAMPLES:
            return self._initial_s
        index = int(len(self._sorted) * self._quantile)
        usual = self._sorted[min(index, len(self._sorted) - 1)]
        return min(self._max_s, max(self._min_s, usual * self._factor))


def first_event_timeout() -> AdaptiveTimeout:
    """Return the patience for first events.

    The cold limit leaves time for a second try within the aim of 1.8 s.
    """
    return AdaptiveTimeout(0.95, 3.0, min_s=0.25, max_s=30.0, initial_s=1.2)


def inter_event_timeout() -> AdaptiveTimeout:
    """Return the patience between events; an engine pauses to prefill for others."""
    return AdaptiveTimeout(0.95, 10.0, min_s=0.5, max_s=10.0, initial_s=2.0)
