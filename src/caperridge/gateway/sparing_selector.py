"""A selector that looks for events less often while callbacks wait to run.

The event loop asks for events before each turn, also when it only runs what the last
turn has made ready. What comes from a socket wakes a task in the next turn, so nearly
every second call of the system found nothing.
"""

import selectors

# Looks that are left out in a row. Chains of callbacks are mostly one or two turns
# long; events wait for so many turns at most.
MOST_LEFT_OUT = 2


class SparingSelector(selectors.DefaultSelector):
    """Leaves out some of the looks that would not wait."""

    def __init__(self) -> None:
        super().__init__()
        self._left_out = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready; nothing if the look is left out."""
        waits = timeout is None or timeout > 0
        if not waits and self._left_out < MOST_LEFT_OUT:
            self._left_out += 1
            return []
        self._left_out = 0
        return super().select(timeout)
