"""What an instance knows of the teams it serves, and its reports about them."""

import asyncio

from caperridge.decisions.quota import LocalBucket, UsualRate
from caperridge.gateway.quota_ledger import Verdict


class TeamUse:
    """What this instance knows of one team.

    Attributes:
        spent: to be reported; negative if more was given back than served.
        unreported: served without asking since the last report.
        unconfirmed: served without asking and not confirmed by the owner.
        waiting: requests that wait for a grant of the owner.
        free_until: the owner need not be asked until this time.
        silent_until: the owner is not asked until this time, as it did not answer.
        used_at: when its last request came.
        usual: rate of its requests here.
        alone: what may be served while no owner answers.
        verdict: the last word of the owner.
        verdict_at: when it came.
    """

    __slots__ = (
        "alone",
        "free_until",
        "silent_until",
        "spent",
        "unconfirmed",
        "unreported",
        "used_at",
        "usual",
        "verdict",
        "verdict_at",
        "waiting",
    )

    def __init__(self, now: float) -> None:
        self.used_at = now
        self.spent = 0
        self.unreported = 0
        self.unconfirmed = 0
        self.waiting: list[asyncio.Future[float | None]] = []
        self.free_until = 0.0
        self.silent_until = 0.0
        self.usual = UsualRate(now)
        self.alone = LocalBucket(1.0, now)
        self.verdict: Verdict | None = None
        self.verdict_at = 0.0

    def is_used_up(self, window_s: float, now: float) -> bool:
        """Whether the owner allowed no more request, no longer ago than a window."""
        if self.verdict is None or now - self.verdict_at > window_s:
            return False
        return self.verdict.left < 1


class Report:
    """A report on its way to an owner.

    Attributes:
        owner: that it was sent to.
        shares_by_team: what it says of each team.
    """

    __slots__ = ("owner", "shares_by_team")

    def __init__(self, owner: str, shares_by_team: dict[str, "TeamShare"]) -> None:
        self.owner = owner
        self.shares_by_team = shares_by_team


class TeamShare:
    """The part of one team in a report.

    Attributes:
        spent: see :class:`TeamUse`.
        unreported: see :class:`TeamUse`.
        waiting: see :class:`TeamUse`.
    """

    __slots__ = ("spent", "unreported", "waiting")

    def __init__(self, use: TeamUse) -> None:
        self.spent = use.spent
        self.unreported = use.unreported
        self.waiting = use.waiting
        use.spent = 0
        use.unreported = 0
        use.waiting = []
