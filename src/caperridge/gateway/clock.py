"""Estimate of the store's steady clock between its answers."""

from caperridge.elapsed import elapsed_s


class StoreClock:
    """Extrapolates from the newest answer; 0 until there was one."""

    def __init__(self) -> None:
        self._offset: float | None = None

    def update(self, now_s: float) -> None:
        """Set the store's time from an answer that just arrived."""
        self._offset = now_s - elapsed_s()

    @property
    def known(self) -> bool:
        """Whether the store has ever sent its time."""
        return self._offset is not None

    def now(self) -> float:
        """Return the estimated time of the store's clock, in seconds."""
        return elapsed_s() + self._offset if self._offset is not None else 0.0
