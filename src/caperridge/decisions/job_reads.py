"""Change feed and anti-entropy of the open jobs: when to read, what to take of a peer.

One instance of each availability zone, the reader, polls the row of changes and scans
the index of open jobs; it shares the results with its zone. The reader holds no lease:
two readers only cost additional reads, and no reader only costs time. The other
instances read by themselves

- at long intervals, so that a reader that is wrong without noticing does bounded harm,
- as often as the reader while no recent update of a reader was received,
- soon after an update with a gap, and after a hint that no update followed,
- soon after a digest of the open jobs that differs from their own.

Changes carry the sequence numbers of the row, so that updates from two readers, late
or duplicated updates and updates with a gap are recognised without knowing the sender.
"""

import enum
import random
from collections.abc import Iterable

import xxhash

from caperridge.records import Record

POLL_INTERVAL_S = 1.0
SCAN_INTERVAL_S = 30.0
FALLBACK_POLL_INTERVAL_S = 20.0
FALLBACK_SCAN_INTERVAL_S = 600.0
READER_TIMEOUT_S = 6.0
SHARE_INTERVAL_S = 2.0
HINT_DELAY_S = 2.0
MAX_CATCH_UP_DELAY_S = 1.0
NO_DIGEST = 0
JITTER_RATIO = 0.25


class UpdateKind(enum.Enum):
    """How a reader's update relates to the changes known here."""

    NEW = "new"
    SAME = "same"
    STALE = "stale"
    GAP = "gap"


class Changes(Record):
    """The changes of the row after ``base``, up to and including ``number``.

    Attributes:
        base: sequence number of the last change before them.
        number: sequence number of the newest change.
        changes: ``[subject, state]`` of each.
    """

    __slots__ = ("base", "changes", "number")

    def __init__(self, base: int, number: int, changes: list[list[str]]) -> None:
        self.base = base
        self.number = number
        self.changes = changes

    def is_consistent(self) -> bool:
        """Return whether the number of changes matches the sequence numbers."""
        return 0 <= self.base == self.number - len(self.changes)


def digest_of_jobs(job_ids: Iterable[str]) -> int:
    """Return a digest of a set of jobs; never :data:`NO_DIGEST`.

    >>> digest_of_jobs(["a", "b"]) == digest_of_jobs(["b", "a"])
    True
    """
    text = "\n".join(sorted(job_ids))
    return xxhash.xxh3_64_intdigest(text.encode()) or 1


class JobReadSchedule:
    """The changes that one instance knows, and when it reads next.

    All times are monotonic seconds.

    Args:
        rng: source of jitter, so that the instances of a zone do not read in step.

    Attributes:
        number: sequence number of the newest known change; None before the first read.
        open_ids: ids of the open jobs.
    """

    def __init__(self, rng: random.Random) -> None:
        self.number: int | None = None
        self.open_ids: set[str] = set()
        self._rng = rng
        self._last_received_at = float("-inf")
        self._reader_poll_at = float("-inf")
        self._fallback_poll_at = float("-inf")
        self._catch_up_at: float | None = None
        self._scan_pending = False
        self._scanned_at = float("-inf")
        self._scan_jitter = 1.0
        self._shared_at = float("-inf")

    def polls_as_reader(self, now: float, reader: bool) -> bool:
        """Return whether this instance polls at the reader's interval."""
        reader_silent = now - self._last_received_at >= READER_TIMEOUT_S
        return reader or self.number is None or reader_silent

    def poll_due(self, now: float, reader: bool) -> bool:
        """Return whether to poll the row of changes."""
        if self.polls_as_reader(now, reader) and now >= self._reader_poll_at:
            return True
        if self._catch_up_at is not None and now >= self._catch_up_at:
            return True
        return now >= self._fallback_poll_at

    def scan_due(self, now: float, reader: bool) -> bool:
        """Return whether a poll must be followed by a scan of the open jobs."""
        if self._scan_pending:
            return True
        every_s = (
            SCAN_INTERVAL_S
            if self.polls_as_reader(now, reader)
            else FALLBACK_SCAN_INTERVAL_S
        )
        return now - self._scanned_at >= every_s * self._scan_jitter

    def record_hint(self, now: float, reader: bool) -> None:
        """Record a hint of a peer that a job changed."""
        if reader or self.number is None:
            self._reader_poll_at = now
            return
        # The reader got the hint too; its update normally arrives before this poll.
        self._catch_up_by(now + HINT_DELAY_S * self._jitter())

    def record_poll_sent(self, now: float) -> None:
        """Record that a poll was sent."""
        self._reader_poll_at = now + POLL_INTERVAL_S * self._jitter()
        self._fallback_poll_at = now + FALLBACK_POLL_INTERVAL_S * self._jitter()
        self._catch_up_at = None

    def record_read_failed(self, now: float) -> None:
        """Record that a poll or scan failed; a pending scan is retried soon."""
        if self._scan_pending:
            self._catch_up_by(now + POLL_INTERVAL_S * self._jitter())

    def record_poll(self, number: int) -> None:
        """Record that every change up to ``number`` was applied."""
        self.number = number

    def record_scan(self, now: float, number: int, open_ids: set[str]) -> None:
        """Record a scan of the open jobs.

        Args:
            now: when it was read.
            number: the newest change when the scan was sent.
            open_ids: ids of the open jobs.
        """
        self.number = number
        self.open_ids = open_ids
        self._scanned_at = now
        self._scan_jitter = self._jitter()
        self._scan_pending = False

    def share_due(self, now: float, has_updates: bool) -> bool:
        """Return whether the reader should share now; if so, record that it did."""
        if not has_updates and now - self._shared_at < SHARE_INTERVAL_S:
            return False
        self._shared_at = now
        return True

    def receive(
        self, now: float, update: Changes
    ) -> tuple[UpdateKind, list[list[str]]]:
        """Classify a reader's update; return the changes that are new here.

        They count as applied: the caller applies them or calls :meth:`schedule_scan`.
        """
        if (
            self.number is None
            or not update.is_consistent()
            or update.number < self.number
        ):
            # An update older than what is known does not describe the current state.
            return UpdateKind.STALE, []
        if update.base > self.number:
            self._last_received_at = now
            self._catch_up_by(now + MAX_CATCH_UP_DELAY_S * self._rng.random())
            return UpdateKind.GAP, []
        self._last_received_at = now
        if update.number == self.number:
            return UpdateKind.SAME, []
        new_changes = update.changes[self.number - update.base :]
        self.number = update.number
        if not self._scan_pending:
            self._catch_up_at = None
        return UpdateKind.NEW, new_changes

    def compare_digest(self, now: float, number: int, digest: int) -> None:
        """Compare the open jobs with the digest of a reader's scan."""
        if digest == NO_DIGEST or number != self.number:
            return
        if digest != digest_of_jobs(self.open_ids):
            self.schedule_scan(now)

    def schedule_scan(self, now: float) -> None:
        """Schedule a scan soon, because a change is known to be missing."""
        self._scan_pending = True
        self._catch_up_by(now + MAX_CATCH_UP_DELAY_S * self._rng.random())

    def _catch_up_by(self, at: float) -> None:
        if self._catch_up_at is None or at < self._catch_up_at:
            self._catch_up_at = at

    def _jitter(self) -> float:
        return 1 + JITTER_RATIO * (2 * self._rng.random() - 1)
