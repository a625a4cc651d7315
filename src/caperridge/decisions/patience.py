"""Adaptive time-outs for the events of a target, after which a request is moved.

The time-out follows a percentile of the observed times, so that a hung target is left
early, while moves do not add load to a fleet that is merely busy. An expired time-out
counts as an observation: if many expire, the time-out rises.
"""

from bisect import insort
from collections import deque

WINDOW_SAMPLES = 128
MIN_SAMPLES = 8


class AdaptiveTimeout:
    """The time-out for one kind of event of one service, in seconds.

    Args:
        quantile: quantile of the observed times.
        factor: multiple of that quantile that is too long.
        min_s: lower bound of the time-out.
        max_s: upper bound of the time-out.
        initial_s: time-out while there are few observations.
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
        """Record an observed time, or a time-out that expired."""
        self._newest.append(seconds)
        insort(self._sorted, seconds)
        if len(self._newest) > WINDOW_SAMPLES:
            self._sorted.remove(self._newest.popleft())

    def timeout_s(self) -> float:
        """Return the current time-out."""
        if len(self._sorted) < MIN_SAMPLES:
            return self._initial_s
        index = int(len(self._sorted) * self._quantile)
        usual = self._sorted[min(index, len(self._sorted) - 1)]
        return min(self._max_s, max(self._min_s, usual * self._factor))


def first_event_timeout() -> AdaptiveTimeout:
    """Return the time-out for first events.

    Its initial value leaves time for a second attempt within the objective of 1.8 s.
    """
    return AdaptiveTimeout(0.95, 3.0, min_s=0.25, max_s=30.0, initial_s=1.2)


def inter_event_timeout() -> AdaptiveTimeout:
    """Return the time-out between events; engines pause to prefill other prompts."""
    return AdaptiveTimeout(0.95, 10.0, min_s=0.5, max_s=10.0, initial_s=2.0)
