"""Leases with fencing tokens: one instance at a time sends orders to a target.

The row of a target names the holder's session and a fencing number that each takeover
increments. The row is written only on a takeover and a release; renewals of the
session keep the lease alive. A holder whose session ended may still act for a moment:
a target that checks fencing numbers refuses it; for any other target, the new holder
waits until the previous lease has expired before it sends its first order.
"""

from caperridge.records import Record

ALIVE = "alive"
CLOCK_DRIFT_RATIO = 0.05  # share of a lease by which two clocks may drift apart


class OrderRow(Record):
    """The row of a target; ``holder`` is a session id, empty after a release."""

    __slots__ = ("fence", "holder", "lease_s")

    def __init__(self, holder: str = "", fence: int = 0, lease_s: float = 0.0) -> None:
        self.holder = holder
        self.fence = fence
        self.lease_s = lease_s


class SessionRow(Record):
    """A session's row as read; ``state`` is empty if there is none."""

    __slots__ = ("state", "version")

    def __init__(self, state: str = "", version: int = 0) -> None:
        self.state = state
        self.version = version


class TakeOver(Record):
    """Write the row with this fencing number; send no order before ``not_before``."""

    __slots__ = ("fence", "not_before")

    def __init__(self, fence: int, not_before: float) -> None:
        self.fence = fence
        self.not_before = not_before


class DeclareLapsed(Record):
    """The holder's session was not renewed for its whole lease: declare it lapsed."""

    __slots__ = ("session", "version")

    def __init__(self, session: str, version: int) -> None:
        self.session = session
        self.version = version


class Wait(Record):
    """Another instance may still hold the lease."""

    __slots__ = ()


Decision = TakeOver | DeclareLapsed | Wait


class OrderLease:
    """The lease of one target as seen by one instance.

    Args:
        checks_fencing: whether the target refuses an old fencing number.

    Attributes:
        fence: the fencing number while this instance holds the lease.
        session: the own session that holds it; empty if it is not held.
    """

    __slots__ = (
        "_last_version",
        "_not_before",
        "_unchanged_since",
        "_watched_session",
        "checks_fencing",
        "fence",
        "session",
    )

    def __init__(self, checks_fencing: bool = True) -> None:
        self.checks_fencing = checks_fencing
        self.fence = 0
        self.session = ""
        self._not_before = 0.0
        self._watched_session = ""
        self._last_version = 0
        self._unchanged_since = 0.0

    def held_by(self, session: str) -> bool:
        """Return whether this instance holds the target under ``session``."""
        return bool(session) and self.session == session

    def decide(
        self, row: OrderRow | None, holder: SessionRow, own_session: str, now: float
    ) -> Decision:
        """Return how to proceed with a target that this instance should order.

        Args:
            row: as read; None if the target never had a holder.
            holder: row of the session that ``row`` names.
            own_session: the session under which this instance would hold it.
            now: monotonic seconds.
        """
        if row is None:
            return TakeOver(1, now)
        if row.holder in ("", own_session):
            return TakeOver(row.fence + 1, now)
        if not self._is_unrenewed(row.holder, holder):
            self._unchanged_since = now
        self._watched_session, self._last_version = row.holder, holder.version
        expires_at = self._unchanged_since + row.lease_s * (1 + CLOCK_DRIFT_RATIO)
        if holder.state == ALIVE:
            if now < expires_at:
                return Wait()
            return DeclareLapsed(row.holder, holder.version)
        # Whoever ended the session, its holder may rely on it until its own clock says
        # otherwise; only a fencing number that the target checks protects against that.
        return TakeOver(row.fence + 1, now if self.checks_fencing else expires_at)

    def _is_unrenewed(self, session: str, row: SessionRow) -> bool:
        """Return whether the holder cannot have renewed since the last read."""
        if session != self._watched_session:
            return False
        if row.version == self._last_version:
            return True
        # The write that ended the session incremented its row's version once.
        return row.state != ALIVE and row.version == self._last_version + 1

    def record_takeover(self, session: str, takeover: TakeOver) -> None:
        """Record that the row was written."""
        self.session = session
        self.fence = takeover.fence
        self._not_before = takeover.not_before
        self._watched_session = ""

    def mark_lost(self) -> None:
        """Record that the lease is not held, or no longer held."""
        self.session = ""

    def may_order(
        self, session: str, remaining_s: float, deadline_s: float, now: float
    ) -> bool:
        """Return whether an order may be sent now.

        Args:
            session: the current session of this instance.
            remaining_s: remaining time of its lease.
            deadline_s: time-out of the order, which must end within the lease.
            now: monotonic seconds.
        """
        if not self.held_by(session) or now < self._not_before:
            return False
        return remaining_s > deadline_s
