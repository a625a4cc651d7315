"""The task that declares sessions lapsed that stood still for too long.

Only what this instance itself saw counts: the versions that a peer saw are not taken
over, as news that was late would make a session seem to stand still for longer than
it did. What is shared is that somebody looks, so that others need not.
"""

from collections.abc import Callable

from result import Err

from caperridge import keys
from caperridge.commands.announce_job import announce_job
from caperridge.commands.sessions import ALIVE, LAPSED, lapse_session
from caperridge.decisions.leases import SessionWatch
from caperridge.decisions.membership import Membership
from caperridge.instance.actor import Actor
from caperridge.log import logger
from caperridge.peers.interface import NoPeers, Peers
from caperridge.peers.messages import SessionsWatched
from caperridge.queries.rows import scan_all
from caperridge.records import Record
from caperridge.store.interface import Platform

log = logger(__name__)
WATCH = "watch-sessions"


class SessionWatcher(Actor):
    """Watches every session, if it is the one of its availability zone that does.

    Whoever does says so after each look. One that hears nothing of it for a lease, but
    has peers, watches too until it hears something.

    Args:
        platform: where the sessions are.
        membership: says who watches.
        lease_s: of the sessions; a look at them is taken four times a lease.
        clock: monotonic seconds.
        peers: who else may watch.
    """

    def __init__(
        self,
        platform: Platform,
        membership: Membership,
        lease_s: float,
        clock: Callable[[], float],
        peers: Peers | None = None,
    ) -> None:
        super().__init__()
        self.idle_s = lease_s / 4
        self._lease_s = lease_s
        self._peers = peers or NoPeers()
        self._heard_at = clock()
        self._peers.register(SessionsWatched, self._heard)
        self._platform = platform
        self._membership = membership
        self._clock = clock
        self._watch = SessionWatch()

    def _heard(self, sender: str, news: Record) -> None:
        self._heard_at = self._clock()

    @property
    def is_watcher(self) -> bool:
        """Whether this instance watches for its zone."""
        zone = self._membership.availability_zone
        return self._membership.owner(WATCH, zone) == self._membership.instance

    def _unwatched(self) -> bool:
        silent_s = self._clock() - self._heard_at
        return silent_s >= self._lease_s and bool(self._peers.connected())

    async def idle(self) -> None:
        """Look once."""
        watcher = self.is_watcher
        if not watcher and not self._unwatched():
            return
        before = self._clock()
        rows = await scan_all(self._platform, keys.SESSIONS)
        if isinstance(rows, Err):
            return
        if watcher:
            self._peers.send_zone(SessionsWatched())
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
