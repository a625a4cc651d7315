"""Failure detection for leases of jobs: who holds each job, and when it is replaced.

A silent holder may be partitioned rather than lost; a takeover would then waste the
work of both. So a holder is replaced only after a period of silence, which starts anew
for each holder, or once a later incarnation of its instance is known.
"""

from typing import Protocol

from caperridge.gateway.mesh import lives
from caperridge.records import Record

TAKEOVER_AFTER_S = 1.6
# An instance that does not know the holder of a job reads the head after this time; a
# new instance has received messages of its peers by then.
UNKNOWN_HOLDER_DELAY_S = 0.5


class Peers(lives.Peers, Protocol):
    """The part of the mesh that is used here."""

    def incarnation_alive(self, incarnation: str) -> bool:
        """Whether this is the own incarnation or that of a peer that is alive."""


class SilentHolder(Record):
    """A silent ``holder`` of a job, None if unknown, and the start of its silence."""

    __slots__ = ("holder", "since")

    def __init__(self, holder: str | None, since: float) -> None:
        self.holder = holder
        self.since = since


class Holders:
    """Known holders of jobs, with the silence of each.

    Args:
        peers: live instances.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._holder_by_id: dict[str, str] = {}
        self._silent_holder_by_id: dict[str, SilentHolder] = {}

    def record_reported(self, id: str, holder: str) -> None:
        """Record the holder that a peer reported; empty if the job was released."""
        self._holder_by_id[id] = holder

    def record_stored(self, id: str, holder: str) -> None:
        """Record the holder that was read from the store."""
        self._holder_by_id[id] = holder
        silent = self._silent_holder_by_id.get(id)
        if silent is not None and silent.holder is None:
            # Whoever the holder was, it has been silent since the count began.
            silent.holder = holder

    def is_own(self, id: str) -> bool:
        """Whether this instance is the last known holder of a job."""
        return self._holder_by_id.get(id) == self._peers.incarnation

    def remove(self, id: str) -> None:
        """Remove a job."""
        self._holder_by_id.pop(id, None)
        self._silent_holder_by_id.pop(id, None)

    def clear_silence(self, id: str) -> None:
        """Reset the silence of a job that is held here or finished."""
        self._silent_holder_by_id.pop(id, None)

    def clear_all_silences(self) -> None:
        """Reset all silences: this instance itself was partitioned."""
        self._silent_holder_by_id.clear()

    def may_claim(self, id: str, now: float) -> bool:
        """Whether this instance may try to become the holder of a job."""
        holder = self._holder_by_id.get(id)
        if holder is None:
            return now - self._silent_since(id, None, now) >= UNKNOWN_HOLDER_DELAY_S
        return self.may_replace(id, holder, now)

    def may_replace(self, id: str, holder: str, now: float) -> bool:
        """Whether a job may be claimed from ``holder``."""
        if holder in ("", self._peers.incarnation):
            return True
        if self._peers.incarnation_alive(holder):
            self._silent_holder_by_id.pop(id, None)
            return False
        since = self._silent_since(id, holder, now)
        if lives.is_superseded(self._peers, holder):
            return True
        since = max(since, lives.lost_at(self._peers, holder))
        return now - since >= TAKEOVER_AFTER_S

    def _silent_since(self, id: str, holder: str | None, now: float) -> float:
        """Return the start of the silence of ``holder``, which may be now."""
        silent = self._silent_holder_by_id.get(id)
        if silent is None or silent.holder != holder:
            silent = self._silent_holder_by_id[id] = SilentHolder(holder, now)
        return silent.since
