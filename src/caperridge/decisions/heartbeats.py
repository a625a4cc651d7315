"""Heartbeats with indirect probes (as in SWIM) and detection of duplicate instance ids.

A heartbeat names the peers that its sender suspects and vouches for live peers that
others suspect, so that a single bad link removes no peer. It also shows an instance
that another process uses its id: a predecessor whose clock was ahead, if the instance
has just started, and a successor otherwise.
"""

from caperridge.decisions.failure_detector import LIVE, SUSPECT, Evidence
from caperridge.decisions.membership import Membership
from caperridge.peers.messages import Heartbeat

STARTUP_S = 10.0
MAX_QUERIED = 64


class Heartbeats:
    """The heartbeats of one instance.

    Args:
        membership: updated with the received evidence.
        incarnation: of this process; above that of any earlier process with its id.
        started_at: start time of the process, on the same clock as ``now``.
    """

    def __init__(
        self, membership: Membership, incarnation: int, started_at: float
    ) -> None:
        self.incarnation = incarnation
        self._membership = membership
        self._started_at = started_at
        self._sequence = 0
        self._queried: set[str] = set()

    def next(self, configuration_version: int = 0) -> Heartbeat:
        """Return the next heartbeat, for every peer."""
        self._sequence += 1
        heartbeat = self.latest(configuration_version)
        self._queried.clear()
        return heartbeat

    def latest(self, configuration_version: int = 0) -> Heartbeat:
        """Return the last heartbeat again, for a peer that connected after it."""
        return Heartbeat(
            self._membership.instance,
            self.incarnation,
            self._sequence,
            configuration_version,
            self._membership.leaving,
            self._rumours(),
        )

    def receive(self, heartbeat: Heartbeat, availability_zone: str, now: float) -> None:
        """Process the heartbeat of a peer that runs in ``availability_zone``."""
        evidence = Evidence(
            heartbeat.instance,
            heartbeat.incarnation,
            heartbeat.sequence,
            heartbeat.leaving,
        )
        self._membership.record_evidence(evidence, availability_zone, now)
        for rumour in heartbeat.rumours:
            self._receive_rumour(*rumour[:4], now=now)

    def check_own_incarnation(self, known: int, now: float) -> None:
        """Exceed a predecessor's incarnation, or yield to a successor's."""
        if known <= self.incarnation or self._membership.superseded:
            return
        if now - self._started_at < STARTUP_S:
            self.incarnation = known + 1
            return
        self._membership.supersede()

    def _receive_rumour(
        self, instance: str, incarnation: int, state: str, sequence: int, now: float
    ) -> None:
        if instance == self._membership.instance:
            self.check_own_incarnation(incarnation, now)
            return
        if state == SUSPECT:
            if len(self._queried) < MAX_QUERIED:
                self._queried.add(instance)
            return
        if state == LIVE:
            zone = self._membership.zone_of(instance)
            evidence = Evidence(instance, incarnation, sequence)
            self._membership.record_evidence(evidence, zone, now)

    def _rumours(self) -> list[list[str | int]]:
        detector = self._membership.detector
        rumours: list[list[str | int]] = []
        for instance in detector.suspects():
            health = detector.health_by_id[instance]
            rumours.append([instance, health.incarnation, SUSPECT, health.sequence])
        for instance in sorted(self._queried):
            health = detector.health_by_id.get(instance)
            if health is not None and health.state == LIVE and not health.leaving:
                rumours.append([instance, health.incarnation, LIVE, health.sequence])
        return rumours
