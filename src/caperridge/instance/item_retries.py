"""Batch items that wait for their next attempt."""

import heapq
from typing import Any

from caperridge.decisions.item_failures import RetryBudget
from caperridge.instance.batch_streams import ItemWork


class ItemRetries:
    """Gives items back when they are due, within a budget.

    An item that may have broken several targets is tried while no other such item
    runs, so that each fault from then on is its own.
    """

    def __init__(self) -> None:
        self._budget = RetryBudget()
        self._delayed: list[tuple[float, int, ItemWork, bool]] = []
        self._count = 0
        self._suspect: ItemWork | None = None

    def add(self, item: ItemWork, due: float, alone: bool) -> None:
        """Keep ``item`` until ``due``; ``alone`` if it is a suspect."""
        self._count += 1
        heapq.heappush(self._delayed, (due, self._count, item, alone))

    def ended(self, item: ItemWork) -> None:
        """Note that an attempt at ``item`` ended, whatever its outcome."""
        self._budget.record_finished_item()
        if self._suspect is item:
            self._suspect = None

    def cancel_job(self, job: str) -> None:
        """Forget the items of ``job``."""
        self._delayed = [entry for entry in self._delayed if entry[2].job != job]
        heapq.heapify(self._delayed)
        if self._suspect is not None and self._suspect.job == job:
            self._suspect = None

    def clear(self) -> None:
        """Forget everything."""
        self._delayed.clear()
        self._suspect = None

    def due(self, now: float) -> list[ItemWork]:
        """Return the items to be tried now."""
        found: list[ItemWork] = []
        held: list[tuple[float, int, ItemWork, bool]] = []
        while self._delayed and self._delayed[0][0] <= now:
            entry = heapq.heappop(self._delayed)
            _, _, item, alone = entry
            if alone and self._suspect is not None:
                held.append(entry)
                continue
            if not self._budget.take(now):
                held.append(entry)
                break
            if alone:
                self._suspect = item
            found.append(item)
        for entry in held:
            heapq.heappush(self._delayed, entry)
        return found

    def state(self) -> dict[str, Any]:
        """Return what waits, for the dump."""
        suspect = self._suspect.request if self._suspect is not None else ""
        return {"waiting": len(self._delayed), "suspect": suspect}
