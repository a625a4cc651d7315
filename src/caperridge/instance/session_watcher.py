"""The task that declares sessions lapsed that stood still for too long."""

from collections.abc import Callable

from result import Err

from caperridge import keys
from caperridge.commands.announce_job import announce_job
from caperridge.commands.sessions import ALIVE, LAPSED, lapse_session
from caperridge.decisions.leases import SessionWatch
from caperridge.decisions.membership import Membership
from caperridge.instance.actor import Actor
from caperridge.log import logger
from caperridge.platform.interface import Platform
from caperridge.queries.jobs import scan_all

log = logger(__name__)
WATCH = "watch-sessions"


class SessionWatcher(Actor):
    """Watches every session, if it is the one of its availability zone that does.

    Args:
        platform: where the sessions are.
        membership: says who watches.
        lease_s: of the sessions; a look at them is taken four times a lease.
        clock: monotonic seconds.
    """

    def __init__(
        self,
        platform: Platform,
        membership: Membership,
        lease_s: float,
        clock: Callable[[], float],
    ) -> None:
        super().__init__()
        self.idle_s = lease_s / 4
        self._platform = platform
        self._membership = membership
        self._clock = clock
        self._watch = SessionWatch()

    async def idle(self) -> None:
        """Look once."""
        zone = self._membership.availability_zone
        if self._membership.owner(WATCH, zone) != self._membership.instance:
            return
        before = self._clock()
        rows = await scan_all(self._platform, keys.SESSIONS)
        if isinstance(rows, Err):
            return
        alive: dict[str, tuple[int, float]] = {}
        for row in rows.ok_value:
            if row.value["state"] == ALIVE:
                session_id = row.key.removeprefix(keys.SESSIONS)
                alive[session_id] = (row.version, row.value["lease_s"])
        lapsed = self._watch.observe(alive, before, self._clock())
        for session_id, version in lapsed.items():
            outcome = await lapse_session(self._platform, session_id, version)
            if isinstance(outcome, Err):
                continue
            log.warning("a session stood still and lapsed", session=session_id)
            await announce_job(self._platform, session_id, LAPSED)
