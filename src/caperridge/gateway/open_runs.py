"""Which runs are open at which target, so that they can be ended together."""

from collections.abc import Callable

End = Callable[[], None]


class OpenRuns:
    """What ends each run that waits for its target; by the target's id."""

    __slots__ = ("_ends_by_target",)

    def __init__(self) -> None:
        self._ends_by_target: dict[str, set[End]] = {}

    def add(self, target: str, end: End) -> None:
        """Note a run, and what to call when the target's life is over."""
        self._ends_by_target.setdefault(target, set()).add(end)

    def remove(self, target: str, end: End) -> None:
        """Forget a run that has ended."""
        ends = self._ends_by_target.get(target)
        if ends is None:
            return
        ends.discard(end)
        if not ends:
            del self._ends_by_target[target]

    def end_all(self, target: str) -> int:
        """End the runs at ``target``; return how many there were."""
        ends = self._ends_by_target.pop(target, set())
        for end in ends:
            end()
        return len(ends)
