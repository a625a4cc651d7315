"""Leases: how long a holder may believe in its own, and when others end it.

Neither side compares clocks with the other. The holder counts from before it sent a
renewal that succeeded; an observer counts how long it has watched the row without a
change. Both only decide when to act: what makes a late holder harmless is that every
claim and commit is conditional on its session's row.
"""

from caperridge.records import Record

RENEWALS_PER_LEASE = 2
RENEWAL_RETRY_DELAY_S = 0.4
LAPSE_MARGIN_RATIO = 0.2
MAX_READ_GAP_RATIO = 0.75


class Lease:
    """The own lease, on the holder's monotonic clock.

    Args:
        lease_s: how long it lasts from before a renewal was sent.
    """

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        self._until = float("-inf")
        self._renew_at = float("-inf")

    def record_renewal(self, sent: float) -> None:
        """Note that a renewal, sent at ``sent``, took effect."""
        self._until = sent + self.lease_s
        self._renew_at = sent + self.lease_s / RENEWALS_PER_LEASE

    def record_failed_renewal(
        self, now: float, retry_after_s: float, jitter: float
    ) -> None:
        """Note a renewal that did not or may not have taken effect.

        Args:
            now: of the answer.
            retry_after_s: what the platform asked for; 0 for nothing.
            jitter: from 0 to 1, so that all holders do not come back together.
        """
        self._renew_at = now + max(RENEWAL_RETRY_DELAY_S, retry_after_s) * (
            0.5 + jitter
        )

    def mark_lost(self) -> None:
        """Note that the session was declared lapsed."""
        self._until = float("-inf")
        self._renew_at = float("-inf")

    def renewal_due(self, now: float) -> bool:
        """Return whether to renew."""
        return now >= self._renew_at

    def remaining_s(self, now: float) -> float:
        """Return what is left; not above 0: none."""
        return self._until - now


class WatchedSession(Record):
    """A session's row as watched: its version and since when it stands still."""

    __slots__ = ("lease_s", "unchanged_since", "version")

    def __init__(self, version: int, lease_s: float, unchanged_since: float) -> None:
        self.version = version
        self.lease_s = lease_s
        self.unchanged_since = unchanged_since


class SessionWatch:
    """Finds the sessions that stood still for their lease and a margin.

    While the observer cannot read, it has watched nothing: after a gap it starts
    anew, so that an outage of the platform does not end the sessions of holders that
    could not renew either.
    """

    def __init__(self) -> None:
        self._seen_by_id: dict[str, WatchedSession] = {}
        self._read_at = float("-inf")

    def observe(
        self, rows: dict[str, tuple[int, float]], before: float, after: float
    ) -> dict[str, int]:
        """Take one read of all sessions alive; return versions of lapsed ones by id.

        Args:
            rows: version and lease in seconds by session id.
            before: monotonic seconds when the read was sent.
            after: when its answer came.
        """
        gap = after - self._read_at
        self._read_at = before
        lapsed: dict[str, int] = {}
        seen_by_id: dict[str, WatchedSession] = {}
        for session_id, (version, lease_s) in rows.items():
            seen = self._seen_by_id.get(session_id)
            fresh = seen is None or seen.version != version
            if fresh or gap > lease_s * MAX_READ_GAP_RATIO:
                # From the answer, not the question: the row may be older than that.
                seen_by_id[session_id] = WatchedSession(version, lease_s, after)
                continue
            seen_by_id[session_id] = seen
            if before - seen.unchanged_since >= lease_s * (1 + LAPSE_MARGIN_RATIO):
                lapsed[session_id] = version
        self._seen_by_id = seen_by_id
        return lapsed
