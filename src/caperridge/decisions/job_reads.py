"""When to read what changed among the jobs, and what to make of a peer's reading.

One instance of each availability zone, the reader, polls the row of changes and scans
the index of open jobs; what it finds it shares with its zone. It holds no lease: two
readers cost reads, none costs time. The others read for themselves

- seldom, so that a reader that is wrong without knowing it does bounded harm,
- as often as the reader while nothing new enough was heard of one,
- soon after news with a gap, and after a hint that no news followed,
- soon after a digest of the open jobs that is not that of their own.

The numbers of the changes are those of the row, so news from two readers, late or
doubled news, and news with a gap are told apart without knowing who sent them.
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
    """What news of a reader is worth."""

    NEW = "new"
    SAME = "same"
    STALE = "stale"
    GAP = "gap"


class Changes(Record):
    """Changes of the row: those after ``base``, up to ``number``.

    Attributes:
        base: number of the last change before them.
        number: of the newest change.
        changes: ``[subject, state]`` of each.
    """

    __slots__ = ("base", "changes", "number")

    def __init__(self, base: int, number: int, changes: list[list[str]]) -> None:
        self.base = base
        self.number = number
        self.changes = changes

    def is_consistent(self) -> bool:
        """Return whether there are as many changes as the numbers say."""
        return 0 <= self.base == self.number - len(self.changes)


def digest_of_jobs(job_ids: Iterable[str]) -> int:
    """Return a digest of a set of jobs; never :data:`NO_DIGEST`.

    >>> digest_of_jobs(["a", "b"]) == digest_of_jobs(["b", "a"])
    True
    """
    text = "\n".join(sorted(job_ids))
    return xxhash.xxh3_64_intdigest(text.encode()) or 1


class JobReadSchedule:
    """What one instance knows of the changes, and when it reads next.

    Args:
        jitter: so that the instances of a zone do not read in step.
    """

    def __init__(self, jitter: random.Random) -> None:
        self.number: int | None = None
        self.open_ids: set[str] = set()
        self._random = jitter
        self._heard_at = float("-inf")
        self._fast_at = float("-inf")
        self._slow_at = float("-inf")
        self._soon_at: float | None = None
        self._scan_wanted = False
        self._scanned_at = float("-inf")
        self._scan_share = 1.0
        self._shared_at = float("-inf")

    def polls_as_reader(self, now: float, reader: bool) -> bool:
        """Return whether this instance has to read as a reader does."""
        quiet = now - self._heard_at >= READER_TIMEOUT_S
        return reader or self.number is None or quiet

    def poll_due(self, now: float, reader: bool) -> bool:
        """Return whether to poll the row of changes."""
        if self.polls_as_reader(now, reader) and now >= self._fast_at:
            return True
        if self._soon_at is not None and now >= self._soon_at:
            return True
        return now >= self._slow_at

    def scan_due(self, now: float, reader: bool) -> bool:
        """Return whether a poll is to be followed by a scan of the open jobs."""
        if self._scan_wanted:
            return True
        every_s = (
            SCAN_INTERVAL_S
            if self.polls_as_reader(now, reader)
            else FALLBACK_SCAN_INTERVAL_S
        )
        return now - self._scanned_at >= every_s * self._scan_share

    def record_hint(self, now: float, reader: bool) -> None:
        """Note that something changed, as somebody says."""
        if reader or self.number is None:
            self._fast_at = now
            return
        # The reader was told too; its news comes first unless something is wrong.
        self._read_by(now + HINT_DELAY_S * self._draw())

    def record_poll_sent(self, now: float) -> None:
        """Note that a poll was sent."""
        self._fast_at = now + POLL_INTERVAL_S * self._draw()
        self._slow_at = now + FALLBACK_POLL_INTERVAL_S * self._draw()
        self._soon_at = None

    def record_read_failed(self, now: float) -> None:
        """Note that a poll or scan failed; what was wanted soon still is."""
        if self._scan_wanted:
            self._read_by(now + POLL_INTERVAL_S * self._draw())

    def record_poll(self, number: int) -> None:
        """Note that every change up to ``number`` was taken."""
        self.number = number

    def record_scan(self, now: float, number: int, open_ids: set[str]) -> None:
        """Note a scan of the open jobs, sent when ``number`` was the newest change."""
        self.number = number
        self.open_ids = open_ids
        self._scanned_at = now
        self._scan_share = self._draw()
        self._scan_wanted = False

    def share_due(self, now: float, news: bool) -> bool:
        """Return whether the reader is to tell its zone; if so, it is taken as told."""
        if not news and now - self._shared_at < SHARE_INTERVAL_S:
            return False
        self._shared_at = now
        return True

    def receive(self, now: float, told: Changes) -> tuple[UpdateKind, list[list[str]]]:
        """Weigh a reader's news; return the changes that are new here.

        They count as taken: the caller acts on them, or calls :meth:`unread`.
        """
        if self.number is None or not told.is_consistent() or told.number < self.number:
            # What is older than what is known says nothing of how things are now.
            return UpdateKind.STALE, []
        if told.base > self.number:
            self._heard_at = now
            self._read_by(now + MAX_CATCH_UP_DELAY_S * self._random.random())
            return UpdateKind.GAP, []
        self._heard_at = now
        if told.number == self.number:
            return UpdateKind.SAME, []
        fresh = told.changes[self.number - told.base :]
        self.number = told.number
        if not self._scan_wanted:
            self._soon_at = None
        return UpdateKind.NEW, fresh

    def compare_digest(self, now: float, number: int, digest: int) -> None:
        """Compare the open jobs with those that a reader found in its scan."""
        if digest == NO_DIGEST or number != self.number:
            return
        if digest != digest_of_jobs(self.open_ids):
            self.schedule_scan(now)

    def schedule_scan(self, now: float) -> None:
        """Scan soon, as something is known to be missing."""
        self._scan_wanted = True
        self._read_by(now + MAX_CATCH_UP_DELAY_S * self._random.random())

    def _read_by(self, at: float) -> None:
        if self._soon_at is None or at < self._soon_at:
            self._soon_at = at

    def _draw(self) -> float:
        return 1 + JITTER_RATIO * (2 * self._random.random() - 1)
