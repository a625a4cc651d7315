"""What bursts of online requests a target has seen of late.

Three figures are kept: how many requests ran at most within a short time, which
keeps a freed slot from going to batch and back; how many arrived at most within the
time that preemption takes, which is the room to keep free; and the concurrency at
which the slowest tokens were made, which is what online callers put up with anyway.
"""

import math
from collections import deque

MAX_HOLD_S = 1.0
ARRIVALS_WINDOW_S = 2.0
HALF_LIFE_S = 30.0
TAIL_QUANTILE = 0.95
_RENORMALISE_AT = 1e9


class SlidingMaximum:
    """The greatest value within a window that moves with the clock.

    >>> maximum = SlidingMaximum(10.0)
    >>> maximum.add(5, now=0.0)
    >>> maximum.add(3, now=4.0)
    >>> maximum.value(9.0), maximum.value(11.0), maximum.value(20.0)
    (5, 3, 0)

    Args:
        window_s: the longest window that may be asked for.
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
        """Return the greatest value of the window, or of a shorter one; or 0."""
        while self._candidates and self._candidates[0][0] < now - self._window_s:
            self._candidates.popleft()
        since = now - (self._window_s if window_s is None else window_s)
        for at, value in self._candidates:
            if at >= since:
                return value
        return 0


class BurstEstimate:
    """Follows the online requests at one target.

    Args:
        memory_s: how long a burst of arrivals is remembered.

    Attributes:
        online: requests at the target by the last note.
        arrived_at: when the last request arrived.
    """

    __slots__ = (
        "_arrivals",
        "_max_arrivals",
        "_max_online",
        "_noted_at",
        "_scale",
        "_weights_by_online",
        "arrived_at",
        "online",
    )

    def __init__(self, arrivals_window_s: float = ARRIVALS_WINDOW_S) -> None:
        self.online = 0
        self.arrived_at = -math.inf
        self._noted_at = 0.0
        self._max_online = SlidingMaximum(MAX_HOLD_S)
        self._max_arrivals = SlidingMaximum(arrivals_window_s)
        self._arrivals: deque[float] = deque()
        self._weights_by_online: dict[int, float] = {}
        self._scale = 1.0

    def record(self, online: int, reaction_s: float, now: float) -> None:
        """Note that ``online`` requests run now.

        Args:
            online: at the target, of all instances.
            reaction_s: how long it takes until a preempted slot is free.
            now: monotonic seconds.
        """
        self._weigh(now)
        if online < self.online:
            # The level that ended now counts as seen up to now.
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
        """Return the most requests that ran at once within ``hold_s``."""
        return max(self.online, self._max_online.value(now, hold_s))

    def max_arrivals(self, now: float) -> int:
        """Return the most arrivals remembered within one reaction time."""
        return self._max_arrivals.value(now)

    def tail_online(self, now: float) -> int:
        """Return the concurrency below which 95 in 100 online tokens were made."""
        self._weigh(now)
        left = TAIL_QUANTILE * sum(self._weights_by_online.values())
        for online, weight in sorted(self._weights_by_online.items()):
            left -= weight
            if left <= 0:
                return online
        return self.online

    def _weigh(self, now: float) -> None:
        """Count the time since the last note towards its level.

        Tokens made are as the requests that make them, and the time. Instead of
        letting all weights fall, new ones rise.
        """
        elapsed = max(0.0, now - self._noted_at)
        self._noted_at = max(now, self._noted_at)
        self._scale *= 2 ** (min(elapsed, 10 * HALF_LIFE_S) / HALF_LIFE_S)
        if self.online:
            weight = self.online * elapsed * self._scale
            known = self._weights_by_online.get(self.online, 0.0)
            self._weights_by_online[self.online] = known + weight
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
