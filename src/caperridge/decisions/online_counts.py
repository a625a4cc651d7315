"""Counts of the online requests that each instance has at a target, with expiry.

Updates may be lost, late or duplicated. Each carries a sequence number of its sender;
an older one is ignored. A sender repeats its update while it has requests in flight, so
a count that is not repeated expires.
"""

from caperridge.records import Record

COUNT_TTL_S = 3.5  # slightly more than three repeats, which are sent once a second


class SenderCount(Record):
    """The last update of one sender about one target."""

    __slots__ = ("expires_at", "in_flight", "sequence")

    def __init__(self, in_flight: int, sequence: int, expires_at: float) -> None:
        self.in_flight = in_flight
        self.sequence = sequence
        self.expires_at = expires_at


class OnlineCounts:
    """The counts of one target.

    >>> counts = OnlineCounts()
    >>> counts.update("entry-2", 3, sequence=8, now=0.0)
    True
    >>> counts.update("entry-2", 9, sequence=7, now=0.1)
    False
    >>> counts.total(0.2), counts.total(9.0)
    (3, 0)
    """

    __slots__ = ("_counts_by_sender", "_next_expiry", "_total")

    def __init__(self) -> None:
        self._counts_by_sender: dict[str, SenderCount] = {}
        self._total = 0
        self._next_expiry = float("inf")

    def update(
        self, sender: str, in_flight: int, sequence: int = 0, now: float = 0.0
    ) -> bool:
        """Apply a sender's count; return whether the update was new.

        Args:
            sender: the instance that has the requests.
            in_flight: how many it has at the target.
            sequence: rises with each update of the sender; 0 for an update of this
                process, which needs no order and does not expire.
            now: monotonic seconds.
        """
        self._expire(now)
        known = self._counts_by_sender.get(sender)
        if known is not None:
            if sequence and sequence <= known.sequence:
                return False
            self._total -= known.in_flight
        expires_at = now + COUNT_TTL_S if sequence else float("inf")
        # A zero is stored as well, since its sequence number rejects older updates.
        count = SenderCount(in_flight, sequence, expires_at)
        self._counts_by_sender[sender] = count
        self._total += in_flight
        self._next_expiry = min(self._next_expiry, expires_at)
        return True

    def remove(self, sender: str) -> None:
        """Remove a sender that is no longer live."""
        known = self._counts_by_sender.pop(sender, None)
        if known is not None:
            self._total -= known.in_flight

    def total(self, now: float) -> int:
        """Return the known number of online requests at the target."""
        self._expire(now)
        return self._total

    def senders(self) -> list[str]:
        """Return the known senders, sorted."""
        return sorted(self._counts_by_sender)

    def _expire(self, now: float) -> None:
        if now < self._next_expiry:
            return
        self._next_expiry = float("inf")
        for sender, count in list(self._counts_by_sender.items()):
            if count.expires_at <= now:
                self.remove(sender)
                continue
            self._next_expiry = min(self._next_expiry, count.expires_at)
