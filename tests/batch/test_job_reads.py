"""Shared reads of jobs in a zone: which instance reads, and bounds of staleness."""

import random
from collections.abc import Iterator

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from batch.reads_world import COUNT, TICK_S, ReadsWorld
from caperridge.commands.announce_job import MAX_CHANGES
from caperridge.decisions.job_reads import (
    FALLBACK_POLL_INTERVAL_S,
    FALLBACK_SCAN_INTERVAL_S,
    JITTER_RATIO,
    MAX_CATCH_UP_DELAY_S,
    POLL_INTERVAL_S,
    READER_TIMEOUT_S,
    SCAN_INTERVAL_S,
    Changes,
    JobReadSchedule,
    UpdateKind,
)
from caperridge.decisions.jobs import COMPLETED, OPEN
from caperridge.instance import jobs_reader

MAX_JITTER = 1 + JITTER_RATIO
HEALTHY_BOUND_S = POLL_INTERVAL_S * MAX_JITTER + 2 * TICK_S
SILENT_READER_BOUND_S = READER_TIMEOUT_S + POLL_INTERVAL_S * MAX_JITTER + 3 * TICK_S
STALE_READER_BOUND_S = (
    FALLBACK_POLL_INTERVAL_S * MAX_JITTER + MAX_CATCH_UP_DELAY_S + 2 * TICK_S
)
UNANNOUNCED_BOUND_S = (
    SCAN_INTERVAL_S * MAX_JITTER + MAX_CATCH_UP_DELAY_S + HEALTHY_BOUND_S + 2 * TICK_S
)
NODES = st.integers(0, COUNT - 1)


@pytest.fixture
def world() -> Iterator[ReadsWorld]:
    world = ReadsWorld()
    world.advance(5.0)
    yield world
    world.close()


def pause(world: ReadsWorld) -> None:
    world.nodes[0].paused = True


def cut_from_platform(world: ReadsWorld) -> None:
    world.nodes[0].view.cut = True


def cut_from_peers(world: ReadsWorld) -> None:
    world.cut_pairs.update(frozenset((0, other)) for other in range(1, COUNT))


def no_reader(world: ReadsWorld) -> None:
    for node in world.nodes:
        node.view.reader = COUNT


def second_reader(world: ReadsWorld) -> None:
    world.nodes[2].view.reader = 2


def freeze(world: ReadsWorld) -> None:
    world.freeze(world.nodes[0])


