"""Membership: table tests of its rules, and a state machine against an oracle.

In the state machine each instance runs the real decision code; the network, the pauses
and the clock are simulated. The oracle knows the running instances and the links.
"""

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from caperridge.decisions.failure_detector import (
    DEAD,
    JOINING,
    LIVE,
    MAX_RECOVERY_S,
    MAX_REJOIN_DELAY_S,
    REMOVE_TIMEOUT_S,
    SUSPECT,
    SUSPECT_TIMEOUT_S,
    Evidence,
    FailureDetector,
)
from caperridge.decisions.heartbeats import STARTUP_S, Heartbeats
from caperridge.decisions.links import LINKS_PER_ZONE, desired_links
from caperridge.decisions.membership import (
    LISTED_GRACE_PERIOD_S,
    OTHER_ZONE_SILENCE_S,
    Membership,
)
from caperridge.store.interface import ListedMember

ZONE = "oviedo"
TICK = 0.5
SETTLE_S = SUSPECT_TIMEOUT_S + REMOVE_TIMEOUT_S + MAX_REJOIN_DELAY_S + 4 * TICK


def listed(name: str, state: str = "live", incarnation: int = 1) -> ListedMember:
    return ListedMember(
        name, "instance", "h:1", ZONE, state=state, incarnation=incarnation
    )


@pytest.mark.parametrize(
    ("steps", "state"),
    [
        ([(0, 1, 1)], LIVE),
        ([(0, 1, 1), (SUSPECT_TIMEOUT_S, None, None)], SUSPECT),
        ([(0, 1, 1), (3, None, None), (4, 1, 2)], LIVE),
        ([(0, 1, 2), (3, None, None), (4, 1, 2)], SUSPECT),
        ([(0, 1, 2), (3, None, None), (4, 1, 1)], SUSPECT),
        ([(0, 2, 1), (3, None, None), (4, 1, 9)], SUSPECT),
        ([(0, 1, 9), (3, None, None), (4, 2, 0)], LIVE),
        ([(0, 1, 1), (3, None, None), (6, None, None)], DEAD),
        ([(0, 1, 1), (3, None, None), (6, None, None), (7, 1, 2)], JOINING),
    ],
)
def test_evidence_and_silence(
    steps: list[tuple[float, int | None, int | None]], state: str
) -> None:
    detector = FailureDetector()
    now = 0.0
    for at, incarnation, sequence in steps:
        while now < at:
            now += TICK
            detector.tick(now)
        if incarnation is not None:
            detector.record_evidence(Evidence("b", incarnation, sequence), now)
    assert detector.health_by_id["b"].state == state


def test_a_paused_instance_blames_nobody_and_holds_back() -> None:
    view = Membership("a", ZONE, heartbeats=True)
    view.tick(0.0)
    view.record_evidence(Evidence("b", 1, 1), ZONE, 0.0)
    assert view.live(ZONE) == ["a", "b"]
    assert view.tick(60.0) == []
    assert view.detector.suspects() == []
    assert view.live(ZONE) == ["b"]
    view.record_evidence(Evidence("b", 1, 2), ZONE, 60.1)
    assert view.live(ZONE) == ["a", "b"]


def test_a_paused_instance_that_is_alone_goes_on_after_a_while() -> None:
    view = Membership("a", ZONE, heartbeats=True)
    view.tick(0.0)
    view.tick(60.0)
    for step in range(1, int(MAX_RECOVERY_S / TICK)):
        view.tick(60.0 + step * TICK)
        assert view.live(ZONE) == []
    view.tick(60.0 + MAX_RECOVERY_S)
    assert view.live(ZONE) == ["a"]


def test_a_listed_instance_counts_until_it_should_have_been_heard() -> None:
    view = Membership("a", ZONE, heartbeats=True)
    view.apply_list([listed("a"), listed("b")], 0.0)
    assert view.live(ZONE) == ["a", "b"]
    for step in range(int(LISTED_GRACE_PERIOD_S / TICK) + 1):
        view.tick(step * TICK)
    assert view.live(ZONE) == ["a"]


def test_leaving_sticks_to_the_incarnation() -> None:
    view = Membership("a", ZONE, heartbeats=True)
    view.record_evidence(Evidence("b", 5, 1), ZONE, 0.0)
    view.apply_list([listed("b", "leaving")], 0.0)
    assert view.live(ZONE) == ["a"]
    view.apply_list([listed("b", "live")], 0.1)
    view.record_evidence(Evidence("b", 5, 2), ZONE, 0.2)
    assert view.live(ZONE) == ["a"]
    view.record_evidence(Evidence("b", 6, 1), ZONE, 0.3)
    assert view.live(ZONE) == ["a", "b"]


