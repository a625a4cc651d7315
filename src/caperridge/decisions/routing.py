"""Load balancing by least expected delay over a few candidates, with zone affinity.

The pool holds every target of every service from the platform's list, with this
instance's requests in flight, load reports from targets and peers, and recent failures.
A choice compares a few candidates, not all targets: those that probably have the
prompt's prefix cached, its home target by hash, and some at random (``measure routing``
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
OWN_ZONE_SAMPLES = 2
OTHER_ZONE_SAMPLES = 1
USUAL_LOAD_GAIN = 0.02
MAX_DELISTED = 2048
HOME_BLOCKS = 4  # leading blocks whose hash selects a prompt's home target
FULL_SCAN_MAX_TARGETS = 12  # up to this number, all targets are compared


class ScoredTarget(Record):
    """A target with its score, kept for the trace of a request."""

    __slots__ = ("score", "target")

    def __init__(self, target: str, score: float) -> None:
        self.target = target
        self.score = score


class ServiceTargets:
    """The routable targets of one service, split by own zone and other zones."""

    __slots__ = ("others", "own_zone")

    def __init__(self) -> None:
        self.own_zone: list[TargetState] = []
        self.others: list[TargetState] = []


class TargetPool:
    """The targets of all services, by id.

    Args:
        availability_zone: zone of this instance.
        seed: seed of the random choice; should differ between instances.
        own_zone_samples: random candidates taken from the own zone.
        full_scan_max: number of targets up to which all are compared.
    """

    def __init__(
        self,
        availability_zone: str,
        seed: int = 0,
        own_zone_samples: int = OWN_ZONE_SAMPLES,
        full_scan_max: int = FULL_SCAN_MAX_TARGETS,
    ) -> None:
        self.states_by_id: dict[str, TargetState] = {}
        self.prefix_index = PrefixIndex()
        self._availability_zone = availability_zone
        self._random = random.Random(seed)
        self._own_zone_samples = own_zone_samples
        self._full_scan_max = full_scan_max
        self._targets_by_service: dict[str, ServiceTargets] = {}
        self._usual_by_service: dict[str, float] = {}
        self._routable_ids: set[str] = set()
        self._delisted_by_id: OrderedDict[str, TargetState] = OrderedDict()
        self._closed: set[str] = set()

    def set_closed(self, targets: set[str]) -> None:
        """Exclude ``targets`` that load or hold another model, where others can serve.

        A target is included again with the next call that does not name it.
        """
        if targets != self._closed:
            self._closed = targets
            self._rebuild_index()

    def apply_list(self, members: Iterable[ListedMember], now: float = 0.0) -> None:
        """Apply the platform's list, keeping the state of known targets."""
        listed_by_id = {m.id: m for m in members if m.kind == "target"}
        # At start-up all targets are new, and none needs a slow start.
        since = now if self.states_by_id else 0.0
        for target_id in list(self.states_by_id):
            if target_id not in listed_by_id:
                # The list may drop a target and show it again; it is then still
                # leaving and still has requests of this instance.
                self._delisted_by_id[target_id] = self.states_by_id.pop(target_id)
        while len(self._delisted_by_id) > MAX_DELISTED:
            self._delisted_by_id.popitem(last=False)
        for target_id, member in listed_by_id.items():
            state = self._state(target_id)
            if state is not None:
                self._delisted_by_id.pop(target_id, None)
                self.states_by_id[target_id] = state
            if state is None or state.member.incarnation < member.incarnation:
                if state is not None:
                    self.prefix_index.remove_target(target_id)
                state = TargetState(member, since=since)
                self.states_by_id[target_id] = state
            if member.incarnation < state.member.incarnation:
                continue  # a stale list arrived late
            state.member = member
            state.leaving = state.leaving or member.state == LEAVING
        self._rebuild_index()

    def _state(self, target_id: str) -> TargetState | None:
        state = self.states_by_id.get(target_id)
        return self._delisted_by_id.get(target_id) if state is None else state

    def _rebuild_index(self) -> None:
        self._targets_by_service = {}
        self._routable_ids = set()
        states = [s for _, s in sorted(self.states_by_id.items()) if not s.leaving]
        serving = {s.member.service for s in states if s.member.id not in self._closed}
        # In order of ids, so that instances agree on the home target of a prefix.
        for state in states:
            service = state.member.service
            if state.member.id in self._closed and service in serving:
                continue
            self._routable_ids.add(state.member.id)
            targets = self._targets_by_service.setdefault(service, ServiceTargets())
            if state.member.availability_zone == self._availability_zone:
                targets.own_zone.append(state)
            else:
                targets.others.append(state)

    def mark_leaving(self, target_id: str, incarnation: int | None = None) -> bool:
        """Stop sending to this incarnation; return whether it was not yet leaving.

        Args:
            target_id: id of the target.
            incarnation: the leaving incarnation; None for the known one.
        """
        state = self._state(target_id)
        if state is None or state.leaving:
            return False
        if incarnation is not None and incarnation < state.member.incarnation:
            return False
        state.leaving = True
        self._rebuild_index()
        return True

    def usable(
        self, service: str, excluded: Collection[str] = (), now: float = 0.0
    ) -> list[TargetState]:
        """Return the targets that may get a request, the own zone first.

        If all targets are ejected, they are returned, since they are better than none.
        """
        found: list[TargetState] = []
        ejected: list[TargetState] = []
        for state in self._targets_of(service):
            if state.member.id in excluded:
                continue
            (ejected if state.health.out_until > now else found).append(state)
        return found or ejected

    def _targets_of(self, service: str) -> Iterable[TargetState]:
        targets = self._targets_by_service.get(service)
        if targets is None:
            return ()
        return chain(targets.own_zone, targets.others)

    def of_other_versions(self, service: str, software_version: str) -> set[str]:
        """Return the targets that cannot continue what this version began."""
        return {
            state.member.id
            for state in self._targets_of(service)
            if state.member.software_version != software_version
        }

    def software_versions(self, service: str) -> set[str]:
        """Return the software versions of the listed targets, leaving ones included."""
        return {
            state.member.software_version
            for state in self.states_by_id.values()
            if state.member.service == service
        }

    def has_usable(self, service: str) -> bool:
        """Return whether any target of ``service`` may get a request."""
        return service in self._targets_by_service

    def has_capacity(self, service: str, most_running: int, now: float) -> bool:
        """Return whether a target of ``service`` could start one more request soon."""
        ejected_has_capacity = False
        all_ejected = True
        for state in self._targets_of(service):
            is_ejected = state.health.out_until > now
            all_ejected = all_ejected and is_ejected
            if not state.has_capacity(most_running, now):
                continue
            if not is_ejected:
                return True
            ejected_has_capacity = True
        return all_ejected and ejected_has_capacity

    def rank(
        self,
        service: str,
        excluded: Collection[str] = (),
        profile: RequestProfile | None = None,
        now: float = 0.0,
    ) -> list[ScoredTarget]:
        """Return all usable targets of ``service``, the best first."""
        return self._rank_states(
            self.usable(service, excluded, now), profile or RequestProfile(), now
        )

    def choose(
        self,
        service: str,
        excluded: Collection[str],
        profile: RequestProfile,
        now: float,
        blocks: Sequence[int] = (),
    ) -> list[ScoredTarget]:
        """Return the compared candidates, the best first; empty if none is usable.

        Args:
            service: name of the service.
            excluded: targets that failed this request already.
            profile: what the request needs.
            now: time on the local clock.
            blocks: hashed blocks of the prompt's prefix.
        """
        targets = self._targets_by_service.get(service)
        if targets is None:
            return []
        if len(targets.own_zone) + len(targets.others) <= self._full_scan_max:
            return self.rank(service, excluded, profile, now)
        candidates = self._candidates(targets, profile, blocks)
        usable = [
            state
            for state in candidates
            if state.health.out_until <= now and state.member.id not in excluded
        ]
        for state in usable:
            if state.has_capacity(profile.most_running, now):
                return self._rank_states(usable, profile, now)
        return self.rank(service, excluded, profile, now)

    def _candidates(
        self, targets: ServiceTargets, profile: RequestProfile, blocks: Sequence[int]
    ) -> list[TargetState]:
        found_by_id: dict[str, TargetState] = {}
        for target_id in profile.tokens_by_target:
            if target_id in self._routable_ids:
                found_by_id[target_id] = self.states_by_id[target_id]
        if blocks and targets.own_zone and not found_by_id:
            # All instances of the zone agree on the home target of a prefix without
            # exchanging messages. It is used only for unseen prefixes; otherwise all
            # instances would overload the home targets of common prefixes.
            home = blocks[min(HOME_BLOCKS, len(blocks)) - 1]
            state = targets.own_zone[home % len(targets.own_zone)]
            found_by_id[state.member.id] = state
        for states, count in (
            (targets.own_zone, self._own_zone_samples),
            (targets.others, OTHER_ZONE_SAMPLES),
        ):
            for _ in range(count if states else 0):
                state = states[int(self._random.random() * len(states))]
                found_by_id[state.member.id] = state
        return list(found_by_id.values())

    def _rank_states(
        self, states: Iterable[TargetState], profile: RequestProfile, now: float
    ) -> list[ScoredTarget]:
        zone = self._availability_zone
        available: list[ScoredTarget] = []
        full: list[ScoredTarget] = []
        for state in states:
            has_capacity = state.has_capacity(profile.most_running, now)
            scored = ScoredTarget(state.member.id, state.score(profile, zone, now))
            (available if has_capacity else full).append(scored)
        for scored_targets in (available, full):
            scored_targets.sort(key=lambda item: (item.score, item.target))
        return available + full

    def score_parts(
        self, target_id: str, profile: RequestProfile, now: float
    ) -> dict[str, object]:
        """Return the components of a target's score."""
        state = self.states_by_id[target_id]
        return state.score_parts(profile, self._availability_zone, now)

    def record_start(
        self, target_id: str, blocks: Sequence[int] = (), now: float = 0.0
    ) -> None:
        """Count a request that was sent to the target."""
        state = self.states_by_id.get(target_id)
        if state is None:
            return
        if not state.in_flight:
            state.heard_at = now
        state.in_flight += 1
        self.prefix_index.record(target_id, blocks)

    def record_event(self, target_id: str, now: float) -> None:
        """Record that the target sent events."""
        state = self.states_by_id.get(target_id)
        if state is not None:
            state.heard_at = now

    def record_finish(self, target_id: str) -> None:
        """Count a request that left the target."""
        state = self._state(target_id)
        if state is not None and state.in_flight > 0:
            state.in_flight -= 1

    def record_success(self, target_id: str, now: float) -> None:
        """Record a complete answer of the target."""
        state = self.states_by_id.get(target_id)
        if state is not None:
            state.health.record_success(now)

    def record_failure(self, target_id: str, error: AttemptError, now: float) -> float:
        """Record a failed attempt; return the seconds of an ejection, or 0."""
        state = self.states_by_id.get(target_id)
        if state is None or state.health.is_ejected(now):
            return 0.0
        if not state.health.record_failure(error):
            return 0.0
        usable, ejected = 0, 0
        for other in self._targets_of(state.member.service):
            usable += 1
            ejected += other.health.is_ejected(now)
        if not may_eject(usable, ejected):
            return 0.0
        return state.health.eject(now)

    def record_report(self, target_id: str, report: TargetReport) -> None:
        """Record a report of a target's load."""
        state = self.states_by_id.get(target_id)
        if state is None:
            return
        others = max(0, report.online - state.in_flight)
        service = state.member.service
        usual = self._usual_by_service.get(service, float(others))
        usual += USUAL_LOAD_GAIN * (others - usual)
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
