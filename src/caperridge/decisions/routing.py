"""Which target gets a request: least expected delay, the own zone first.

The book knows every target of every service from the platform's list, what this
instance has in flight at each, what reports and peers say, and which failed lately.
A choice compares a few candidates, not all targets: those that probably have the
prompt's prefix cached, its home by hash, and some at random (``measure routing``
compares this with the full scan).
"""

import random
from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence
from itertools import chain

from caperridge.decisions.affinity import PrefixIndex
from caperridge.decisions.ejection import may_eject
from caperridge.decisions.target_state import RequestProfile, TargetReport, TargetState
from caperridge.records import Record
from caperridge.store.interface import ListedMember
from caperridge.targets.outcomes import AttemptError

LEAVING = "leaving"
RANDOM_OWN_ZONE = 2
RANDOM_OTHER_ZONE = 1
USUAL_GAIN = 0.02
MOST_GONE = 2048
HOME_BLOCKS = 4  # leading blocks by which a prompt has a home
SCAN_UP_TO = 12  # targets; so few are compared all


class ScoredTarget(Record):
    """One target as it was weighed; kept for the explanation of a request."""

    __slots__ = ("score", "target")

    def __init__(self, target: str, score: float) -> None:
        self.target = target
        self.score = score


class ServiceTargets:
    """The targets of one service that are not leaving, the own zone apart."""

    __slots__ = ("others", "own_zone")

    def __init__(self) -> None:
        self.own_zone: list[TargetState] = []
        self.others: list[TargetState] = []


