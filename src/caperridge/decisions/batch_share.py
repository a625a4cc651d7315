"""Batch admission at a target: how many streams fit without slowing online tokens.

Batch lengthens each step, and with it the time between online tokens. Bursts of online
traffic already produce a slow tail. Outside bursts, batch may therefore fill the
target up to the same step time; the batch weight of the service allows some more.
"""

import math

from caperridge.decisions.step_time import LinearFit
from caperridge.records import Record

TAIL_SLOWDOWN_RATIO = 1.02
THROUGHPUT_SLOWDOWN_RATIO = 1.30
GUARD_DELAY_STEPS = 2.5
GUARD_PENALTY_STREAMS = 1
MAX_GUARD_PENALTY_STREAMS = 8
GUARD_RECOVERY_S = 2.0
BASELINE_RISE_RATIO = 0.02  # of the difference to a slower sample, for each sample


def acceptable_slowdown(batch_weight: float) -> float:
    """Return how long an online step may be, relative to its tail without batch.

    The curve is quadratic, so that a medium weight still favours the tail latency.

    >>> acceptable_slowdown(0.0), acceptable_slowdown(0.5), acceptable_slowdown(1.0)
    (1.02, 1.09, 1.3)
    """
    span = THROUGHPUT_SLOWDOWN_RATIO - TAIL_SLOWDOWN_RATIO
    return round(TAIL_SLOWDOWN_RATIO + span * batch_weight**2, 6)


def max_streams(
    line: LinearFit | None, tail_online: int, slots: int, batch_weight: float
) -> float:
    """Return how many streams, online and batch, may run in one step.

    Args:
        line: step time as a linear function of streams; None if not known.
        tail_online: online concurrency during the slowest online tokens.
        slots: slots of the target.
        batch_weight: of the service; 0 favours tail latency, 1 throughput.

    >>> max_streams(LinearFit(0.025, 0.0005), 10, 10, 0.0)
    11.2
    """
    if line is None or line.stream_s <= 0 or tail_online <= 0:
        return math.inf
    online_streams = tail_without_batch(line, tail_online, slots)
    max_step_s = line.at(online_streams) * acceptable_slowdown(batch_weight)
    return round((max_step_s - line.base_s) / line.stream_s, 3)


def tail_without_batch(line: LinearFit, tail_online: int, slots: int) -> float:
    """Return the online concurrency that the tail would have had without batch.

    Longer steps keep each request in the target longer, so batch raises the very
    concurrency that limits it; without this correction its limit would keep growing.
    By Little's law, concurrency is proportional to the step time.

    >>> tail_without_batch(LinearFit(0.04, 0.002), 20, 24)
    16.667
    >>> tail_without_batch(LinearFit(0.04, 0.002), 20, 20)
    20.0
    """
    batch_streams = slots - tail_online
    if batch_streams <= 0:
        return float(tail_online)
    online = tail_online * line.base_s / (line.base_s + line.stream_s * batch_streams)
    return round(online, 3)


class FirstTokenGuard(Record):
    """Reduces the streams of batch when online first tokens are late.

    A first token takes the rest of a step, its own step and its prefill. If it takes
    several steps more, the request queued in the engine: another sender fills it,
    e.g. a second dispatcher. Each late token withholds one more stream
    from batch. After the last late token, one stream is given back every
    :data:`GUARD_RECOVERY_S`.

    Attributes:
        baseline_s: time to first token without queueing.
        penalty: streams withheld at ``changed_at``.
        changed_at: when the penalty last rose, monotonic seconds.
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
        """Record the time to the first token of an online request."""
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
        """Return how many streams are withheld from batch."""
        recovered = int((now - self.changed_at) / GUARD_RECOVERY_S)
        return max(0, self.penalty - recovered)
