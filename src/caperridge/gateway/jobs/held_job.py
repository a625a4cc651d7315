"""A job that this instance works on: its items, what runs, and what is to be kept."""

import asyncio
from typing import Any

from caperridge.gateway.events import Event
from caperridge.gateway.fingerprint import Fingerprint
from caperridge.gateway.jobs.model import (
    COMPLETED,
    DEAD,
    ItemProgress,
    ItemResult,
    JobEntry,
    JobHead,
    JobItem,
)

PENDING = "pending"
RUNNING = "running"
DONE = "done"  # its result is not in the store yet
LISTED = "listed"


class ItemState:
    """One item of a held job.

    Attributes:
        number: its place in the job.
        item: as the caller sent it.
        status: ``PENDING``, ``RUNNING``, ``DONE`` or ``LISTED``.
        progress: what is known of its output.
        kept_event: last event of it that is in the store.
        not_before: when it may start again, on the loop's clock.
        started_at: when its first run began, on the loop's clock; 0 if it has not begun
            or has begun elsewhere.
        task: that runs it.
        target: id of the target it runs at; empty if none.
        mark: what it asks for, once that mattered.
    """

    __slots__ = (
        "item",
        "kept_event",
        "kept_failures",
        "mark",
        "not_before",
        "number",
        "progress",
        "started_at",
        "status",
        "target",
        "task",
    )

    def __init__(self, number: int, item: JobItem) -> None:
        self.number = number
        self.item = item
        self.status = PENDING
        self.progress = ItemProgress()
        self.kept_event = 0
        self.kept_failures = 0
        self.not_before = 0.0
        self.started_at = 0.0
        self.task: asyncio.Task[Any] | None = None
        self.target = ""
        self.mark: Fingerprint | None = None

    @property
    def cancelling(self) -> bool:
        """Whether its run was cancelled and has not ended yet."""
        return self.task is not None and self.task.cancelling() > 0

    def cancel(self) -> None:
        """Cancel its run; what came of its output stays."""
        if self.task is not None and not self.cancelling:
            self.task.cancel()

    def take(self, events: list[Event]) -> bool:
        """Add events to its output; False if one is not the next, which is left."""
        number = self.progress.event
        parts = [self.progress.text] if number else []
        in_order = True
        for event in events:
            in_order = event.id == number + 1
            if not in_order:
                break
            number = event.id
            parts.append(event.data())
        text = b"\n".join(parts)
        self.progress = ItemProgress(number, text, self.progress.failures)
        return in_order

    @property
    def has_news(self) -> bool:
        """Whether the store lacks progress."""
        return (
            self.progress.event > self.kept_event
            or self.progress.failures > self.kept_failures
        )


class HeldJob:
    """The job's state at its holder.

    Attributes:
        entry: from the index.
        head: as last written or read.
        version: of the head's row.
        states: of the items, in the job's order.
        unlisted: results that are not in the store yet, oldest first.
        lost: another instance holds it now, or it was cancelled.
        wake: set when something is to be kept.
    """

    def __init__(
        self, entry: JobEntry, head: JobHead, version: int, items: list[JobItem]
    ) -> None:
        self.entry = entry
        self.head = head
        self.version = version
        self.states = [ItemState(number, item) for number, item in enumerate(items)]
        self.unlisted: list[tuple[ItemState, ItemResult]] = []
        self.lost = False
        self.releasing = False
        self.wake = asyncio.Event()

    @property
    def waiting_tokens(self) -> int:
        """Tokens of items that are not done."""
        return sum(
            state.item.tokens
            for state in self.states
            if state.status in (PENDING, RUNNING)
        )

    @property
    def finished(self) -> bool:
        """All results are in the store, or no more will come."""
        return self.lost or self.head.finished

    def restore_progress(self, number: int, progress: ItemProgress) -> None:
        """Take what an earlier holder kept of an item."""
        if number >= len(self.states):
            return
        state = self.states[number]
        state.progress = progress
        state.kept_event = progress.event
        state.kept_failures = progress.failures

    def restore_results(self, results: list[ItemResult]) -> None:
        """Take the results that are listed."""
        listed = {result.item for result in results}
        for state in self.states:
            if state.item.id in listed:
                state.status = LISTED

    def complete(self, state: ItemState) -> None:
        """Take an item's whole output."""
        result = ItemResult(state.item.id, COMPLETED, state.progress.text)
        self._finish(state, result)

    def bury(self, state: ItemState) -> None:
        """Take note that an item can never be done."""
        self._finish(state, ItemResult(state.item.id, DEAD))

    def _finish(self, state: ItemState, result: ItemResult) -> None:
        if state.status in (DONE, LISTED):
            return
        state.status = DONE
        self.unlisted.append((state, result))
        self.wake.set()

    def pending(self, now: float) -> list[ItemState]:
        """Return the items that may start at ``now``."""
        if self.lost or self.releasing:
            return []
        return [
            state
            for state in self.states
            if state.status == PENDING and state.not_before <= now
        ]

    def running(self) -> list[ItemState]:
        """Return the items that run."""
        return [state for state in self.states if state.status == RUNNING]

    def stop_runs(self) -> None:
        """Cancel what runs; their progress stays."""
        for state in self.running():
            state.cancel()