def test_a_peer_whose_stream_ended_is_suspected_at_once_and_removed_sooner() -> None:
    view = Membership("a", ZONE, heartbeats=True)
    view.record_evidence(Evidence("b", 1, 1), ZONE, 0.0)
    view.suspect("b", 0.0)
    assert view.detector.suspects() == ["b"]
    removed = [
        view.tick(step * TICK) for step in range(1, int(REMOVE_TIMEOUT_S / TICK) + 1)
    ]
    assert removed[-1] == ["b"]
    assert not any(removed[:-1])


def test_silence_from_another_zone_counts_less_than_the_list_after_a_while() -> None:
    view = Membership("a", "bilbao", heartbeats=True)
    view.apply_list([listed("b")], 0.0)
    view.record_evidence(Evidence("b", 1, 1), ZONE, 0.0)
    now = 0.0
    while now < SUSPECT_TIMEOUT_S + REMOVE_TIMEOUT_S:
        now += TICK
        view.tick(now)
    assert view.live(ZONE) == []
    while now < SUSPECT_TIMEOUT_S + REMOVE_TIMEOUT_S + OTHER_ZONE_SILENCE_S:
        now += TICK
        view.tick(now)
    assert view.live(ZONE) == ["b"]


def test_flapping_makes_a_peer_wait_longer_each_time() -> None:
    detector = FailureDetector()
    now, sequence = 0.0, 0
    waits: list[float] = []
    for _ in range(7):
        sequence += 1
        detector.record_evidence(Evidence("b", 1, sequence), now)
        since = now
        while detector.health_by_id["b"].state == JOINING:
            now += TICK
            sequence += 1
            detector.record_evidence(Evidence("b", 1, sequence), now)
            detector.tick(now)
        waits.append(now - since)
        while detector.health_by_id["b"].state != DEAD:
            now += TICK
            detector.tick(now)
    assert waits == [0, 2, 4, 8, 16, 32, 60]


def test_a_restarted_instance_goes_above_its_predecessor_whose_clock_was_ahead() -> (
    None
):
    view = Membership("a", ZONE, heartbeats=True)
    heartbeats = Heartbeats(view, 100, 0.0)
    heartbeats.check_own_incarnation(500, STARTUP_S - 1)
    assert heartbeats.incarnation == 501
    assert view.steady
    heartbeats.check_own_incarnation(900, STARTUP_S + 1)
    assert heartbeats.incarnation == 501
    assert not view.steady


def test_owners_are_found_again_after_each_change_and_move_little() -> None:
    view = Membership("e-00", ZONE)
    names = [f"e-{n:02}" for n in range(23)]
    view.apply_list([listed(name) for name in names])
    keys = [f"runner-{n}" for n in range(112)]
    before = {key: view.owner(key, ZONE) for key in keys}
    view.apply_list([listed(name) for name in names[:-1]])
    for key in keys:
        after = view.owner(key, ZONE)
        assert after != names[-1]
        assert after == before[key] or before[key] == names[-1]


def test_links_are_wanted_from_both_ends_and_few() -> None:
    known = {z: [f"{z}-{n:02}" for n in range(23)] for z in "abcdefghijklmnopq"}
    everyone = {i for members in known.values() for i in members}
    links_by_instance = {
        instance: desired_links(
            instance,
            instance[0],
            {z: [i for i in ids if i != instance] for z, ids in known.items()},
            everyone - {instance},
        )
        for instance in everyone
    }
    for instance, peers in links_by_instance.items():
        assert all(instance in links_by_instance[peer] for peer in peers)
        assert {p for p in peers if p[0] == instance[0]} == set(known[instance[0]]) - {
            instance
        }
    cross_zone = sum(
        sum(p[0] != i[0] for p in peers) for i, peers in links_by_instance.items()
    )
    assert cross_zone == 17 * 16 * LINKS_PER_ZONE**2


class Node:
    """One process with the real decision code."""

    def __init__(self, name: str, incarnation: int, now: float) -> None:
        self.name = name
        self.incarnation = incarnation
        self.view = Membership(name, ZONE, heartbeats=True)
        self.heartbeats = Heartbeats(self.view, incarnation, now)
        self.paused = False
        self.suspected: set[str] = set()


