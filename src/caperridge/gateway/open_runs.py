"""Open attempts by target, so that those of one target can be aborted together."""

from collections.abc import Callable

End = Callable[[], None]


class OpenRuns:
    """The abort callbacks of open attempts, by the id of their target."""

    __slots__ = ("_ends_by_target",)

    def __init__(self) -> None:
        self._ends_by_target: dict[str, set[End]] = {}

    def add(self, target: str, end: End) -> None:
        """Add an attempt, with the callback that aborts it if the target restarts."""
        self._ends_by_target.setdefault(target, set()).add(end)

    def remove(self, target: str, end: End) -> None:
        """Remove an attempt that has finished."""
        ends = self._ends_by_target.get(target)
        if ends is None:
            return
        ends.discard(end)
        if not ends:
            del self._ends_by_target[target]

    def end_all(self, target: str) -> int:
        """Abort the attempts at ``target``; return how many there were."""
        ends = self._ends_by_target.pop(target, set())
        for end in ends:
            end()
        return len(ends)
