"""Batch items that wait for a place, those that have begun before the others."""

from collections import deque

from caperridge.instance.item_work import ItemWork


class WaitingItems:
    """What waits, in order, by service.

    Attributes:
        works_by_service: the items; the first is the next to start.
    """

    def __init__(self) -> None:
        self.works_by_service: dict[str, deque[ItemWork]] = {}

    def add(self, work: ItemWork) -> None:
        """Take an item in: at the end, or in front if it has tokens already."""
        if work.texts:
            self.put_back(work)
            return
        self._of(work.service).append(work)

    def put_back(self, work: ItemWork) -> None:
        """Take in an item that ran, as the next to start."""
        self._of(work.service).appendleft(work)

    def drop_job(self, job: str) -> None:
        """Forget every item of ``job``."""
        for waiting in self.works_by_service.values():
            kept = [work for work in waiting if work.job != job]
            waiting.clear()
            waiting.extend(kept)

    def clear(self) -> None:
        """Forget everything."""
        self.works_by_service.clear()

    def count(self, service: str) -> int:
        """Return how many items of ``service`` wait."""
        return len(self.works_by_service.get(service, ()))

    def counts(self) -> dict[str, int]:
        """Return how many wait, by service."""
        return {name: len(works) for name, works in self.works_by_service.items()}

    def _of(self, service: str) -> deque[ItemWork]:
        return self.works_by_service.setdefault(service, deque())
