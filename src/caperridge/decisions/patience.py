"""How long to wait for a target's next event before moving away from it.

The limit follows a percentile of what was seen, so that a hung target is left early
while a fleet that is merely busy is not made busier by moves. A limit that ran out
counts as seen: when many run out, the limit rises.
"""

from bisect import insort
from collections import deque

WINDOW = 128
LEAST_SAMPLES = 8


class Patience:
    """The limit for one kind of event of one service, in seconds.

    Args:
        quantile: of the times seen that counts as usual.
        factor: how many times the usual is too long.
        least_s: lower bound of the limit.
        most_s: upper bound of the limit.
        cold_s: the limit while little was seen.
    """

    __slots__ = (
        "_cold_s",
        "_factor",
        "_least_s",
        "_most_s",
        "_newest",
        "_quantile",
        "_sorted",
    )

    def __init__(
        self,
        quantile: float,
        factor: float,
        least_s: float,
        most_s: float,
        cold_s: float,
    ) -> None:
        self._quantile = quantile
        self._factor = factor
        self._least_s = least_s
        self._most_s = most_s
        self._cold_s = cold_s
        self._newest: deque[float] = deque()
        self._sorted: list[float] = []

    def note(self, seconds: float) -> None:
        """Take in one time that was seen, or the limit that ran out."""
        self._newest.append(seconds)
        insort(self._sorted, seconds)
        if len(self._newest) > WINDOW:
            self._sorted.remove(self._newest.popleft())

    def limit_s(self) -> float:
        """Return the limit."""
        if len(self._sorted) < LEAST_SAMPLES:
            return self._cold_s
        index = int(len(self._sorted) * self._quantile)
        usual = self._sorted[min(index, len(self._sorted) - 1)]
        return min(self._most_s, max(self._least_s, usual * self._factor))


def first_event_patience() -> Patience:
    """Return the patience for first events.

    The cold limit leaves time for a second try within the aim of 1.8 s.
    """
    return Patience(0.95, 3.0, least_s=0.25, most_s=30.0, cold_s=1.2)


def between_events_patience() -> Patience:
    """Return the patience between events; an engine pauses to prefill for others."""
    return Patience(0.95, 10.0, least_s=0.5, most_s=10.0, cold_s=2.0)
