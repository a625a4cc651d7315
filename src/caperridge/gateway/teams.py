"""Teams: who may send requests, found by the digest of an API key."""

from collections.abc import Iterable

from caperridge.decisions.quota import QuotaLimit
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)


class Team(Record):
    """A team whose callers share its API keys and its quota.

    Attributes:
        name: unique in a configuration; sent to targets.
        rank: priority of its requests; None for that of their route.
        limit: of its requests per second over all instances; None for no limit.
    """

    __slots__ = ("limit", "name", "rank")

    def __init__(
        self, name: str, rank: int | None = None, limit: QuotaLimit | None = None
    ) -> None:
        self.name = name
        self.rank = rank
        self.limit = limit


class TeamDirectory:
    """The teams of one configuration; immutable.

    Keys are held as digests only.

    Args:
        teams: each team with the digests of its keys.
    """

    __slots__ = ("_teams_by_digest", "_teams_by_name")

    def __init__(self, teams: Iterable[tuple[Team, list[str]]]) -> None:
        self._teams_by_name: dict[str, Team] = {}
        self._teams_by_digest: dict[str, Team] = {}
        for team, digests in teams:
            self._add(team, digests)

    def __len__(self) -> int:
        """Return the number of teams."""
        return len(self._teams_by_name)

    def by_digest(self, digest: str) -> Team | None:
        """Return the team that has the key with this digest."""
        return self._teams_by_digest.get(digest)

    def by_name(self, name: str) -> Team | None:
        """Return the team ``name``."""
        return self._teams_by_name.get(name)

    def _add(self, team: Team, digests: list[str]) -> None:
        if team.name in self._teams_by_name:
            log.error("team skipped", team=team.name, reason="its name is taken")
            return
        self._teams_by_name[team.name] = team
        for digest in digests:
            other = self._teams_by_digest.setdefault(digest, team)
            if other is not team:
                log.error(
                    "key skipped",
                    team=team.name,
                    reason=f"team {other.name} has the same key",
                )
