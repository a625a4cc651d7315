"""Admission of requests when slots are scarce, and the retry delays of refused ones.

Guards against a failure with two of five targets of eight slots left: bursts of 35
requests a second of 0.75 s each met 16 slots, which can start 21 a second. Three
requests could queue at each target whatever their length, so nearly all admitted ones
waited past their objective of 300 ms. Refused ones retried after 0.6 s, late and within
the same burst, and displaced others that could have been in time. Of 70 requests in two
seconds 12 to 15 were in time; 328 attempts were refused (log lines `no room`).

``caperridge.measure.scarcity_model`` replays that pattern with the real decision
functions; its run lengths are those of the log.
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from caperridge.decisions.admission import (
    INITIAL_QUEUE_LIMIT,
    MAX_DEADLINES,
    RETRY_DELAY_RATIO,
    START_LATENCY_S,
    CallerWaits,
    max_queued,
    retry_delay_s,
)
from caperridge.measure.scarcity_model import CONSTANTS, Outcome, Play, Policy

SEEDS = range(6)
SECONDS = 40.0


def run_model(policy: Policy, slots: int = 16) -> Outcome:
    """Return the total outcome of the pattern over several seeds."""
    total = Outcome()
    for seed in SEEDS:
        total.add(Play(policy, slots, seed).run(SECONDS))
    return total


@given(
    online_s=st.floats(0.01, 10.0),
    slots=st.integers(1, 64),
    remaining_s=st.floats(-5.0, 5.0),
)
@settings(max_examples=300, derandomize=True, deadline=None)
def test_whoever_is_let_in_begins_in_time(
    online_s: float, slots: int, remaining_s: float
) -> None:
    queued = max_queued(online_s, slots, remaining_s)
    assert queued >= 0
    if queued:
        assert queued * online_s / slots + START_LATENCY_S <= remaining_s + 1e-6
    if remaining_s >= START_LATENCY_S:
        assert (queued + 1) * online_s / slots + START_LATENCY_S >= remaining_s - 1e-6


def test_a_queue_is_let_be_before_anything_is_known() -> None:
    assert max_queued(0.0, 8, 0.3) == INITIAL_QUEUE_LIMIT


@pytest.mark.parametrize(
    ("stated_ms", "ages_s"),
    [
        ([5000] * 6, [0.0] * 6),
        ([5000, 5000, 4400, 3000], [0.0, 0.0, 0.6, 2.0]),
        # No deadline is usual here, so a shorter one is no sign of earlier waiting.
        ([1000, 2000, 3000, 4000, 500, 900], [0.0] * 6),
        # A deadline above the usual one means no earlier waiting.
        ([5000, 5000, 9000], [0.0] * 3),
    ],
)
def test_who_says_less_time_than_others_has_tried_before(
    stated_ms: list[int], ages_s: list[float]
) -> None:
    waits = CallerWaits()
    found = [waits.waited_s(one) for one in stated_ms]
    if len(set(stated_ms)) == len(stated_ms):
        # The first estimates have too few deadlines; only the later ones are checked.
        found, ages_s = found[3:], ages_s[3:]
    assert found == pytest.approx(ages_s)


def test_what_is_usual_follows_a_change_of_what_callers_say() -> None:
    waits = CallerWaits()
    for _ in range(MAX_DEADLINES):
        waits.waited_s(5000)
    for _ in range(MAX_DEADLINES):
        waits.waited_s(2000)
    assert waits.waited_s(2000) == 0.0
    assert waits.waited_s(5000) == 0.0


@given(remaining_s=st.floats(0.0, 60.0), jitter=st.floats(0.0, 1.0))
def test_callers_follow_when_they_are_told_to_return(
    remaining_s: float, jitter: float
) -> None:
    assert (
        0.0
        <= retry_delay_s(remaining_s, jitter)
        <= remaining_s * RETRY_DELAY_RATIO + 1e-9
    )


def test_those_refused_at_once_do_not_return_at_once() -> None:
    jitter = random.Random(1)
    returns = sorted(retry_delay_s(5.0, jitter.random()) for _ in range(100))
    assert returns[-1] - returns[0] > 0.4


def test_more_are_in_time_where_a_queue_fits_its_objective() -> None:
    new, constants = run_model(Policy()), run_model(CONSTANTS)
    assert new.asked == constants.asked
    assert new.in_time > constants.in_time * 1.1
    assert new.refused <= constants.refused


def test_a_queue_that_fits_serves_more_in_time_than_one_of_three() -> None:
    assert run_model(Policy()).in_time > run_model(Policy(queue=3)).in_time * 1.1


def test_fewer_are_refused_again_where_they_return_late() -> None:
    assert run_model(Policy()).refused < run_model(Policy(return_s=0.6)).refused


def test_late_requests_that_wait_take_the_slots_of_items() -> None:
    """Late requests do not queue because six of them take the time of one item."""
    none, wait = run_model(Policy()), run_model(Policy(late_wait_s=1.5))
    assert none.items_in_time > wait.items_in_time * 1.5
    assert none.in_time > wait.in_time * 0.98


def test_where_slots_are_enough_few_are_refused() -> None:
    calm = run_model(Policy(), slots=160)
    assert calm.refused <= calm.asked * 0.15
