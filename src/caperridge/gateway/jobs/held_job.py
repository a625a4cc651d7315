"""In-memory state of a held job: its items, their runs, and unwritten results."""

import asyncio
from typing import Any

from caperridge.gateway.events import Event
from caperridge.gateway.jobs.model import (
    COMPLETED,
    DEAD,
    ItemProgress,
    ItemResult,
    JobEntry,
    JobHead,
    JobItem,
)
from caperridge.gateway.targets import Target

PENDING = "pending"
RUNNING = "running"
DONE = "done"  # the result is not in the store yet
LISTED = "listed"


class ItemState:
    """One item of a held job.

    Attributes:
        number: position in the job.
        item: as the caller sent it.
        status: ``PENDING``, ``RUNNING``, ``DONE`` or ``LISTED``.
        progress: output and failures so far.
        stored_event: number of the last event in the store.
        stored_failures: number of failures in the store.
        storable: whether its progress may be stored; the store has not refused it.
        not_before: earliest next start, in seconds of the loop's clock.
        started_at: start of the first run, in seconds of the loop's clock; 0 if it has
            not started or has started at another instance.
        task: that runs it.
        target: id of the target where it runs; empty if none.
    """

    __slots__ = (
        "item",
        "not_before",
        "number",
        "progress",
        "started_at",
        "status",
        "storable",
        "stored_event",
        "stored_failures",
        "target",
        "task",
    )

    def __init__(self, number: int, item: JobItem) -> None:
        self.number = number
        self.item = item
        self.status = PENDING
        self.progress = ItemProgress()
        self.stored_event = 0
        self.stored_failures = 0
        self.storable = True
        self.not_before = 0.0
        self.started_at = 0.0
        self.task: asyncio.Task[Any] | None = None
        self.target = ""

    @property
    def cancelling(self) -> bool:
        """Whether its run was cancelled and has not finished yet."""
        return self.task is not None and self.task.cancelling() > 0

    def cancel(self) -> None:
        """Cancel its run; the output so far is kept."""
        if self.task is not None and not self.cancelling:
            self.task.cancel()

    def start_over(self) -> None:
        """Drop the output so far; failures still count."""
        self.progress = ItemProgress(failures=self.progress.failures)

    def append_events(self, events: list[Event], target: Target) -> bool:
        """Append events up to the first out of order; False if there is one.

        Args:
            events: of one run.
            target: that runs it.
        """
        number = self.progress.event
        parts = [self.progress.text] if number else []
        in_order = True
        for event in events:
            if event.id < 0 and not event.data():
                continue  # comments
            in_order = event.id == number + 1
            if not in_order:
                break
            number = event.id
            parts.append(event.data())
        text = b"\n".join(parts)
        self.progress = ItemProgress(
            number,
            text,
            self.progress.failures,
            target.service,
            target.software_version,
            "" if target.id == target.name else target.id,
        )
        return in_order

    @property
    def has_unstored_progress(self) -> bool:
        """Whether there is progress that is not in the store.

        An item that started over may have less output than the store.
        """
        return self.storable and (
            self.progress.event not in (0, self.stored_event)
            or self.progress.failures > self.stored_failures
        )


class HeldJob:
    """State of a job at its holder.

    Attributes:
        entry: from the index.
        head: as last written or read.
        version: of the head's row.
        states: of the items, in the job's order.
        unlisted: results that are not in the store yet, oldest first.
        lost: whether another instance holds it now, or it was cancelled.
        releasing: whether it is being handed over.
        wake: set when something has to be written.
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
        """Whether all results are in the store, or no more will be written."""
        return self.lost or self.head.finished

    def restore_progress(self, number: int, progress: ItemProgress) -> None:
        """Restore the progress of an item that an earlier holder stored."""
        if number >= len(self.states):
            return
        state = self.states[number]
        state.progress = progress
        state.stored_event = progress.event
        state.stored_failures = progress.failures

    def restore_results(self, results: list[ItemResult]) -> None:
        """Mark the items of stored results as listed."""
        listed = {result.item for result in results}
        for state in self.states:
            if state.item.id in listed:
                state.status = LISTED

    def complete(self, state: ItemState) -> None:
        """Finish an item whose output is complete."""
        result = ItemResult(state.item.id, COMPLETED, state.progress.text)
        self._finish(state, result)

    def give_up_result(self, state: ItemState) -> None:
        """Replace an unlisted result that the store refuses by a dead one.

        If that is refused as well, no more of the job is written.
        """
        dead = ItemResult(state.item.id, DEAD)
        if (state, dead) in self.unlisted:
            self.abandon()
            return
        self.unlisted = [
            (one, dead if one is state else result) for one, result in self.unlisted
        ]

    def mark_dead(self, state: ItemState) -> None:
        """Finish an item that can never complete."""
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
        """Return the running items."""
        return [state for state in self.states if state.status == RUNNING]

    def abandon(self) -> None:
        """Work on the job no more; what is unwritten is dropped."""
        self.lost = True
        self.cancel_runs()

    def cancel_runs(self) -> None:
        """Cancel all runs; the output so far is kept."""
        for state in self.running():
            state.cancel()
