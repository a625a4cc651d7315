"""How many streams may run at a target before online callers notice batch.

Batch lengthens each step, and so the time between online tokens. Online traffic alone
already makes its tail slow when it bursts. Outside bursts batch may therefore fill
the target up to that level; the trade of the service allows some more.
"""

import math

from caperridge.decisions.step_time import Line
from caperridge.records import Record

TAIL_SLOWDOWN_RATIO = 1.02
THROUGHPUT_SLOWDOWN_RATIO = 1.30
GUARD_DELAY_STEPS = 2.5
GUARD_PENALTY_STREAMS = 1
MAX_GUARD_PENALTY_STREAMS = 8
GUARD_RECOVERY_S = 2.0
BASELINE_RISE_RATIO = 0.02  # of the way to a slower sample, for each one seen


def acceptable_slowdown(batch_weight: float) -> float:
    """Return how much longer than at its own tail an online step may be.

    The trade rises slowly at first, so that the middle still favours the tail.

    >>> acceptable_slowdown(0.0), acceptable_slowdown(0.5), acceptable_slowdown(1.0)
    (1.02, 1.09, 1.3)
    """
    span = THROUGHPUT_SLOWDOWN_RATIO - TAIL_SLOWDOWN_RATIO
    return round(TAIL_SLOWDOWN_RATIO + span * batch_weight**2, 6)


def max_streams(
    line: Line | None, tail_online: int, full: int, batch_weight: float
) -> float:
    """Return how many streams, online and batch, may run in one step.

    Args:
        line: the step time learnt; None if it is not known.
        tail_online: the concurrency at which online made its slowest tokens.
        full: places of the target.
        batch_weight: the trade of the service.

    >>> max_streams(Line(0.025, 0.0005), 10, 10, 0.0)
    11.2
    """
    if line is None or line.stream_s <= 0 or tail_online <= 0:
        return math.inf
    alone = tail_without_batch(line, tail_online, full)
    longest_s = line.at(alone) * acceptable_slowdown(batch_weight)
    return round((longest_s - line.base_s) / line.stream_s, 3)


def tail_without_batch(line: Line, tail_online: int, full: int) -> float:
    """Return the concurrency that online would have had at its tail without batch.

    Longer steps keep each request longer, so batch raises the concurrency that it is
    measured by; without this correction it would allow itself more and more. By
    Little's law the concurrency is as the step time.

    >>> tail_without_batch(Line(0.04, 0.002), 20, 24)
    16.667
    >>> tail_without_batch(Line(0.04, 0.002), 20, 20)
    20.0
    """
    beside = full - tail_online
    if beside <= 0:
        return float(tail_online)
    alone = tail_online * line.base_s / (line.base_s + line.stream_s * beside)
    return round(alone, 3)


class FirstTokenGuard(Record):
    """Takes room from batch when online first tokens come later than they should.

    A first token needs the rest of a step, its own step, and its prefill. Where it
    takes some steps more, the request queued in the engine: somebody else fills it,
    e.g. a second dispatcher. Each such sight costs batch a stream; time gives it back.
    """

    __slots__ = ("baseline_s", "changed_at", "penalty")

    def __init__(
        self, baseline_s: float = 0.0, penalty: int = 0, changed_at: float = 0.0
    ) -> None:
        self.baseline_s = baseline_s
        self.penalty = penalty
        self.changed_at = changed_at

    def record_first_token(
        self, first_token_s: float, step_s: float, now: float
    ) -> None:
        """Note the time to the first token of an online request."""
        if not self.baseline_s or first_token_s < self.baseline_s:
            self.baseline_s = first_token_s
            return
        late = first_token_s > self.baseline_s + GUARD_DELAY_STEPS * step_s
        self.baseline_s += BASELINE_RISE_RATIO * (first_token_s - self.baseline_s)
        if not late:
            return
        self.penalty = min(
            MAX_GUARD_PENALTY_STREAMS,
            self.withheld_streams(now) + GUARD_PENALTY_STREAMS,
        )
        self.changed_at = now

    def withheld_streams(self, now: float) -> int:
        """Return how many streams batch has to do without."""
        recovered = int((now - self.changed_at) / GUARD_RECOVERY_S)
        return max(0, self.penalty - recovered)
