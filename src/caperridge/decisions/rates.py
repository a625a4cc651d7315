"""How many items of a service end each second here, as far as seen."""

HALF_LIFE_S = 5.0
LN2 = 0.6931471805599453


class RateMeter:
    """An average that forgets: what ended long ago counts little.

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
        """Note ``items`` that ended at ``now``."""
        self._decay(now)
        self._weighted += items

    def start(self, now: float) -> None:
        """Begin to count time, if nothing was noted yet."""
        if self._at is None:
            self._at = now

    def per_s(self, now: float) -> float:
        """Return the average; 0 before the first second is over."""
        self._decay(now)
        if self._weight_s < 0.9:
            return 0.0
        return self._weighted / self._weight_s

    def _decay(self, now: float) -> None:
        if self._at is None:
            self._at = now
            return
        passed = now - self._at
        self._at = now
        kept = 0.5 ** (passed / HALF_LIFE_S)
        self._weighted *= kept
        self._weight_s = self._weight_s * kept + (1.0 - kept) * HALF_LIFE_S / LN2
