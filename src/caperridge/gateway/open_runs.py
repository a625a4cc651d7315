"""Open attempts by target, so that those of one target can be aborted together."""

from collections.abc import Callable

Abort = Callable[[], None]


class OpenRuns:
    """The abort callbacks of open attempts, by the id of their target."""

    __slots__ = ("_aborts_by_target", "_begun_aborts_by_target")

    def __init__(self) -> None:
        self._aborts_by_target: dict[str, set[Abort]] = {}
        self._begun_aborts_by_target: dict[str, set[Abort]] = {}

    def add(self, target: str, abort: Abort, begun: bool = False) -> None:
        """Add an attempt.

        Args:
            target: id of the incarnation that is listed.
            abort: ends the attempt if the target restarts.
            begun: whether the target has begun to answer.
        """
        self._aborts(begun).setdefault(target, set()).add(abort)

    def remove(self, target: str, abort: Abort, begun: bool = False) -> None:
        """Remove an attempt that has finished; see :meth:`add`."""
        aborts_by_target = self._aborts(begun)
        aborts = aborts_by_target.get(target)
        if aborts is None:
            return
        aborts.discard(abort)
        if not aborts:
            del aborts_by_target[target]

    def abort_all(self, target: str, begun: bool = True) -> int:
        """Abort the attempts at ``target``; return how many there were.

        Args:
            target: id of an incarnation.
            begun: whether to abort also those that it has begun to answer.
        """
        aborts = self._aborts_by_target.pop(target, set())
        if begun:
            aborts |= self._begun_aborts_by_target.pop(target, set())
        for abort in aborts:
            abort()
        return len(aborts)

    def _aborts(self, begun: bool) -> dict[str, set[Abort]]:
        return self._begun_aborts_by_target if begun else self._aborts_by_target
