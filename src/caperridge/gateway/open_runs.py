"""Open attempts by target, so that those of one target can be aborted together."""

from collections.abc import Callable

Abort = Callable[[], None]


class OpenRuns:
    """The abort callbacks of open attempts, by the id of their target."""

    __slots__ = ("_aborts_by_target",)

    def __init__(self) -> None:
        self._aborts_by_target: dict[str, set[Abort]] = {}

    def add(self, target: str, abort: Abort) -> None:
        """Add an attempt, with the callback that aborts it if the target restarts."""
        self._aborts_by_target.setdefault(target, set()).add(abort)

    def remove(self, target: str, abort: Abort) -> None:
        """Remove an attempt that has finished."""
        aborts = self._aborts_by_target.get(target)
        if aborts is None:
            return
        aborts.discard(abort)
        if not aborts:
            del self._aborts_by_target[target]

    def abort_all(self, target: str) -> int:
        """Abort the attempts at ``target``; return how many there were."""
        aborts = self._aborts_by_target.pop(target, set())
        for abort in aborts:
            abort()
        return len(aborts)
