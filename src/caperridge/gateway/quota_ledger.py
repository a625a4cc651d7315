"""The windows of the teams that this instance owns."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from caperridge.decisions.quota import QuotaLimit, Reach, TeamWindow
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.quota_messages import QuotaHandover
from caperridge.records import Record

# After a change of the members, windows that are new here may have a history elsewhere.
SETTLING_S = 10.0
# A window that nobody reported for this long is empty.
IDLE_EXPIRY_S = 60.0
MAX_DUMPED_TEAMS = 10


class Verdict(Record):
    """The owner's answer for one team; see :class:`QuotaVerdict`."""

    __slots__ = ("granted", "left", "scarce", "step_s", "wait_s")

    def __init__(
        self, granted: int, scarce: bool, left: float, wait_s: float, step_s: float
    ) -> None:
        self.granted = granted
        self.scarce = scarce
        self.left = left
        self.wait_s = wait_s
        self.step_s = step_s

    def to_fields(self, team: str) -> list[Any]:
        """Return the fields of a team in a :class:`QuotaVerdict`."""
        return [
            team,
            self.granted,
            self.scarce,
            round(self.left, 2),
            round(self.wait_s, 3),
            round(self.step_s, 3),
        ]


class QuotaLedger:
    """Settles reports on the windows of teams.

    Attributes:
        on_received: called with a peer and each team whose window it handed over.

    Args:
        mesh: of peers; says which part of them is alive.
        limit_of: returns the limit of a team; None if it has none.
        seeds: number of instances that were known before any was heard.
    """

    def __init__(
        self, mesh: Mesh, limit_of: Callable[[str], QuotaLimit | None], seeds: int
    ) -> None:
        self._mesh = mesh
        self._limit_of = limit_of
        self._seeds = seeds
        self._windows_by_team: dict[str, TeamWindow] = {}
        self._changed_at: float | None = None
        self.on_received: Callable[[str, str], None] = lambda peer, team: None
        mesh.register(QuotaHandover, self._receive_handover)
        mesh.on_appear(lambda member: self._members_changed())
        mesh.on_lost(lambda member: self._members_changed())

    def settle(
        self, reporter: str, team: str, spent: int, wanted: int, usual_per_s: float
    ) -> Verdict:
        """Charge what was served, and grant what is wanted as far as there is any."""
        limit = self._limit_of(team)
        if limit is None:
            return Verdict(wanted, False, 0.0, 0.0, 0.0)
        now = asyncio.get_running_loop().time()
        window = self._window(team, limit, now)
        granted = window.settle(reporter, spent, wanted, usual_per_s, now)
        refused = wanted - granted
        wait_s = window.take_turn(refused, now) if refused else 0.0
        return Verdict(
            granted, window.scarce, window.left, wait_s, window.turn_interval_s()
        )

    @property
    def is_minority(self) -> bool:
        """Whether most instances are out of reach."""
        return self._reach(asyncio.get_running_loop().time()).is_minority

    def hand_over(
        self, owner_of: Callable[[str], str], teams: Iterable[str] | None = None
    ) -> None:
        """Send the windows that belong to other instances now to these.

        Args:
            owner_of: returns the owner of a team's window.
            teams: whose windows are checked; None for all.
        """
        now = asyncio.get_running_loop().time()
        teams_by_owner: dict[str, list[list[Any]]] = {}
        for team in list(self._windows_by_team if teams is None else teams):
            if team not in self._windows_by_team:
                continue
            owner = owner_of(team)
            if owner == self._mesh.instance:
                continue
            window = self._windows_by_team.pop(team)
            fields = [team, window.history(now), window.is_complete]
            teams_by_owner.setdefault(owner, []).append(fields)
        for owner, windows in teams_by_owner.items():
            self._mesh.send(owner, QuotaHandover(windows))
        if teams_by_owner:
            # Peers that do not know yet may still report here, to windows without the
            # history that was sent away.
            self._changed_at = now

    def _receive_handover(self, peer: str, message: QuotaHandover) -> None:
        now = asyncio.get_running_loop().time()
        for team, history, complete in message.teams:
            self.on_received(peer, team)
            limit = self._limit_of(team)
            if limit is not None:
                self._window(team, limit, now).inherit(history, complete, now)

    def expire(self, now: float) -> None:
        """Drop the windows that nobody uses."""
        for team, window in list(self._windows_by_team.items()):
            if now - window.updated_at > IDLE_EXPIRY_S:
                del self._windows_by_team[team]

    def state(self) -> dict[str, Any]:
        """Return the fullest windows, for operators."""
        windows = sorted(
            self._windows_by_team.items(),
            key=lambda one: one[1].left / one[1].quota,
        )
        return {
            "windows": len(windows),
            "fullest": {
                team: {
                    "used": round(window.used, 1),
                    "quota": round(window.quota, 1),
                }
                for team, window in windows[:MAX_DUMPED_TEAMS]
            },
        }

    def _window(self, team: str, limit: QuotaLimit, now: float) -> TeamWindow:
        reach = self._reach(now)
        window = self._windows_by_team.get(team)
        if window is None:
            window = self._windows_by_team[team] = TeamWindow(limit, reach, now)
        window.update(limit, reach, now)
        return window

    def _reach(self, now: float) -> Reach:
        if self._changed_at is None:
            self._changed_at = now
        known = max(len(self._mesh.members_by_id) + 1, self._seeds)
        alive = len(self._mesh.alive()) + 1
        return Reach(alive / known, now - self._changed_at > SETTLING_S)

    def _members_changed(self) -> None:
        self._changed_at = asyncio.get_running_loop().time()