class TargetPool:
    """The targets of all services, by id.

    Args:
        availability_zone: of the instance.
        seed: of the choice of candidates; instances should differ in it.
        random_own_zone: candidates of the own zone that are drawn at random.
        scan_up_to: so many targets are compared all.
    """

    def __init__(
        self,
        availability_zone: str,
        seed: int = 0,
        own_zone_samples: int = RANDOM_OWN_ZONE,
        full_scan_max: int = SCAN_UP_TO,
    ) -> None:
        self.states_by_id: dict[str, TargetState] = {}
        self.prefix_index = PrefixIndex()
        self._availability_zone = availability_zone
        self._random = random.Random(seed)
        self._own_zone_samples = own_zone_samples
        self._full_scan_max = full_scan_max
        self._targets_by_service: dict[str, ServiceTargets] = {}
        self._usual_by_service: dict[str, float] = {}
        self._open_ids: set[str] = set()
        self._gone_by_id: OrderedDict[str, TargetState] = OrderedDict()
        self._closed: set[str] = set()

    def set_closed(self, targets: set[str]) -> None:
        """Leave out ``targets``, which load or hold something else, where others serve.

        They are back with the next call that does not name them.
        """
        if targets != self._closed:
            self._closed = targets
            self._index()

    def apply_list(self, members: Iterable[ListedMember], now: float = 0.0) -> None:
        """Take over the platform's list; what is known of a target is kept."""
        listed_by_id = {m.id: m for m in members if m.kind == "target"}
        # At the start all are new together, and none needs sparing.
        since = now if self.states_by_id else 0.0
        for target_id in list(self.states_by_id):
            if target_id not in listed_by_id:
                # Kept for a while: the list may drop a target and show it again,
                # and it is still leaving then, and still has our requests.
                self._gone_by_id[target_id] = self.states_by_id.pop(target_id)
        while len(self._gone_by_id) > MOST_GONE:
            self._gone_by_id.popitem(last=False)
        for target_id, member in listed_by_id.items():
            state = self._state(target_id)
            if state is not None:
                self._gone_by_id.pop(target_id, None)
                self.states_by_id[target_id] = state
            if state is None or state.member.incarnation < member.incarnation:
                if state is not None:
                    self.prefix_index.remove_target(target_id)
                state = TargetState(member, since=since)
                self.states_by_id[target_id] = state
            if member.incarnation < state.member.incarnation:
                continue  # an older list came late
            state.member = member
            state.leaving = state.leaving or member.state == LEAVING
        self._index()

    def _state(self, target_id: str) -> TargetState | None:
        state = self.states_by_id.get(target_id)
        return self._gone_by_id.get(target_id) if state is None else state

    def _index(self) -> None:
        self._targets_by_service = {}
        self._open_ids = set()
        states = [s for _, s in sorted(self.states_by_id.items()) if not s.leaving]
        serving = {s.member.service for s in states if s.member.id not in self._closed}
        # In the order of ids, so that instances agree on the homes of prefixes.
        for state in states:
            service = state.member.service
            if state.member.id in self._closed and service in serving:
                continue
            self._open_ids.add(state.member.id)
            targets = self._targets_by_service.setdefault(service, ServiceTargets())
            if state.member.availability_zone == self._availability_zone:
                targets.own_zone.append(state)
            else:
                targets.others.append(state)

    def mark_leaving(self, target_id: str, incarnation: int | None = None) -> bool:
        """Send nothing new to this incarnation; return whether that is news.

        Args:
            target_id: which target.
            incarnation: that is leaving; None for the one that is known.
        """
        state = self._state(target_id)
        if state is None or state.leaving:
            return False
        if incarnation is not None and incarnation < state.member.incarnation:
            return False
        state.leaving = True
        self._index()
        return True

    def usable(
        self, service: str, excluded: Collection[str] = (), now: float = 0.0
    ) -> list[TargetState]:
        """Return the targets that may get a request, the own zone first.

        Where only ejected ones are left, they are better than none.
        """
        found: list[TargetState] = []
        out: list[TargetState] = []
        for state in self._listed(service):
            if state.member.id in excluded:
                continue
            (out if state.health.out_until > now else found).append(state)
        return found or out

    def _listed(self, service: str) -> Iterable[TargetState]:
        targets = self._targets_by_service.get(service)
        if targets is None:
            return ()
        return chain(targets.own_zone, targets.others)

    def has_usable(self, service: str) -> bool:
        """Return whether any target of ``service`` may get a request."""
        return service in self._targets_by_service

    def has_capacity(self, service: str, most_running: int, now: float) -> bool:
        """Return whether some target of ``service`` could start one more soon."""
        out_has_room = False
        all_out = True
        for state in self._listed(service):
            is_out = state.health.out_until > now
            all_out = all_out and is_out
            if not state.has_capacity(most_running, now):
                continue
            if not is_out:
                return True
            out_has_room = True
        return all_out and out_has_room

    def rank(
        self,
        service: str,
        excluded: Collection[str] = (),
        wanted: RequestProfile | None = None,
        now: float = 0.0,
    ) -> list[ScoredTarget]:
        """Return all usable targets of ``service``, the best first."""
        return self._ranked(
            self.usable(service, excluded, now), wanted or RequestProfile(), now
        )

    def choose(
        self,
        service: str,
        excluded: Collection[str],
        wanted: RequestProfile,
        now: float,
        blocks: Sequence[int] = (),
    ) -> list[ScoredTarget]:
        """Return the compared candidates, the best first; empty if none is usable.

        Args:
            service: whose targets.
            excluded: targets that failed this request already.
            wanted: by the request.
            now: on the own clock.
            blocks: of the prompt's prefix.
        """
        targets = self._targets_by_service.get(service)
        if targets is None:
            return []
        if len(targets.own_zone) + len(targets.others) <= self._full_scan_max:
            return self.rank(service, excluded, wanted, now)
        candidates = self._candidates(targets, wanted, blocks)
        usable = [
            state
            for state in candidates
            if state.health.out_until <= now and state.member.id not in excluded
        ]
        for state in usable:
            if state.has_capacity(wanted.most_running, now):
                return self._ranked(usable, wanted, now)
        return self.rank(service, excluded, wanted, now)

    def _candidates(
        self, targets: ServiceTargets, wanted: RequestProfile, blocks: Sequence[int]
    ) -> list[TargetState]:
        found_by_id: dict[str, TargetState] = {}
        for target_id in wanted.tokens_by_target:
            if target_id in self._open_ids:
                found_by_id[target_id] = self.states_by_id[target_id]
        if blocks and targets.own_zone and not found_by_id:
            # The home of a prefix is the same at all instances of the zone, so that
            # they need not tell each other what they sent where. Only for prefixes
            # not seen yet: all instances would fill the homes of the common ones.
            home = blocks[min(HOME_BLOCKS, len(blocks)) - 1]
            state = targets.own_zone[home % len(targets.own_zone)]
            found_by_id[state.member.id] = state
        for states, count in (
            (targets.own_zone, self._own_zone_samples),
            (targets.others, RANDOM_OTHER_ZONE),
        ):
            for _ in range(count if states else 0):
                state = states[int(self._random.random() * len(states))]
                found_by_id[state.member.id] = state
        return list(found_by_id.values())

    def _ranked(
        self, states: Iterable[TargetState], wanted: RequestProfile, now: float
    ) -> list[ScoredTarget]:
        zone = self._availability_zone
        room: list[ScoredTarget] = []
        full: list[ScoredTarget] = []
        for state in states:
            has_room = state.has_capacity(wanted.most_running, now)
            weighed = ScoredTarget(state.member.id, state.score(wanted, zone, now))
            (room if has_room else full).append(weighed)
        for weighed_ones in (room, full):
            weighed_ones.sort(key=lambda item: (item.score, item.target))
        return room + full

    def score_parts(
        self, target_id: str, wanted: RequestProfile, now: float
    ) -> dict[str, object]:
        """Return what a target's score was made of."""
        state = self.states_by_id[target_id]
        return state.score_parts(wanted, self._availability_zone, now)

    def record_start(
        self, target_id: str, blocks: Sequence[int] = (), now: float = 0.0
    ) -> None:
        """Count a request sent to the target."""
        state = self.states_by_id.get(target_id)
        if state is None:
            return
        if not state.in_flight:
            state.heard_at = now
        state.in_flight += 1
        self.prefix_index.record(target_id, blocks)

    def record_event(self, target_id: str, now: float) -> None:
        """Note that events came from the target."""
        state = self.states_by_id.get(target_id)
        if state is not None:
            state.heard_at = now

    def record_finish(self, target_id: str) -> None:
        """Count a request that left the target."""
        state = self._state(target_id)
        if state is not None and state.in_flight > 0:
            state.in_flight -= 1

    def record_success(self, target_id: str, now: float) -> None:
        """Note a whole answer of the target."""
        state = self.states_by_id.get(target_id)
        if state is not None:
            state.health.record_success(now)

    def record_failure(self, target_id: str, error: AttemptError, now: float) -> float:
        """Note a failed attempt; return for how long the target is ejected, or 0."""
        state = self.states_by_id.get(target_id)
        if state is None or state.health.is_ejected(now):
            return 0.0
        if not state.health.record_failure(error):
            return 0.0
        usable, out = 0, 0
        for other in self._listed(state.member.service):
            usable += 1
            out += other.health.is_ejected(now)
        if not may_eject(usable, out):
            return 0.0
        return state.health.eject(now)

    def record_report(self, target_id: str, report: TargetReport) -> None:
        """Take in what is heard of a target's load."""
        state = self.states_by_id.get(target_id)
        if state is None:
            return
        others = max(0, report.online - state.in_flight)
        service = state.member.service
        usual = self._usual_by_service.get(service, float(others))
        usual += USUAL_GAIN * (others - usual)
        self._usual_by_service[service] = usual
        state.report = TargetReport(
            report.waiting,
            report.online,
            state.in_flight,
            report.at,
            report.version,
            report.adapters,
            usual,
        )
