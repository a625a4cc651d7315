"""Checks before a request is served: whose key it has, and whether its quota admits it.

They run in this order: configuration known (503), route known (404), key known (401),
quota (429), and only then whether the request itself is valid (400, 413).
"""

import asyncio
from collections.abc import Mapping

from multidict import CIMultiDictProxy

from caperridge.bearer import AUTHENTICATE, SCHEME, bearer_digest
from caperridge.gateway.configuration import ConfigurationInForce
from caperridge.gateway.quotas import QuotaKeeper
from caperridge.gateway.routes import Route
from caperridge.gateway.teams import Team
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)

# Peers announce a newer version some milliseconds before it arrives.
NEWER_VERSION_WAIT_S = 0.25


class Rejection(Record):
    """Why a request is not served.

    Attributes:
        status: of the response.
        reason: for the caller and the log.
        retry_after_s: delay after which the caller may retry; 0 for none.
        headers: of the response.
    """

    __slots__ = ("headers", "reason", "retry_after_s", "status")

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_s: float = 0.0,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.headers = headers or {}


UNKNOWN_KEY = Rejection(401, "no team has this key", headers={AUTHENTICATE: SCHEME})


class CallerChecks:
    """Finds the team of a request and applies its quota.

    Args:
        configuration: with the teams.
        quotas: of the teams.
    """

    def __init__(
        self, configuration: ConfigurationInForce, quotas: QuotaKeeper
    ) -> None:
        self._configuration = configuration
        self._quotas = quotas

    async def identify(
        self, headers: CIMultiDictProxy[str], route: Route | None
    ) -> Team | Rejection | None:
        """Return the team of a request; None if it needs none.

        Args:
            headers: as received.
            route: that matched; None if the request is a call about a job.
        """
        digest = bearer_digest(headers)
        table = self._configuration.table
        if table is None or table.teams is None:
            return None
        team = table.teams.by_digest(digest) if digest else None
        if team is not None:
            return team
        if route.anonymous if route is not None else table.has_anonymous_jobs:
            return None
        if digest and await self._configuration.wait_for_newer(NEWER_VERSION_WAIT_S):
            # A key that was just added may be in a version that other instances have.
            return self._known_now(digest)
        return UNKNOWN_KEY

    def _known_now(self, digest: str) -> Team | Rejection:
        table = self._configuration.table
        teams = table.teams if table is not None else None
        team = teams.by_digest(digest) if teams is not None else None
        return team or UNKNOWN_KEY

    async def admit(
        self, team: Team | None, route: Route, request: str
    ) -> Rejection | None:
        """Count a request against its team's quota; return why it is refused."""
        if team is None or team.limit is None or route.anonymous:
            return None
        arrived = asyncio.get_running_loop().time()
        wait_s = await self._quotas.admit(team.name, team.limit)
        if wait_s is None:
            return None
        log.info(
            "over quota",
            request=request,
            route=route.name,
            team=team.name,
            rate_per_s=team.limit.rate_per_s,
            burst=team.limit.burst,
            retry_after_s=round(wait_s, 2),
            asked_s=round(asyncio.get_running_loop().time() - arrived, 4),
            **self._quotas.evidence(team.name),
        )
        return Rejection(429, "its team's quota is used up", wait_s)

    def restore(self, team: Team | None, route: Route) -> None:
        """Give back what a request took that has not run."""
        if team is not None and team.limit is not None and not route.anonymous:
            self._quotas.restore(team.name)
