"""Run statistics of items, and the order of items when slots are scarce.

Guards against a failure with three of five targets left for jobs that need half of all
slots: ordered by due time only, each item got its first slot when it could just finish
in time, a burst came, and nearly all were late: of 147 items 56 were in time, 64 late.
Work on an item that cannot be in time any more takes the slots of those that can.

``caperridge.measure.scarcity_model`` replays that pattern with items of 193 events of
25 ms.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from caperridge.decisions.run_lengths import MIN_EVENTS, RunStatistics
from caperridge.gateway.jobs.held_job import HeldJob
from caperridge.gateway.jobs.model import JobEntry, JobHead, JobItem
from caperridge.gateway.jobs.schedule import (
    LATE_PENALTY_S,
    RankedItem,
    by_urgency,
    effective_due,
    preemption_order,
)
from caperridge.measure.scarcity_model import Outcome, Play, Policy

SEEDS = range(6)
# Two targets of eight slots, and bursts that leave no slot for items.
SLOTS = 16
BURST_RATE = 1.6
TOKENS = 2000
EVENTS = 200
EVENT_S = 0.025


@pytest.fixture
def statistics() -> RunStatistics:
    """Statistics after ten items of the same length."""
    statistics = RunStatistics()
    for _ in range(10):
        statistics.record_run(EVENTS, EVENTS * EVENT_S)
        statistics.record_item(TOKENS, EVENTS, EVENTS * EVENT_S * 1.2)
    return statistics


def test_nothing_is_late_before_anything_is_known() -> None:
    assert RunStatistics().remaining_s(TOKENS, 0) == 0.0
    assert effective_due(20.0, 0.0, 19.9) == 20.0


def test_what_is_left_shrinks_with_each_event(statistics: RunStatistics) -> None:
    remaining = [
        statistics.remaining_s(TOKENS, events) for events in (0, 100, 200, 300)
    ]
    assert remaining == pytest.approx([6.0, 3.0, 0.0, 0.0])


def test_short_runs_tell_nothing_of_the_pace(statistics: RunStatistics) -> None:
    before = statistics.event_s
    statistics.record_run(MIN_EVENTS - 1, 5.0)
    statistics.record_answer(MIN_EVENTS - 1, 0.001)
    assert statistics.event_s == before
    assert statistics.online_s == 0.0


def test_newer_runs_replace_what_was_known(statistics: RunStatistics) -> None:
    for _ in range(40):
        statistics.record_run(EVENTS, EVENTS * EVENT_S * 4)
    assert statistics.event_s == pytest.approx(EVENT_S * 4, rel=0.05)


def test_a_peer_s_word_fills_what_is_not_known_here(statistics: RunStatistics) -> None:
    fresh = RunStatistics()
    fresh.merge(statistics.to_fields())
    assert fresh == statistics
    own = RunStatistics(event_s=1.0)
    own.merge(statistics.to_fields())
    assert own.event_s == 1.0
    assert own.stretch == statistics.stretch


@pytest.mark.parametrize("fields", [[], ["x", None], [0.5, True, -1.0], [[]] * 9])
def test_what_another_release_tells_does_no_harm(fields: list[object]) -> None:
    statistics = RunStatistics()
    statistics.merge(fields)
    assert statistics.online_s in (0.0, 0.5)
    assert (statistics.events_per_token, statistics.event_s, statistics.stretch) == (
        0,
        0,
        0,
    )


@given(
    st.lists(st.tuples(st.integers(1, 5000), st.integers(1, 500)), max_size=30),
    st.integers(0, 600),
)
@settings(max_examples=200, derandomize=True, deadline=None)
def test_what_is_left_is_never_negative(
    completed: list[tuple[int, int]], events: int
) -> None:
    statistics = RunStatistics()
    for tokens, events_made in completed:
        statistics.record_run(events_made, events_made * EVENT_S)
        statistics.record_item(tokens, events_made, 0.0)
    assert (
        statistics.remaining_s(TOKENS, events)
        >= statistics.remaining_s(TOKENS, events + 1)
        >= 0
    )


@pytest.fixture
def job() -> HeldJob:
    entry = JobEntry("j", "r", "h", 3, 0.0, 0, "o")
    items = [JobItem(str(number), "/", [], b"", TOKENS) for number in range(3)]
    return HeldJob(entry, JobHead("me", 3), 1, items)


def test_who_cannot_be_in_time_stands_behind_and_gives_way_first(
    job: HeldJob,
) -> None:
    now = 10.0
    hopeless, soon, later = (
        RankedItem(job, state, due, effective_due(due, 4.0, now))
        for state, due in zip(job.states, (13.0, 16.0, 30.0), strict=True)
    )
    assert hopeless.order == 13.0 + LATE_PENALTY_S
    assert [one.late for one in (hopeless, soon, later)] == [True, False, False]
    assert by_urgency([later, hopeless, soon]) == [soon, later, hopeless]
    assert preemption_order([soon, hopeless, later]) == [hopeless, later, soon]


def items_in_time(policy: Policy) -> float:
    total = Outcome()
    for seed in SEEDS:
        total.add(Play(policy, SLOTS, seed, burst_rate=BURST_RATE).run(50.0))
    return total.items_in_time / total.items


def test_more_items_are_in_time_where_those_that_can_be_go_first() -> None:
    first, by_due = items_in_time(Policy()), items_in_time(Policy(feasible_first=False))
    assert first > by_due * 1.05


def test_the_longest_of_late_is_kept_through_many_short_runs() -> None:
    statistics = RunStatistics()
    statistics.record_answer(MIN_EVENTS, 4.0, queued=True)
    assert statistics.online_s == 0.0
    for _ in range(20):
        statistics.record_answer(MIN_EVENTS, 1.0)
    assert 2.5 < statistics.longest_s < 4.0
    statistics.record_answer(MIN_EVENTS, 5.0)
    assert statistics.longest_s == 5.0
    for _ in range(500):
        statistics.record_answer(MIN_EVENTS, 1.0)
    assert statistics.longest_s < 1.1
