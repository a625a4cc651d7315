"""Estimates of recent bursts of online requests at a target.

Three values are tracked: the maximum concurrency within a short time, which prevents a
freed slot from going to batch and back; the maximum number of arrivals within the time
that preemption takes, which is the reserve to keep free; and the concurrency at the
tail, where the slowest tokens were generated, which online callers experience anyway.
"""

import math
from collections import deque

MAX_HOLD_S = 1.0
ARRIVALS_WINDOW_S = 2.0
HALF_LIFE_S = 30.0
TAIL_QUANTILE = 0.95
_RENORMALISE_AT = 1e9


class SlidingMaximum:
    """Maximum of the values within a sliding window of time.

    >>> maximum = SlidingMaximum(10.0)
    >>> maximum.add(5, now=0.0)
    >>> maximum.add(3, now=4.0)
    >>> maximum.value(9.0), maximum.value(11.0), maximum.value(20.0)
    (5, 3, 0)

    Args:
        window_s: the longest window that :meth:`value` supports.
    """

    __slots__ = ("_candidates", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._candidates: deque[tuple[float, int]] = deque()

    def add(self, value: int, now: float) -> None:
        """Add a value."""
        while self._candidates and self._candidates[-1][1] <= value:
            self._candidates.pop()
        self._candidates.append((now, value))

    def value(self, now: float, window_s: float | None = None) -> int:
        """Return the maximum of the window, or of a shorter one; 0 if it is empty."""
        while self._candidates and self._candidates[0][0] < now - self._window_s:
            self._candidates.popleft()
        since = now - (self._window_s if window_s is None else window_s)
        for at, value in self._candidates:
            if at >= since:
                return value
        return 0


class BurstEstimate:
    """Estimates the bursts of online requests at one target.

    Args:
        arrivals_window_s: seconds for which a burst of arrivals is remembered.

    Attributes:
        online: last recorded number of online requests at the target.
        arrived_at: when the last request arrived.
    """

    __slots__ = (
        "_arrivals",
        "_max_arrivals",
        "_max_online",
        "_recorded_at",
        "_scale",
        "_weights_by_online",
        "arrived_at",
        "online",
    )

    def __init__(self, arrivals_window_s: float = ARRIVALS_WINDOW_S) -> None:
        self.online = 0
        self.arrived_at = -math.inf
        self._recorded_at = 0.0
        self._max_online = SlidingMaximum(MAX_HOLD_S)
        self._max_arrivals = SlidingMaximum(arrivals_window_s)
        self._arrivals: deque[float] = deque()
        self._weights_by_online: dict[int, float] = {}
        self._scale = 1.0

    def record(self, online: int, reaction_s: float, now: float) -> None:
        """Record the number of online requests at the target.

        Args:
            online: requests at the target, from all instances.
            reaction_s: seconds until a preempted slot is free.
            now: monotonic seconds.
        """
        self._weigh(now)
        if online < self.online:
            # The previous concurrency lasted until now.
            self._max_online.add(self.online, now)
        for _ in range(online - self.online):
            self._arrivals.append(now)
        while self._arrivals and self._arrivals[0] < now - reaction_s:
            self._arrivals.popleft()
        if online > self.online:
            self.arrived_at = now
            self._max_arrivals.add(len(self._arrivals), now)
        self.online = online

    def max_online(self, now: float, hold_s: float) -> int:
        """Return the maximum concurrency within the last ``hold_s`` seconds."""
        return max(self.online, self._max_online.value(now, hold_s))

    def max_arrivals(self, now: float) -> int:
        """Return the maximum number of recent arrivals within one reaction time."""
        return self._max_arrivals.value(now)

    def tail_online(self, now: float) -> int:
        """Return the concurrency below which 95 % of online tokens were generated."""
        self._weigh(now)
        remaining = TAIL_QUANTILE * sum(self._weights_by_online.values())
        for online, weight in sorted(self._weights_by_online.items()):
            remaining -= weight
            if remaining <= 0:
                return online
        return self.online

    def _weigh(self, now: float) -> None:
        """Add the time since the last record to the weight of its concurrency.

        The number of tokens is proportional to concurrency and time. Instead of
        decaying all weights, later ones are scaled up.
        """
        elapsed = max(0.0, now - self._recorded_at)
        self._recorded_at = max(now, self._recorded_at)
        self._scale *= 2 ** (min(elapsed, 10 * HALF_LIFE_S) / HALF_LIFE_S)
        if self.online:
            weight = self.online * elapsed * self._scale
            weight_so_far = self._weights_by_online.get(self.online, 0.0)
            self._weights_by_online[self.online] = weight_so_far + weight
        if self._scale > _RENORMALISE_AT:
            self._renormalise()

    def _renormalise(self) -> None:
        for online in list(self._weights_by_online):
            weight = self._weights_by_online[online] / self._scale
            if weight < 1e-6:
                del self._weights_by_online[online]
                continue
            self._weights_by_online[online] = weight
        self._scale = 1.0
