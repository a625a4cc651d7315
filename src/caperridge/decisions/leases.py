"""Leases: how long a holder may rely on its own, and when others declare it lapsed.

Neither side compares its clock with the other's. The holder counts from before it
sent a renewal that succeeded; an observer counts how long the row has been unchanged.
Both only decide when to act: a holder that acts too late is harmless because every
claim and commit is conditional on its session's row.
"""

from caperridge.records import Record

RENEWALS_PER_LEASE = 2
RENEWAL_RETRY_DELAY_S = 0.4
LAPSE_MARGIN_RATIO = 0.2
MAX_READ_GAP_RATIO = 0.75


class Lease:
    """The lease of this instance, on its own monotonic clock.

    Args:
        lease_s: how long it lasts, counted from when a renewal was sent.
    """

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        self._expires_at = float("-inf")
        self._renew_at = float("-inf")

    def record_renewal(self, sent: float) -> None:
        """Record that a renewal, sent at ``sent``, took effect."""
        self._expires_at = sent + self.lease_s
        self._renew_at = sent + self.lease_s / RENEWALS_PER_LEASE

    def record_failed_renewal(
        self, now: float, retry_after_s: float, jitter: float
    ) -> None:
        """Record a renewal that did not or may not have taken effect.

        Args:
            now: when it failed.
            retry_after_s: delay that the platform asked for; 0 for none.
            jitter: from 0 to 1, so that holders do not retry all at once.
        """
        self._renew_at = now + max(RENEWAL_RETRY_DELAY_S, retry_after_s) * (
            0.5 + jitter
        )

    def mark_lost(self) -> None:
        """Record that the session was declared lapsed."""
        self._expires_at = float("-inf")
        self._renew_at = float("-inf")

    def renewal_due(self, now: float) -> bool:
        """Return whether to renew now."""
        return now >= self._renew_at

    def remaining_s(self, now: float) -> float:
        """Return the remaining time of the lease; 0 or less if it has expired."""
        return self._expires_at - now


class WatchedSession(Record):
    """A session's row as observed: its version and since when it is unchanged."""

    __slots__ = ("lease_s", "unchanged_since", "version")

    def __init__(self, version: int, lease_s: float, unchanged_since: float) -> None:
        self.version = version
        self.lease_s = lease_s
        self.unchanged_since = unchanged_since


class SessionWatch:
    """Detects sessions that were not renewed for their lease and a margin.

    While the observer cannot read, it observes nothing: after a gap between reads it
    starts over, so that an outage of the platform does not end the sessions of holders
    that could not renew either.
    """

    def __init__(self) -> None:
        self._watched_by_id: dict[str, WatchedSession] = {}
        self._read_at = float("-inf")

    def observe(
        self, rows: dict[str, tuple[int, float]], before: float, after: float
    ) -> dict[str, int]:
        """Evaluate a read of all live sessions.

        Args:
            rows: row version and lease in seconds by session id.
            before: when the read was sent, monotonic seconds.
            after: when its answer arrived, monotonic seconds.

        Returns:
            The row versions of lapsed sessions by session id.
        """
        gap = after - self._read_at
        self._read_at = before
        lapsed: dict[str, int] = {}
        watched_by_id: dict[str, WatchedSession] = {}
        for session_id, (version, lease_s) in rows.items():
            watched = self._watched_by_id.get(session_id)
            changed = watched is None or watched.version != version
            if changed or gap > lease_s * MAX_READ_GAP_RATIO:
                # Counted from the answer: the row may be older than the request.
                watched_by_id[session_id] = WatchedSession(version, lease_s, after)
                continue
            watched_by_id[session_id] = watched
            if before - watched.unchanged_since >= lease_s * (1 + LAPSE_MARGIN_RATIO):
                lapsed[session_id] = version
        self._watched_by_id = watched_by_id
        return lapsed
