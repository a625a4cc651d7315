"""Whether an online request is let in where slots are few, and when it may return.

A queue that is always kept full makes everybody late: whoever is let in waits past the
objective, and whoever was refused comes back late and pushes out others that could have
been in time. So a request queues at a target only while it would still begin within
its objective. One that is late already takes a slot that no other online request
needs, or is refused at once: were it to wait, it would take that of the next one.
"""

import math
from collections import Counter, deque

# Requests that may queue at each target as long as no run has been seen.
INITIAL_QUEUE_LIMIT = 3
# The first event of a request that begins at once, and the way there and back.
START_LATENCY_S = 0.04
# What callers wait for at most before they return, of the time that they have left.
RETRY_DELAY_RATIO = 1 / 3
# Those refused at the same moment return spread over this part of that time.
RETRY_JITTER_RATIO = 0.3
# All but one in some forty answers take less than so many times the usual: their
# numbers of events spread by a quarter.
LONG_ANSWER_FACTOR = 1.5
# The next answer may take longer than any of late.
LONGEST_ANSWER_FACTOR = 1.2
# Deadlines that are remembered of each route, and how many of them must be alike for
# one that is shorter to tell of a caller that has waited before.
MAX_DEADLINES = 60
MIN_USUAL_RATIO = 1 / 3


def max_queued(online_s: float, slots: int, left_s: float) -> int:
    """Return how many may queue at a target so that the last begins in time.

    Args:
        online_s: that an online request takes its slot; 0 if that is not known yet.
        slots: of the target; one of them is free again every ``online_s / slots``.
        left_s: until the last one has to have its first event.

    >>> max_queued(0.8, 8, 0.34), max_queued(0.1, 8, 0.34)
    (3, 24)
    >>> max_queued(0.8, 8, 0.05), max_queued(0.0, 8, 0.3)
    (0, 3)
    """
    if not online_s:
        return INITIAL_QUEUE_LIMIT
    return max(0, math.floor((left_s - START_LATENCY_S) * slots / online_s + 1e-9))


class CallerWaits:
    """How long callers of one route have been waiting when a try of theirs comes.

    A caller says how long it will wait on. Where most say the same, who says less has
    tried before: it is that much older.
    """

    __slots__ = ("_count_by_deadline", "_deadlines")

    def __init__(self) -> None:
        self._deadlines: deque[int] = deque()
        self._count_by_deadline: Counter[int] = Counter()

    def waited_s(self, deadline_ms: int) -> float:
        """Return how long the caller that says so has waited before.

        >>> waits = CallerWaits()
        >>> [waits.waited_s(one) for one in (5000, 5000, 4400, 5000, 5000)]
        [0.0, 0.0, 0.6, 0.0, 0.0]
        """
        self._record(deadline_ms)
        usual, count = self._count_by_deadline.most_common(1)[0]
        if count < len(self._deadlines) * MIN_USUAL_RATIO:
            return 0.0
        return max(0, usual - deadline_ms) / 1000

    def _record(self, deadline_ms: int) -> None:
        self._deadlines.append(deadline_ms)
        self._count_by_deadline[deadline_ms] += 1
        if len(self._deadlines) <= MAX_DEADLINES:
            return
        oldest = self._deadlines.popleft()
        self._count_by_deadline[oldest] -= 1
        if not self._count_by_deadline[oldest]:
            del self._count_by_deadline[oldest]


def retry_delay_s(left_s: float, chance: float) -> float:
    """Return when a caller for which there is no room should come back.

    Nothing tells when a burst ends. The later, the more likely it is over; so it is as
    late as callers follow, and spread.

    Args:
        left_s: that the caller will wait on.
        chance: from 0 to 1, at random.

    >>> round(retry_delay_s(5.0, 0.0), 2), round(retry_delay_s(5.0, 1.0), 2)
    (1.67, 1.17)
    """
    return max(0.0, left_s) * RETRY_DELAY_RATIO * (1 - RETRY_JITTER_RATIO * chance)


def finishes_in_time(online_s: float, longest_s: float, left_s: float) -> bool:
    """Whether an answer that begins now would end in time, as far as that is known.

    Args:
        online_s: that an online request usually takes; 0 if that is not known yet.
        longest_s: that one of late took; 0 if that is not known yet.
        left_s: until this instance ends.

    >>> [finishes_in_time(usual_s, 0.0, 3.8) for usual_s in (0.75, 3.0, 0.0)]
    [True, False, True]
    >>> finishes_in_time(0.75, 3.0, 3.8), finishes_in_time(0.75, 3.5, 3.8)
    (True, False)
    """
    return (
        max(online_s * LONG_ANSWER_FACTOR, longest_s * LONGEST_ANSWER_FACTOR) <= left_s
    )
