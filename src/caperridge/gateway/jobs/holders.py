"""Who holds each job, as far as is known, and when another may take it over.

A holder that is not heard from may be cut off rather than gone; its own next write of
progress would be lost work for both. So it is replaced only when it has not been heard
for a while, counted anew for each holder, or when its life is over.
"""

from typing import Protocol

from caperridge.gateway.mesh import lives
from caperridge.records import Record

TAKEOVER_AFTER_S = 1.6
# Who does not know the holder of a job reads of it after this: a fresh instance hears
# its peers by then.
LOOK_AFTER_S = 0.5


class Peers(lives.Peers, Protocol):
    """What of the mesh is asked here."""

    def incarnation_alive(self, incarnation: str) -> bool:
        """Whether this life of an instance is the own one or is heard from."""


class Unheard(Record):
    """Since when a job's ``holder`` is not heard; None stands for whoever it is."""

    __slots__ = ("holder", "since")

    def __init__(self, holder: str | None, since: float) -> None:
        self.holder = holder
        self.since = since


class Holders:
    """What is known of the holders of jobs.

    Args:
        peers: who is heard from.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._holder_by_id: dict[str, str] = {}
        self._unheard_by_id: dict[str, Unheard] = {}

    def note(self, id: str, holder: str) -> None:
        """Take somebody's word that ``holder`` has a job; empty if it was given up."""
        self._holder_by_id[id] = holder

    def read(self, id: str, holder: str) -> None:
        """Note what the store says of the holder."""
        self._holder_by_id[id] = holder
        unheard = self._unheard_by_id.get(id)
        if unheard is not None and unheard.holder is None:
            # Whoever it was, it has not been heard since then.
            unheard.holder = holder

    def is_own(self, id: str) -> bool:
        """Whether this instance holds a job as far as it knows."""
        return self._holder_by_id.get(id) == self._peers.incarnation

    def forget(self, id: str) -> None:
        """Drop what is known of a job."""
        self._holder_by_id.pop(id, None)
        self._unheard_by_id.pop(id, None)

    def needs_no_other(self, id: str) -> None:
        """Note that a job is held here or has ended."""
        self._unheard_by_id.pop(id, None)

    def count_anew(self) -> None:
        """Drop since when holders are not heard: this instance heard nobody."""
        self._unheard_by_id.clear()

    def may_claim(self, id: str, now: float) -> bool:
        """Whether it is time to try to become the holder of a job."""
        holder = self._holder_by_id.get(id)
        if holder is None:
            return now - self._since(id, None, now) >= LOOK_AFTER_S
        return self.may_replace(id, holder, now)

    def may_replace(self, id: str, holder: str, now: float) -> bool:
        """Whether a job may be taken from ``holder``."""
        if holder in ("", self._peers.incarnation):
            return True
        if self._peers.incarnation_alive(holder):
            self._unheard_by_id.pop(id, None)
            return False
        since = self._since(id, holder, now)
        if lives.is_superseded(self._peers, holder):
            return True
        since = max(since, lives.lost_at(self._peers, holder))
        return now - since >= TAKEOVER_AFTER_S

    def _since(self, id: str, holder: str | None, now: float) -> float:
        """Return since when ``holder`` is not heard, which may begin now."""
        unheard = self._unheard_by_id.get(id)
        if unheard is None or unheard.holder != holder:
            unheard = self._unheard_by_id[id] = Unheard(holder, now)
        return unheard.since
