"""Failure detector for peers, based on heartbeats and a SWIM-style suspicion state.

A heartbeat carries the sender's incarnation and a sequence number. Evidence of life is
a pair above the last known one, received directly or relayed by a peer. A silent peer
becomes suspect, and only a suspect that stays silent is removed. A peer that returns
after a removal must be steady for a while before it counts as live, longer each time,
so that ownership does not flap over a bad link. After a pause of its own, an instance
suspects no peer, and owns nothing until it has received evidence of a peer or
:data:`MAX_RECOVERY_S` has passed.
"""

from caperridge.records import Record

LIVE = "live"
SUSPECT = "suspect"
DEAD = "dead"
JOINING = "joining"
COUNTED_STATES = (LIVE, SUSPECT)

SUSPECT_TIMEOUT_S = 3.0
REMOVE_TIMEOUT_S = 3.0
PAUSE_THRESHOLD_S = 2.0
REJOIN_DELAY_S = 2.0
MAX_REJOIN_DELAY_S = 60.0
REMOVALS_RESET_S = 300.0
RETENTION_S = 3600.0
MAX_RECOVERY_S = SUSPECT_TIMEOUT_S + REMOVE_TIMEOUT_S


class Evidence(Record):
    """Evidence that an instance is live, from its heartbeat or from a rumour.

    Attributes:
        instance: id of the instance.
        incarnation: its incarnation.
        sequence: sequence number of its heartbeat.
        leaving: whether it is shutting down as planned.
    """

    __slots__ = ("incarnation", "instance", "leaving", "sequence")

    def __init__(
        self, instance: str, incarnation: int, sequence: int, leaving: bool = False
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.sequence = sequence
        self.leaving = leaving


class PeerHealth(Record):
    """The health of one peer.

    Attributes:
        incarnation: the highest seen.
        sequence: the highest seen in that incarnation.
        state: ``live``, ``suspect``, ``dead`` or ``joining``.
        heard_at: when the last evidence arrived.
        since: when it entered its state.
        leaving: sticky for the incarnation.
        removals: number of recent removals.
    """

    __slots__ = (
        "heard_at",
        "incarnation",
        "leaving",
        "removals",
        "sequence",
        "since",
        "state",
    )

    def __init__(
        self,
        incarnation: int,
        sequence: int,
        state: str,
        heard_at: float,
        since: float,
        leaving: bool = False,
        removals: int = 0,
    ) -> None:
        self.incarnation = incarnation
        self.sequence = sequence
        self.state = state
        self.heard_at = heard_at
        self.since = since
        self.leaving = leaving
        self.removals = removals

    @property
    def counts_as_live(self) -> bool:
        """Whether it counts as a live member."""
        return self.state in COUNTED_STATES and not self.leaving


class FailureDetector:
    """Tracks the health of all known peers."""

    def __init__(self) -> None:
        self.health_by_id: dict[str, PeerHealth] = {}
        self.recovering = False
        self.pauses = 0
        self._ticked_at: float | None = None
        self._resumed_at = 0.0

    def record_evidence(self, evidence: Evidence, now: float) -> bool:
        """Record evidence of life; return whether it was new."""
        health = self.health_by_id.get(evidence.instance)
        if health is None:
            health = PeerHealth(evidence.incarnation, evidence.sequence, LIVE, now, now)
            self.health_by_id[evidence.instance] = health
        elif not _is_newer(evidence, health):
            return False
        if evidence.incarnation > health.incarnation:
            health.incarnation = evidence.incarnation
            health.leaving = False
        health.sequence = evidence.sequence
        health.leaving = health.leaving or evidence.leaving
        health.heard_at = now
        self.recovering = False
        if health.state == SUSPECT:
            _set_state(health, LIVE, now)
        if health.state == DEAD:
            _set_state(health, JOINING, now)
        return True

    def suspect(self, instance: str, now: float) -> None:
        """Suspect a live peer at once, since its stream was closed."""
        health = self.health_by_id.get(instance)
        if health is not None and health.state == LIVE:
            _set_state(health, SUSPECT, now)

    def tick(self, now: float) -> list[str]:
        """Advance the clock to ``now``; return the peers that were removed."""
        self._detect_pause(now)
        removed: list[str] = []
        for instance, health in list(self.health_by_id.items()):
            silent_s = now - health.heard_at
            in_state_s = now - health.since
            if health.state == LIVE:
                if silent_s >= SUSPECT_TIMEOUT_S:
                    _set_state(health, SUSPECT, now)
                elif in_state_s >= REMOVALS_RESET_S:
                    health.removals = 0
                continue
            if health.state == SUSPECT and in_state_s >= REMOVE_TIMEOUT_S:
                health.removals += 1
                _set_state(health, DEAD, now)
                removed.append(instance)
                continue
            if health.state == JOINING:
                _update_joining(health, now)
                continue
            if health.state == DEAD and in_state_s >= RETENTION_S:
                del self.health_by_id[instance]
        return removed

    def suspects(self) -> list[str]:
        """Return the peers under suspicion, sorted."""
        return sorted(
            instance
            for instance, health in self.health_by_id.items()
            if health.state == SUSPECT
        )

    def known_incarnation(self, instance: str) -> int:
        """Return the highest incarnation seen of a peer; 0 if it is unknown."""
        health = self.health_by_id.get(instance)
        return 0 if health is None else health.incarnation

    def _detect_pause(self, now: float) -> None:
        previous, self._ticked_at = self._ticked_at, now
        if previous is None:
            return
        gap_s = now - previous
        if gap_s < PAUSE_THRESHOLD_S:
            if self.recovering and now - self._resumed_at >= MAX_RECOVERY_S:
                self.recovering = False
            return
        # This process was paused, so the peers' silence is no evidence against them.
        self.pauses += 1
        self.recovering = True
        self._resumed_at = now
        for health in self.health_by_id.values():
            health.heard_at = min(now, health.heard_at + gap_s)
            health.since = min(now, health.since + gap_s)


def _is_newer(evidence: Evidence, health: PeerHealth) -> bool:
    known = (health.incarnation, health.sequence)
    return (evidence.incarnation, evidence.sequence) > known


def _set_state(health: PeerHealth, state: str, now: float) -> None:
    health.state = state
    health.since = now


def _update_joining(health: PeerHealth, now: float) -> None:
    """Mark a returned peer live once it was steady, or dead if it is silent again."""
    if now - health.heard_at >= SUSPECT_TIMEOUT_S:
        _set_state(health, DEAD, now)
        return
    required_s = min(MAX_REJOIN_DELAY_S, REJOIN_DELAY_S * 2 ** (health.removals - 1))
    if now - health.since >= required_s:
        _set_state(health, LIVE, now)
