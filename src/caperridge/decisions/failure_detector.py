"""Which peers live, by their heartbeats: suspicion first, removal later.

A heartbeat carries the sender's incarnation and a sequence; evidence of life is a pair
above the last one known, seen directly or told by a peer that saw it. Silence makes a
suspect, and only a suspect that stays silent is removed. One that comes back after a
removal has to be steady for a while before it counts, longer each time, so that a bad
link does not make owners move to and fro. After a pause of its own an instance blames
nobody and holds back until it has heard somebody again.
"""

from caperridge.records import Record

LIVE = "live"
SUSPECT = "suspect"
DEAD = "dead"
JOINING = "joining"
COUNTED = (LIVE, SUSPECT)

SUSPECT_S = 3.0
REMOVE_S = 3.0
PAUSE_S = 2.0
STEADY_S = 2.0
MOST_STEADY_S = 60.0
CALM_S = 300.0
FORGET_S = 3600.0
ALONE_S = SUSPECT_S + REMOVE_S


class Evidence(Record):
    """What a heartbeat, or a rumour of one, says.

    Attributes:
        instance: who lives.
        incarnation: of it.
        sequence: of its heartbeat.
        leaving: it is stopping as planned.
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
    """What is known of one peer.

    Attributes:
        incarnation: the highest seen.
        sequence: the highest of that incarnation.
        state: ``live``, ``suspect``, ``dead`` or ``joining``.
        heard_at: when the last evidence came.
        since: when it got into its state.
        leaving: sticky for the incarnation.
        removals: how often it was removed lately.
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
    def counted(self) -> bool:
        """Whether it counts as a live member."""
        return self.state in COUNTED and not self.leaving


class FailureDetector:
    """The health of every peer that this instance ever heard of."""

    def __init__(self) -> None:
        self.health_by_id: dict[str, PeerHealth] = {}
        self.held_back = False
        self.pauses = 0
        self._ticked_at: float | None = None
        self._resumed_at = 0.0

    def heard(self, evidence: Evidence, now: float) -> bool:
        """Take in evidence of life; return whether it was new."""
        health = self.health_by_id.get(evidence.instance)
        if health is None:
            health = PeerHealth(evidence.incarnation, evidence.sequence, LIVE, now, now)
            self.health_by_id[evidence.instance] = health
        elif not _newer(evidence, health):
            return False
        if evidence.incarnation > health.incarnation:
            health.incarnation = evidence.incarnation
            health.leaving = False
        health.sequence = evidence.sequence
        health.leaving = health.leaving or evidence.leaving
        health.heard_at = now
        self.held_back = False
        if health.state == SUSPECT:
            _enter(health, LIVE, now)
        if health.state == DEAD:
            _enter(health, JOINING, now)
        return True

    def lost(self, instance: str, now: float) -> None:
        """Suspect a peer at once, as its stream has ended."""
        health = self.health_by_id.get(instance)
        if health is not None and health.state == LIVE:
            _enter(health, SUSPECT, now)

    def tick(self, now: float) -> list[str]:
        """Let time pass; return the peers that were removed."""
        self._notice_pause(now)
        removed: list[str] = []
        for instance, health in list(self.health_by_id.items()):
            silent_s = now - health.heard_at
            in_state_s = now - health.since
            if health.state == LIVE:
                if silent_s >= SUSPECT_S:
                    _enter(health, SUSPECT, now)
                elif in_state_s >= CALM_S:
                    health.removals = 0
                continue
            if health.state == SUSPECT and in_state_s >= REMOVE_S:
                health.removals += 1
                _enter(health, DEAD, now)
                removed.append(instance)
                continue
            if health.state == JOINING:
                _judge_joining(health, now)
                continue
            if health.state == DEAD and in_state_s >= FORGET_S:
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
        """Return the highest incarnation seen of a peer; 0 if none was."""
        health = self.health_by_id.get(instance)
        return 0 if health is None else health.incarnation

    def _notice_pause(self, now: float) -> None:
        before, self._ticked_at = self._ticked_at, now
        if before is None:
            return
        gap = now - before
        if gap < PAUSE_S:
            if self.held_back and now - self._resumed_at >= ALONE_S:
                self.held_back = False
            return
        # The silence was our own: nobody is to be blamed for it.
        self.pauses += 1
        self.held_back = True
        self._resumed_at = now
        for health in self.health_by_id.values():
            health.heard_at = min(now, health.heard_at + gap)
            health.since = min(now, health.since + gap)


def _newer(evidence: Evidence, health: PeerHealth) -> bool:
    known = (health.incarnation, health.sequence)
    return (evidence.incarnation, evidence.sequence) > known


def _enter(health: PeerHealth, state: str, now: float) -> None:
    health.state = state
    health.since = now


def _judge_joining(health: PeerHealth, now: float) -> None:
    """Count a returned peer again once it was steady, or give it up again."""
    if now - health.heard_at >= SUSPECT_S:
        _enter(health, DEAD, now)
        return
    needed_s = min(MOST_STEADY_S, STEADY_S * 2 ** (health.removals - 1))
    if now - health.since >= needed_s:
        _enter(health, LIVE, now)
