"""The batch items that run at targets, and how one is stopped there."""

import asyncio
from collections.abc import Callable

from caperridge.decisions.headroom import BatchStream
from caperridge.instance.item_work import ItemWork
from caperridge.targets.engine import EngineClient

LONGEST_REACTION_S = 0.5

ReactionSeen = Callable[[str, float], None]


class RunningItem:
    """An item that runs at a target, and the task that reads its stream."""

    __slots__ = ("stream", "task", "work")

    def __init__(self, stream: BatchStream, work: ItemWork) -> None:
        self.stream = stream
        self.work = work
        self.task: asyncio.Task[None] | None = None


class RunningItems:
    """What runs, by attempt and by target.

    Args:
        engines: client of the engines.
        clock: monotonic seconds.
        reaction_seen: told of a target and how long a cancel took there.
    """

    def __init__(
        self,
        engines: EngineClient,
        clock: Callable[[], float],
        reaction_seen: ReactionSeen,
    ) -> None:
        self._engines = engines
        self._clock = clock
        self._reaction_seen = reaction_seen
        self._items_by_attempt: dict[str, RunningItem] = {}
        self._items_by_target: dict[str, dict[str, RunningItem]] = {}
        self._cancels: set[asyncio.Task[None]] = set()

    def __contains__(self, attempt: str) -> bool:
        """Return whether ``attempt`` still runs."""
        return attempt in self._items_by_attempt

    def __len__(self) -> int:
        """Return how many run."""
        return len(self._items_by_attempt)

    def add(self, item: RunningItem) -> None:
        """Note that ``item`` runs."""
        stream = item.stream
        self._items_by_attempt[stream.attempt] = item
        self._items_by_target.setdefault(stream.target, {})[stream.attempt] = item

    def forget(self, item: RunningItem) -> None:
        """Note that ``item`` runs no more."""
        del self._items_by_attempt[item.stream.attempt]
        del self._items_by_target[item.stream.target][item.stream.attempt]

    def count(self, target: str) -> int:
        """Return how many run at ``target``."""
        return len(self._items_by_target.get(target, ()))

    def at(self, target: str) -> list[RunningItem]:
        """Return those that run at ``target``, in the order in which they began."""
        return list(self._items_by_target.get(target, {}).values())

    def listed(self) -> list[RunningItem]:
        """Return all that run."""
        return list(self._items_by_attempt.values())

    def stop(self, item: RunningItem, address: str | None) -> ItemWork:
        """Stop ``item``; its work keeps the tokens it has.

        Args:
            item: which.
            address: of its target; None if that is gone.
        """
        self.forget(item)
        if item.task is not None:
            item.task.cancel()
        if address is not None:
            cancel = self._cancel(address, item.stream)
            task = asyncio.get_running_loop().create_task(cancel)
            self._cancels.add(task)
            task.add_done_callback(self._cancels.discard)
        return item.work

    async def _cancel(self, address: str, stream: BatchStream) -> None:
        # Closing the connection ends the attempt too; the order only makes it sooner.
        started = self._clock()
        await self._engines.cancel(address, stream.attempt)
        took = min(LONGEST_REACTION_S, self._clock() - started)
        self._reaction_seen(stream.target, took)
