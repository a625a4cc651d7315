"""Who orders a target: one instance at a time, through a row of the table.

The row names the holder's session and a fencing number, which each take-over raises.
The row is written on a take-over and a release only; the session's renewals keep the
hold alive. A holder whose session ended may still act for a moment: a target that
checks fencing numbers refuses it, and before any other target gets its first order
from a new holder, the former one's lease is waited out.
"""

from caperridge.records import Record

ALIVE = "alive"
CLOCK_DRIFT_RATIO = 0.05  # share of a lease by which clocks may run apart


class OrderRow(Record):
    """The row of a target; ``holder`` is a session, empty once released."""

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
    """Write the row with this fencing number; order nothing before ``not_before``."""

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
    """Somebody else holds it, as far as is known."""

    __slots__ = ()


Decision = TakeOver | DeclareLapsed | Wait


class OrderLease:
    """What one instance knows of who orders one target.

    Args:
        checks_fencing: whether the target refuses an old fencing number.
    """

    __slots__ = (
        "_not_before",
        "_seen_version",
        "_since",
        "_watched",
        "checks_fencing",
        "fence",
        "session",
    )

    def __init__(self, checks_fencing: bool = True) -> None:
        self.checks_fencing = checks_fencing
        self.fence = 0
        self.session = ""
        self._not_before = 0.0
        self._watched = ""
        self._seen_version = 0
        self._since = 0.0

    def held_by(self, session: str) -> bool:
        """Return whether this instance holds the target under ``session``."""
        return bool(session) and self.session == session

    def decide(
        self, row: OrderRow | None, holder: SessionRow, own_session: str, now: float
    ) -> Decision:
        """Return what to do about a target that this instance should order.

        Args:
            row: as read; None if nobody ever ordered the target.
            holder: the session that the row names.
            own_session: under which this instance would hold it.
            now: monotonic seconds.
        """
        if row is None:
            return TakeOver(1, now)
        if row.holder in ("", own_session):
            return TakeOver(row.fence + 1, now)
        if not self._unrenewed(row.holder, holder):
            self._since = now
        self._watched, self._seen_version = row.holder, holder.version
        over = self._since + row.lease_s * (1 + CLOCK_DRIFT_RATIO)
        if holder.state == ALIVE:
            if now < over:
                return Wait()
            return DeclareLapsed(row.holder, holder.version)
        # Whoever ended the session, its holder may believe in it until its own clock
        # says otherwise; only a number that the target checks makes up for that.
        return TakeOver(row.fence + 1, now if self.checks_fencing else over)

    def _unrenewed(self, session: str, seen: SessionRow) -> bool:
        """Return whether the holder cannot have renewed since the last look."""
        if session != self._watched:
            return False
        if seen.version == self._seen_version:
            return True
        # The write that ended the session raised its row's version once.
        return seen.state != ALIVE and seen.version == self._seen_version + 1

    def record_takeover(self, session: str, taken: TakeOver) -> None:
        """Note that the row is written."""
        self.session = session
        self.fence = taken.fence
        self._not_before = taken.not_before
        self._watched = ""

    def mark_lost(self) -> None:
        """Note that the target is not held, or no longer."""
        self.session = ""

    def may_order(
        self, session: str, left_s: float, deadline_s: float, now: float
    ) -> bool:
        """Return whether an order may leave now.

        Args:
            session: the own session now.
            left_s: what is left of its lease.
            deadline_s: after which the order is given up; within the lease.
            now: monotonic seconds.
        """
        if not self.held_by(session) or now < self._not_before:
            return False
        return left_s > deadline_s
