"""Linear regression of a target's step time on its number of concurrent streams.

Each step in which a stream of the target gets a token is one observation. Steps that
also prefill a prompt are longer; the median for each level of concurrency excludes
them. A line is fitted to the medians, since the time of a decode step grows about
linearly with its streams. Levels close together determine the slope poorly, so the fit
is regularised by a prior slope, usual for engines, until distant levels are known.
"""

from collections import deque

from caperridge.records import Record

MAX_SAMPLES_PER_LEVEL = 32
MIN_SAMPLES = 4  # before a level is used
SAME_STEP_RATIO = 0.5  # of a step; tokens that arrive sooner belong to the same step
MAX_SAMPLE_AGE_S = 300.0
FIT_INTERVAL_S = 0.25
MIN_BASE_RATIO = 0.1  # of the mean step
PRIOR_SLOPE_RATIO = 0.005  # of a step, for each stream
PRIOR_WEIGHT = 1000.0  # in samples that are one stream off the mean


class LinearFit(Record):
    """A linear model of the step time: ``base_s + stream_s * streams``."""

    __slots__ = ("base_s", "stream_s")

    def __init__(self, base_s: float, stream_s: float) -> None:
        self.base_s = base_s
        self.stream_s = stream_s

    def at(self, streams: float) -> float:
        """Return the seconds of a step with ``streams`` streams."""
        return self.base_s + self.stream_s * streams


class StepTimeModel:
    """Estimates the step time of one target.

    >>> steps = StepTimeModel()
    >>> for streams in (1, 33, 65):
    ...     for number in range(30):
    ...         steps.observe(streams, 0.040 + 0.001 * streams, now=number)
    >>> line = steps.line(now=30.0)
    >>> round(line.base_s, 3), round(line.stream_s, 3)
    (0.04, 0.001)
    """

    __slots__ = ("_changed", "_fit_due", "_line", "_samples_by_streams")

    def __init__(self) -> None:
        self._samples_by_streams: dict[int, deque[tuple[float, float]]] = {}
        self._changed = False
        self._fit_due = 0.0
        self._line: LinearFit | None = None

    def observe(self, streams: int, step_s: float, now: float) -> None:
        """Add the time between two tokens while ``streams`` streams ran.

        All streams of a step report its time. It is counted once, so that the samples
        of a level cover many steps rather than the last one.
        """
        samples = self._samples_by_streams.get(streams)
        if samples is None:
            samples = deque(maxlen=MAX_SAMPLES_PER_LEVEL)
            self._samples_by_streams[streams] = samples
        if samples and now - samples[-1][0] < SAME_STEP_RATIO * step_s:
            return
        samples.append((now, step_s))
        self._changed = True

    def line(self, now: float) -> LinearFit | None:
        """Return the fitted line; None before two levels are known."""
        if self._changed and now >= self._fit_due:
            self._changed = False
            self._fit_due = now + FIT_INTERVAL_S
            self._line = self._fit(now)
        return self._line

    def _fit(self, now: float) -> LinearFit | None:
        points: list[tuple[int, float, int]] = []
        for streams, samples in list(self._samples_by_streams.items()):
            while samples and samples[0][0] < now - MAX_SAMPLE_AGE_S:
                samples.popleft()
            if not samples:
                del self._samples_by_streams[streams]
                continue
            if len(samples) >= MIN_SAMPLES:
                points.append((streams, _median(samples), len(samples)))
        if len(points) < 2:
            return self._line
        return _least_squares(points)


def _median(samples: deque[tuple[float, float]]) -> float:
    ordered = sorted(step_s for _, step_s in samples)
    return ordered[len(ordered) // 2]


def _least_squares(points: list[tuple[int, float, int]]) -> LinearFit:
    """Return the weighted fit of ``(streams, step_s, weight)`` with a slope >= 0."""
    total = sum(weight for _, _, weight in points)
    mean_streams = sum(streams * weight for streams, _, weight in points) / total
    mean_step = sum(step_s * weight for _, step_s, weight in points) / total
    spread = sum(w * (streams - mean_streams) ** 2 for streams, _, w in points)
    covariance = sum(
        w * (streams - mean_streams) * (step_s - mean_step)
        for streams, step_s, w in points
    )
    prior = PRIOR_WEIGHT * PRIOR_SLOPE_RATIO * mean_step
    stream_s = max(0.0, (covariance + prior) / (spread + PRIOR_WEIGHT))
    # Long prompts coincide with many streams and would be taken for a slope, but each
    # step has a base time.
    max_slope = (1 - MIN_BASE_RATIO) * mean_step / max(1.0, mean_streams)
    stream_s = min(stream_s, max_slope)
    return LinearFit(mean_step - stream_s * mean_streams, stream_s)
