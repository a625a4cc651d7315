"""Throughput of items as an exponentially decaying average."""

HALF_LIFE_S = 5.0
LN2 = 0.6931471805599453


class RateMeter:
    """A rate per second with exponential decay.

    >>> meter = RateMeter()
    >>> meter.start(0.0)
    >>> for second in range(1, 61):
    ...     meter.record(10, float(second))
    >>> 9.5 < meter.per_s(60.5) < 10.5
    True
    """

    def __init__(self) -> None:
        self._weighted = 0.0
        self._weight_s = 0.0
        self._at: float | None = None

    def record(self, items: int, now: float) -> None:
        """Record ``items`` that finished at ``now``."""
        self._decay(now)
        self._weighted += items

    def start(self, now: float) -> None:
        """Start the clock, if nothing was recorded yet."""
        if self._at is None:
            self._at = now

    def per_s(self, now: float) -> float:
        """Return the items per second; 0 during about the first second."""
        self._decay(now)
        if self._weight_s < 0.9:
            return 0.0
        return self._weighted / self._weight_s

    def _decay(self, now: float) -> None:
        if self._at is None:
            self._at = now
            return
        elapsed_s = now - self._at
        self._at = now
        retained = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self._weighted *= retained
        self._weight_s = (
            self._weight_s * retained + (1.0 - retained) * HALF_LIFE_S / LN2
        )