class MembershipMachine(RuleBasedStateMachine):
    """Network cuts, pauses, restarts, replacements and a simulated clock."""

    names = st.sampled_from(["a", "b", "c", "d"])

    @initialize()
    def begin(self) -> None:
        self.now = 0.0
        self.nodes: dict[str, Node] = {}
        self.replaced: list[Node] = []
        self.cut: set[frozenset[str]] = set()
        self.next_incarnation = 1
        for name in "abcd":
            self.restart(name)

    @rule(name=names)
    def restart(self, name: str) -> None:
        self.next_incarnation += 1
        self.nodes[name] = Node(name, self.next_incarnation, self.now)

    @rule(name=names)
    def end(self, name: str) -> None:
        self.nodes.pop(name, None)

    @rule(name=names)
    def replace_while_the_former_is_paused(self, name: str) -> None:
        replaced = self.nodes.get(name)
        if replaced is not None:
            self.replaced = [replaced]
        self.restart(name)

    @rule(one=names, other=names)
    def cut_link(self, one: str, other: str) -> None:
        if one != other:
            self.cut.add(frozenset((one, other)))

    @rule()
    def heal(self) -> None:
        self.cut.clear()

    @rule(name=names, paused=st.booleans())
    def pause(self, name: str, paused: bool) -> None:
        if name in self.nodes:
            self.nodes[name].paused = paused

    @rule(seconds=st.sampled_from([0.5, 2.0, 4.0, 8.0]))
    def pass_time(self, seconds: float) -> None:
        for _ in range(int(seconds / TICK)):
            self.step()

    def step(self) -> None:
        self.now += TICK
        active = [n for n in self.nodes.values() if not n.paused]
        for node in active:
            removed = node.view.tick(self.now)
            assert set(removed) <= node.suspected, "removed without suspicion"
            node.suspected = set(node.view.detector.suspects())
        for node in active:
            heartbeat = node.heartbeats.next()
            for other in active:
                link = frozenset((node.name, other.name))
                if other is not node and link not in self.cut:
                    other.heartbeats.receive(heartbeat, ZONE, self.now)

    @rule()
    def a_former_process_wakes_and_speaks(self) -> None:
        for node in self.replaced:
            stale = node.heartbeats.next()
            for other in self.nodes.values():
                if other.name == node.name or other.paused:
                    continue
                other.heartbeats.receive(stale, ZONE, self.now)
                answer = other.heartbeats.latest()
                answer.rumours.append(
                    [
                        node.name,
                        other.view.detector.known_incarnation(node.name),
                        SUSPECT,
                        0,
                    ]
                )
                node.heartbeats.receive(answer, ZONE, self.now + STARTUP_S)
        self.replaced = []

    @rule()
    def all_is_well_for_a_while(self) -> None:
        """All instances see exactly the running ones and agree on owners."""
        self.cut.clear()
        for node in self.nodes.values():
            node.paused = False
        for _ in range(int(SETTLE_S / TICK)):
            self.step()
        running = sorted(self.nodes)
        for node in self.nodes.values():
            assert node.view.live(ZONE) == running
        for key in ("runner-1", "runner-2", "runner-3"):
            assert len({n.view.owner(key, ZONE) for n in self.nodes.values()}) <= 1

    @rule(name=names)
    def one_link_of_a_healthy_zone_breaks(self, name: str) -> None:
        """With three peers that see both ends, no instance is removed."""
        self.all_is_well_for_a_while()
        if len(self.nodes) < 4:
            return
        other = next(n for n in self.nodes if n != name)
        self.cut = {frozenset((name, other))}
        for _ in range(int(SETTLE_S / TICK)):
            self.step()
            assert other in self.nodes[name].view.live(ZONE)
            assert name in self.nodes[other].view.live(ZONE)

    @invariant()
    def nobody_believes_in_an_incarnation_that_never_was(self) -> None:
        for node in getattr(self, "nodes", {}).values():
            for name, health in node.view.detector.health_by_id.items():
                assert health.incarnation <= self.next_incarnation
                if name in self.nodes:
                    assert health.incarnation <= self.nodes[name].incarnation

    @invariant()
    def incarnations_only_rise(self) -> None:
        for node in getattr(self, "nodes", {}).values():
            seen = getattr(node, "seen", {})
            for name, health in node.view.detector.health_by_id.items():
                assert health.incarnation >= seen.get(name, 0)
            node.seen = {
                n: h.incarnation for n, h in node.view.detector.health_by_id.items()
            }


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(
    max_examples=60, stateful_step_count=25, derandomize=True, deadline=None
)
