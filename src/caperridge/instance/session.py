"""The task that keeps this instance's session alive and knows how long it lasts."""

import random
import secrets
from collections.abc import Callable

from result import Err, Ok

from caperridge.commands.sessions import close_session, open_session, renew_session
from caperridge.decisions.leases import Lease
from caperridge.instance.actor import Actor
from caperridge.log import logger
from caperridge.store.interface import Conflict, NotDone, Platform, WriteError

log = logger(__name__)


class SessionKeeper(Actor):
    """Owns the session; one that was declared lapsed is replaced by a new one.

    A session whose lease ended on the own clock is kept: nobody may have declared it
    lapsed, e.g. because the platform was away for all. If the next renewal succeeds,
    its claims are still ours and the work goes on where it stopped.

    Args:
        platform: where the session row is.
        instance: id of this instance.
        lease_s: how long a session lasts without renewal.
        clock: monotonic seconds.
    """

    idle_s = 0.1

    def __init__(
        self,
        platform: Platform,
        instance: str,
        lease_s: float,
        clock: Callable[[], float],
    ) -> None:
        super().__init__()
        self.session_id = ""
        self.configuration_version: Callable[[], int] = lambda: 0
        self._platform = platform
        self._instance = instance
        self._clock = clock
        self._lease = Lease(lease_s)
        self._renewals = 0
        self._closed = False
        self._random = random.Random(instance)

    def left_s(self) -> float:
        """Return how much of the lease is left, in seconds; not above 0: none."""
        return self._lease.remaining_s(self._clock())

    def holds(self, session_id: str) -> bool:
        """Return whether ``session_id`` is the own session and its lease lasts."""
        return session_id == self.session_id and self.left_s() > 0

    async def idle(self) -> None:
        """Renew when due, or open a new session where the old one is gone."""
        sent = self._clock()
        if self._closed or not self._lease.renewal_due(sent):
            return
        if not self.session_id:
            await self._open(sent)
            return
        self._renewals += 1
        outcome = await renew_session(
            self._platform,
            self.session_id,
            self._renewals,
            self.configuration_version(),
        )
        if isinstance(outcome, Ok):
            self._lease.record_renewal(sent)
            return
        if isinstance(outcome.err_value, Conflict):
            log.warning("the session was declared lapsed", session=self.session_id)
            self.session_id = ""
            self._lease.mark_lost()
            return
        self._not_renewed(outcome.err_value)

    async def _open(self, sent: float) -> None:
        session_id = f"{self._instance}-{secrets.token_hex(6)}"
        outcome = await open_session(
            self._platform, session_id, self._instance, self._lease.lease_s
        )
        if isinstance(outcome, Err):
            self._not_renewed(outcome.err_value)
            return
        self.session_id = session_id
        self._lease.record_renewal(sent)

    def _not_renewed(self, error: WriteError) -> None:
        retry_after_s = error.retry_after_s if isinstance(error, NotDone) else 0.0
        jitter = self._random.random()
        self._lease.record_failed_renewal(self._clock(), retry_after_s, jitter)

    async def close(self) -> None:
        """End the session, so that what it still claims is free at once."""
        self._closed = True
        session_id, self.session_id = self.session_id, ""
        self._lease.mark_lost()
        if session_id:
            await close_session(self._platform, session_id)
