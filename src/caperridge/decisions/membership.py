"""Group membership: the live instances in this instance's view, and owners of keys.

The platform's list lags, so heartbeats take precedence: an instance that sends them is
live even if it is not listed yet, and one that fell silent is not, even if it is still
listed. A listed instance without any heartbeat counts as live for a grace period, since
it may have just started. Evidence about other availability zones comes from members of
those zones.
"""

from collections.abc import Iterable

from caperridge.decisions.failure_detector import (
    DEAD,
    Evidence,
    FailureDetector,
    PeerHealth,
)
from caperridge.decisions.rendezvous import owner
from caperridge.store.interface import ListedMember

LISTED_GRACE_PERIOD_S = 10.0
UNLISTED_RETENTION_S = 300.0
OTHER_ZONE_SILENCE_S = 30.0
REFRESH_INTERVAL_S = 1.0
MAX_CACHED_OWNERS = 20_000
LEAVING = "leaving"


class Membership:
    """The view of one instance; it counts itself as live unless it was paused.

    Args:
        instance: id of this instance.
        availability_zone: zone of this instance.
        heartbeats: whether peers send heartbeats; if not, only the list decides.
    """

    def __init__(
        self, instance: str, availability_zone: str, heartbeats: bool = False
    ) -> None:
        self.instance = instance
        self.availability_zone = availability_zone
        self.heartbeats = heartbeats
        self.leaving = False
        self.superseded = False
        self.changes = 0
        self.members_by_id: dict[str, ListedMember] = {}
        self.zones_by_id: dict[str, str] = {}
        self.detector = FailureDetector()
        self._listed_at_by_id: dict[str, float] = {}
        self._introduced_at_by_id: dict[str, float] = {}
        self._departures_by_id: dict[str, tuple[int, int]] = {}
        self._live_by_zone: dict[str, list[str]] = {}
        self._owners_by_key: dict[tuple[str, str], str | None] = {}
        self._now = 0.0
        self._refresh_due = float("-inf")
        self._refresh()

    def apply_list(
        self, members: Iterable[ListedMember], now: float | None = None
    ) -> None:
        """Apply the platform's list of instances, which lags."""
        self._now = self._now if now is None else now
        self.members_by_id = {m.id: m for m in members if m.kind == "instance"}
        for instance, member in self.members_by_id.items():
            self._listed_at_by_id.setdefault(instance, self._now)
            self._note_leaving(member)
        for instance in list(self._listed_at_by_id):
            if instance not in self.members_by_id:
                del self._listed_at_by_id[instance]
                self._departures_by_id.pop(instance, None)
        self._refresh()

    def record_evidence(
        self, evidence: Evidence, availability_zone: str, now: float
    ) -> bool:
        """Record evidence that a peer is live; return whether it was new."""
        self._now = now
        self.zones_by_id[evidence.instance] = availability_zone
        was_recovering = self.detector.recovering
        if not self.detector.record_evidence(evidence, now):
            return False
        instance = evidence.instance
        counted = instance in self.live(self.zone_of(instance))
        if was_recovering or self._is_live(instance) != counted:
            self._refresh()
        return True

    def suspect(self, instance: str, now: float) -> None:
        """Suspect a peer whose stream was closed."""
        self._now = now
        self.detector.suspect(instance, now)

    def tick(self, now: float) -> list[str]:
        """Advance the clock to ``now``; return the peers that were removed."""
        self._now = now
        was_recovering = self.detector.recovering
        removed = self.detector.tick(now)
        if (
            removed
            or was_recovering != self.detector.recovering
            or now >= self._refresh_due
        ):
            self._refresh_due = now + REFRESH_INTERVAL_S
            self._expire_unlisted()
            self._refresh()
        return removed

    def leave(self) -> None:
        """Own nothing from now on; this instance is shutting down as planned."""
        self.leaving = True
        self._refresh()

    def supersede(self) -> None:
        """Own nothing from now on; a later process has this instance's id."""
        self.superseded = True
        self._refresh()

    @property
    def steady(self) -> bool:
        """Whether this instance may own what rendezvous hashing assigns to it."""
        return not (self.leaving or self.superseded or self.detector.recovering)

    def live(self, availability_zone: str) -> list[str]:
        """Return the sorted live instances of a zone; this one only if steady."""
        return self._live_by_zone.get(availability_zone, [])

    def live_by_zone(self) -> dict[str, list[str]]:
        """Return the live instances of every zone; callers must not modify it."""
        return self._live_by_zone

    def owner(self, key: str, availability_zone: str) -> str | None:
        """Return the live instance of a zone that owns ``key``.

        The result is cached until the view changes, since each online request needs it.
        """
        cache_key = (key, availability_zone)
        try:
            return self._owners_by_key[cache_key]
        except KeyError:
            pass
        if len(self._owners_by_key) >= MAX_CACHED_OWNERS:
            self._owners_by_key.clear()
        found = owner(key, self.live(availability_zone))
        self._owners_by_key[cache_key] = found
        return found

    def add_introduced(self, instance: str, availability_zone: str) -> None:
        """Add an unlisted instance that a peer introduced."""
        if instance != self.instance and instance not in self.zones_by_id:
            self.zones_by_id[instance] = availability_zone
            self._introduced_at_by_id[instance] = self._now

    def zone_of(self, instance: str) -> str:
        """Return the zone of an instance; empty if unknown."""
        member = self.members_by_id.get(instance)
        if member is not None:
            return member.availability_zone
        return self.zones_by_id.get(instance, "")

    def known_by_zone(self) -> dict[str, list[str]]:
        """Return every other instance that is not known to have left, by zone."""
        found_by_zone: dict[str, list[str]] = {}
        known = self.members_by_id.keys() | self.zones_by_id.keys()
        for instance in sorted(known - {self.instance}):
            if not self._has_left(instance):
                zone = self.zone_of(instance)
                found_by_zone.setdefault(zone, []).append(instance)
        return found_by_zone

    def _note_leaving(self, member: ListedMember) -> None:
        """Remember the incarnation for which the list reports "leaving"."""
        departure = self._departures_by_id.get(member.id)
        if departure is not None and member.incarnation > departure[0]:
            del self._departures_by_id[member.id]
            departure = None
        if member.state == LEAVING and departure is None:
            received = self.detector.known_incarnation(member.id)
            self._departures_by_id[member.id] = (member.incarnation, received)

    def _expire_unlisted(self) -> None:
        """Remove unlisted instances without heartbeats for the retention time."""
        for instance in list(self.zones_by_id):
            if instance in self.members_by_id:
                continue
            health = self.detector.health_by_id.get(instance)
            if health is None:
                last_at = self._introduced_at_by_id.get(instance, self._now)
            elif health.state == DEAD:
                last_at = health.since
            else:
                continue
            if self._now - last_at >= UNLISTED_RETENTION_S:
                del self.zones_by_id[instance]
                self._introduced_at_by_id.pop(instance, None)

    def _has_left(self, instance: str) -> bool:
        health = self.detector.health_by_id.get(instance)
        if health is not None and health.leaving:
            return True
        departure = self._departures_by_id.get(instance)
        if departure is None:
            return False
        return health is None or health.incarnation <= departure[1]

    def _is_live(self, instance: str) -> bool:
        if self._has_left(instance):
            return False
        health = self.detector.health_by_id.get(instance)
        in_other_zone = self.zone_of(instance) != self.availability_zone
        if health is not None and not (in_other_zone and self._is_stale(health)):
            return health.counts_as_live
        if instance not in self.members_by_id:
            return False
        if in_other_zone or not self.heartbeats:
            return True
        return self._now - self._listed_at_by_id[instance] < LISTED_GRACE_PERIOD_S

    def _is_stale(self, health: PeerHealth) -> bool:
        """Return whether silence from another zone is no longer evidence.

        Only a few streams lead there and they move, so after a while the list, although
        it lags, is the better source.
        """
        return health.state == DEAD and self._now - health.since >= OTHER_ZONE_SILENCE_S

    def _refresh(self) -> None:
        found_by_zone: dict[str, list[str]] = {}
        known = self.members_by_id.keys() | self.detector.health_by_id.keys()
        for instance in sorted(known | {self.instance}):
            if instance == self.instance:
                if self.steady:
                    found_by_zone.setdefault(self.availability_zone, []).append(
                        instance
                    )
                continue
            if self._is_live(instance):
                zone = self.zone_of(instance)
                found_by_zone.setdefault(zone, []).append(instance)
        if found_by_zone != self._live_by_zone:
            self._live_by_zone = found_by_zone
            self._owners_by_key.clear()
            self.changes += 1
