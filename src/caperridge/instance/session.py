"""The task that keeps this instance's session alive and knows how long it lasts."""

import secrets
from collections.abc import Callable

from result import Err, Ok

from caperridge.commands.sessions import close_session, open_session, renew_session
from caperridge.instance.actor import Actor
from caperridge.log import logger
from caperridge.platform.interface import Conflict, Platform

log = logger(__name__)
RENEWALS_A_LEASE = 3


class SessionKeeper(Actor):
    """Owns the session; a lapsed one is replaced by a new one.

    The lease counts on the own monotonic clock from before the renewal was sent, so
    the holder believes in it for less time than anybody else does.

    Args:
        platform: where the session row is.
        instance: id of this instance.
        lease_s: how long a session lasts without renewal.
        clock: monotonic seconds.
    """

    def __init__(
        self,
        platform: Platform,
        instance: str,
        lease_s: float,
        clock: Callable[[], float],
    ) -> None:
        super().__init__()
        self.session_id = ""
        self.idle_s = lease_s / RENEWALS_A_LEASE
        self._platform = platform
        self._instance = instance
        self._lease_s = lease_s
        self._clock = clock
        self._until = float("-inf")
        self._renewals = 0

    def left_s(self) -> float:
        """Return how much of the lease is left, in seconds; not above 0: none."""
        return self._until - self._clock()

    def holds(self, session_id: str) -> bool:
        """Return whether ``session_id`` is the own session and its lease lasts."""
        return session_id == self.session_id and self.left_s() > 0

    async def idle(self) -> None:
        """Renew, or open a new session where the old one is gone."""
        before = self._clock()
        if not self.session_id:
            await self._open(before)
            return
        self._renewals += 1
        outcome = await renew_session(self._platform, self.session_id, self._renewals)
        if isinstance(outcome, Ok):
            self._until = before + self._lease_s
            return
        if isinstance(outcome.err_value, Conflict):
            log.warning("the session was declared lapsed", session=self.session_id)
            self.session_id = ""
            self._until = float("-inf")
            await self._open(self._clock())

    async def _open(self, before: float) -> None:
        session_id = f"{self._instance}-{secrets.token_hex(6)}"
        outcome = await open_session(
            self._platform, session_id, self._instance, self._lease_s
        )
        if isinstance(outcome, Err):
            return
        self.session_id = session_id
        self._until = before + self._lease_s

    async def close(self) -> None:
        """End the session, so that what it still claims is free at once."""
        if self.session_id:
            await close_session(self._platform, self.session_id)
            self.session_id = ""
            self._until = float("-inf")
