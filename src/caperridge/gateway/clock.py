"""The store's steady clock, estimated between its answers."""

import time


class StoreClock:
    """Runs on from the newest answer; 0 until there was one."""

    def __init__(self) -> None:
        self._offset: float | None = None

    def told(self, now_s: float) -> None:
        """Take the store's time from an answer that just came."""
        self._offset = now_s - time.monotonic()

    @property
    def known(self) -> bool:
        """Whether the store ever told its time."""
        return self._offset is not None

    def now(self) -> float:
        """Return about what the store's clock shows, in seconds."""
        return time.monotonic() + self._offset if self._offset is not None else 0.0
