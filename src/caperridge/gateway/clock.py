"""The store's steady clock, estimated between its answers."""

from caperridge.elapsed import elapsed_s


class StoreClock:
    """Runs on from the newest answer; 0 until there was one."""

    def __init__(self) -> None:
        self._offset: float | None = None

    def update(self, now_s: float) -> None:
        """Take the store's time from an answer that just came."""
        self._offset = now_s - elapsed_s()

    @property
    def known(self) -> bool:
        """Whether the store ever told its time."""
        return self._offset is not None

    def now(self) -> float:
        """Return about what the store's clock shows, in seconds."""
        return elapsed_s() + self._offset if self._offset is not None else 0.0