@pytest.mark.parametrize(
    ("fault", "bound_s"),
    [
        (lambda _: None, HEALTHY_BOUND_S),
        (pause, SILENT_READER_BOUND_S),
        (cut_from_platform, SILENT_READER_BOUND_S),
        (cut_from_peers, SILENT_READER_BOUND_S),
        (no_reader, SILENT_READER_BOUND_S),
        (second_reader, HEALTHY_BOUND_S),
        (freeze, STALE_READER_BOUND_S),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_what_is_wrong_with_the_reader_harms_for_a_bounded_time(
    world: ReadsWorld, fault, bound_s: float
) -> None:
    world.put("old", OPEN)
    world.advance(SILENT_READER_BOUND_S)
    fault(world)
    world.put("new", OPEN)
    world.cancel("old")
    world.advance(bound_s)
    world.check(bound_s)


def test_only_the_reader_reads_often(world: ReadsWorld) -> None:
    for node in world.nodes:
        # The last one to run, so that the others get a hint before the update.
        node.view.reader = COUNT - 1
    world.advance(HEALTHY_BOUND_S)
    for node in world.nodes:
        node.view.reads.clear()
    for number in range(10):
        world.put(f"j{number}", OPEN)
        for node in world.nodes:
            node.reader.poll_soon()
        world.advance(6.0)
    *others, first = world.nodes
    assert first.view.reads["scan"] in (1, 2)
    assert 50 <= first.view.reads["read"] <= 110
    for node in others:
        assert node.view.reads["scan"] == 0
        assert (
            node.view.reads["read"]
            <= 60 / (FALLBACK_POLL_INTERVAL_S * (1 - JITTER_RATIO)) + 1
        )
        assert node.open_ids == world.open_ids


def test_a_change_that_was_not_announced_is_found_by_the_reader_for_all(
    world: ReadsWorld,
) -> None:
    world.put("kept", OPEN)
    world.advance(HEALTHY_BOUND_S)
    world.cancel("kept", announced=False)
    world.put("untold", OPEN, announced=False)
    world.advance(UNANNOUNCED_BOUND_S)
    world.check(UNANNOUNCED_BOUND_S)
    assert UNANNOUNCED_BOUND_S < FALLBACK_SCAN_INTERVAL_S / 4


def test_a_wrong_reader_hides_what_was_not_announced_for_one_own_scan(
    world: ReadsWorld,
) -> None:
    freeze(world)
    world.put("untold", OPEN, announced=False)
    bound_s = FALLBACK_SCAN_INTERVAL_S * MAX_JITTER + STALE_READER_BOUND_S
    world.advance(bound_s)
    world.check(bound_s)


def test_more_changes_than_the_row_keeps_or_a_message_holds_are_not_lost(
    world: ReadsWorld,
) -> None:
    world.nodes[1].paused = True
    for number in range(MAX_CHANGES + 5):
        world.put(f"j{number}", OPEN)
    world.advance(HEALTHY_BOUND_S)
    world.check(HEALTHY_BOUND_S)
    world.heal(world.nodes[1])
    world.nodes[1].inbox.clear()
    world.advance(SILENT_READER_BOUND_S)
    world.check(SILENT_READER_BOUND_S)


def test_a_hint_without_news_is_followed_by_an_own_read(world: ReadsWorld) -> None:
    freeze(world)
    world.put("j", OPEN)
    node = world.nodes[1]
    node.reader.poll_soon()
    world.advance(3.0)
    assert "j" in node.open_ids


def test_one_that_knows_more_than_the_reader_reads_for_itself(
    world: ReadsWorld,
) -> None:
    freeze(world)
    world.put("first", OPEN)
    world.nodes[1].reader.poll_soon()
    world.advance(SILENT_READER_BOUND_S)
    world.put("second", OPEN)
    world.advance(HEALTHY_BOUND_S)
    assert world.nodes[1].open_ids == {"first", "second"}


def test_a_job_that_did_not_fit_into_the_news_is_read_soon(
    world: ReadsWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(jobs_reader, "MOST_SHARED_BYTES", 0)
    world.put("j", OPEN)
    world.advance(HEALTHY_BOUND_S + MAX_CATCH_UP_DELAY_S)
    world.check(HEALTHY_BOUND_S + MAX_CATCH_UP_DELAY_S)


def test_later_news_does_not_put_off_reading_what_did_not_fit(
    world: ReadsWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    world.put("old", OPEN)
    world.advance(HEALTHY_BOUND_S)
    monkeypatch.setattr(jobs_reader, "MOST_SHARED_BYTES", 0)
    for name, state in (("new", OPEN), ("old", COMPLETED)):
        world.put(name, state)
        world.nodes[0].reader.poll_soon()
        world.advance(TICK_S)
    world.advance(MAX_CATCH_UP_DELAY_S + TICK_S)
    assert all(node.open_ids == {"new"} for node in world.nodes)


@pytest.mark.parametrize(
    ("update", "kind", "new_changes"),
    [
        (Changes(5, 5, []), UpdateKind.SAME, []),
        (
            Changes(5, 7, [["f", "s"], ["g", "s"]]),
            UpdateKind.NEW,
            [["f", "s"], ["g", "s"]],
        ),
        (Changes(4, 6, [["e", "s"], ["f", "s"]]), UpdateKind.NEW, [["f", "s"]]),
        (Changes(3, 5, [["d", "s"], ["e", "s"]]), UpdateKind.SAME, []),
        (Changes(4, 4, []), UpdateKind.STALE, []),
        (Changes(6, 7, [["g", "s"]]), UpdateKind.GAP, []),
        (Changes(5, 7, [["g", "s"]]), UpdateKind.STALE, []),
        (Changes(-1, 0, [["a", "s"]]), UpdateKind.STALE, []),
    ],
)
def test_news_is_weighed_by_its_numbers(
    update: Changes, kind: UpdateKind, new_changes: list[list[str]]
) -> None:
    schedule = JobReadSchedule(random.Random(1))
    schedule.record_poll(5)
    assert schedule.receive(0.0, update) == (kind, new_changes)
    assert schedule.number == (update.number if kind is UpdateKind.NEW else 5)


@pytest.mark.parametrize("number", [0, 1])
def test_a_scan_that_is_wanted_is_not_asked_for_faster_while_the_platform_is_away(
    world: ReadsWorld, number: int
) -> None:
    node = world.nodes[number]
    node.view.cut = True
    node.reader._reads.schedule_scan(world.now)
    node.view.reads.clear()
    world.advance(60.0)
    assert (
        30 <= node.view.reads["read"] <= 60 / (POLL_INTERVAL_S * (1 - JITTER_RATIO)) + 2
    )
    world.put("j", OPEN, announced=False)
    world.heal(node)
    world.advance(HEALTHY_BOUND_S)
    assert "j" in node.open_ids


def test_lapses_are_passed_on(world: ReadsWorld) -> None:
    before = [node.lapses for node in world.nodes]
    world.announce_lapse("i9-x")
    world.advance(HEALTHY_BOUND_S)
    assert all(
        node.lapses > count for node, count in zip(world.nodes, before, strict=True)
    )


class ReadsMachine(RuleBasedStateMachine):
    """Cuts, pauses, different views of the reader and stale reads, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.world = ReadsWorld()
        self.names = 0

    def teardown(self) -> None:
        self.world.close()

    @rule()
    def accept(self) -> None:
        self.names += 1
        self.world.put(f"j{self.names}", OPEN)

    @rule(number=st.integers(0, 9))
    def cancel(self, number: int) -> None:
        names = sorted(self.world.open_ids)
        if names:
            self.world.cancel(names[number % len(names)])

    @rule(number=NODES)
    def pause(self, number: int) -> None:
        self.world.nodes[number].paused = True

    @rule(number=NODES)
    def cut_from_platform(self, number: int) -> None:
        self.world.nodes[number].view.cut = True

    @rule(number=NODES)
    def freeze(self, number: int) -> None:
        self.world.freeze(self.world.nodes[number])

    @rule(number=NODES)
    def heal(self, number: int) -> None:
        self.world.heal(self.world.nodes[number])

    @rule(number=NODES, reader=st.integers(0, COUNT))
    def see_another_reader(self, number: int, reader: int) -> None:
        self.world.nodes[number].view.reader = reader

    @rule(one=NODES, other=NODES)
    def cut_or_join(self, one: int, other: int) -> None:
        self.world.cut_pairs ^= {frozenset((one, other))}

    @rule(number=NODES)
    def hint(self, number: int) -> None:
        self.world.nodes[number].reader.poll_soon()

    @rule(seconds=st.sampled_from([0.5, 2.0, 8.0, 30.0]))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @invariant()
    def known_in_time(self) -> None:
        self.world.check(STALE_READER_BOUND_S)


ReadsMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestReads = ReadsMachine.TestCase
