"""Admission control for online requests when slots are scarce, and retry delays.

A queue that is always full makes every request late: admitted requests wait past the
objective, and refused ones return late and displace others that could have been in
time. So a request queues at a target only while it would still start within its
objective. A request that is late already takes a slot that no other online request
needs, or is refused at once; if it waited, it would take the slot of the next one.
"""

import math
from collections import Counter, deque

# Requests that may queue at each target while the run time is unknown.
INITIAL_QUEUE_LIMIT = 3
# Time to the first event of a request that starts at once, with the network round trip.
START_LATENCY_S = 0.04
# Longest retry delay that callers honour, relative to their remaining time.
RETRY_DELAY_RATIO = 1 / 3
# Requests refused at the same moment retry spread over this part of the delay.
RETRY_JITTER_RATIO = 0.3
# All but about one in forty answers take less than this multiple of the usual time:
# their numbers of events vary by a quarter.
LONG_ANSWER_FACTOR = 1.5
# The next answer may take longer than the longest recent one.
LONGEST_ANSWER_FACTOR = 1.2
# Deadlines remembered for each route, and the share of them that must be equal before a
# shorter one is taken as a sign of earlier waiting.
MAX_DEADLINES = 60
MIN_USUAL_RATIO = 1 / 3


def max_queued(online_s: float, slots: int, remaining_s: float) -> int:
    """Return how many requests may queue at a target so that the last starts in time.

    Args:
        online_s: seconds that an online request occupies a slot; 0 if unknown.
        slots: slots of the target; one becomes free every ``online_s / slots``.
        remaining_s: seconds until the last request must have its first event.

    >>> max_queued(0.8, 8, 0.34), max_queued(0.1, 8, 0.34)
    (3, 24)
    >>> max_queued(0.8, 8, 0.05), max_queued(0.0, 8, 0.3)
    (0, 3)
    """
    if not online_s:
        return INITIAL_QUEUE_LIMIT
    return max(0, math.floor((remaining_s - START_LATENCY_S) * slots / online_s + 1e-9))


class CallerWaits:
    """Estimates how long callers of one route have waited before an attempt.

    A caller sends its remaining deadline. If at least :data:`MIN_USUAL_RATIO` of the
    recent callers of a route send the same, one that sends less is assumed to have
    waited for the difference in earlier attempts.
    """

    __slots__ = ("_count_by_deadline", "_recent_deadlines")

    def __init__(self) -> None:
        self._recent_deadlines: deque[int] = deque()
        self._count_by_deadline: Counter[int] = Counter()

    def waited_s(self, deadline_ms: int) -> float:
        """Return the seconds that a caller with this deadline has waited before.

        >>> waits = CallerWaits()
        >>> [waits.waited_s(one) for one in (5000, 5000, 4400, 5000, 5000)]
        [0.0, 0.0, 0.6, 0.0, 0.0]
        """
        self._record(deadline_ms)
        usual, count = self._count_by_deadline.most_common(1)[0]
        if count < len(self._recent_deadlines) * MIN_USUAL_RATIO:
            return 0.0
        return max(0, usual - deadline_ms) / 1000

    def _record(self, deadline_ms: int) -> None:
        self._recent_deadlines.append(deadline_ms)
        self._count_by_deadline[deadline_ms] += 1
        if len(self._recent_deadlines) <= MAX_DEADLINES:
            return
        oldest = self._recent_deadlines.popleft()
        self._count_by_deadline[oldest] -= 1
        if not self._count_by_deadline[oldest]:
            del self._count_by_deadline[oldest]


def retry_delay_s(remaining_s: float, jitter: float) -> float:
    """Return the seconds after which a refused caller should retry.

    The end of a burst cannot be predicted, but a later retry is more likely to succeed.
    So the delay is the longest that callers honour, with jitter.

    Args:
        remaining_s: seconds that the caller will still wait.
        jitter: random number from 0 to 1.

    >>> round(retry_delay_s(5.0, 0.0), 2), round(retry_delay_s(5.0, 1.0), 2)
    (1.67, 1.17)
    """
    return max(0.0, remaining_s) * RETRY_DELAY_RATIO * (1 - RETRY_JITTER_RATIO * jitter)


def finishes_in_time(online_s: float, longest_s: float, remaining_s: float) -> bool:
    """Whether an answer that starts now is expected to finish before a shutdown.

    Args:
        online_s: usual seconds of an online request; 0 if unknown.
        longest_s: seconds of the longest recent one; 0 if unknown.
        remaining_s: seconds until this instance shuts down.

    >>> [finishes_in_time(usual_s, 0.0, 3.8) for usual_s in (0.75, 3.0, 0.0)]
    [True, False, True]
    >>> finishes_in_time(0.75, 3.0, 3.8), finishes_in_time(0.75, 3.5, 3.8)
    (True, False)
    """
    return (
        max(online_s * LONG_ANSWER_FACTOR, longest_s * LONGEST_ANSWER_FACTOR)
        <= remaining_s
    )
