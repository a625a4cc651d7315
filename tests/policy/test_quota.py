"""Sliding windows of teams at their owners: rate x window + burst.

Patterns: one team at many times its limit (hot_team), a part of the instances out of
reach (zone_cut), and the loss of all instances and their counts (loss_of_all).
"""

import random

import pytest

from caperridge.decisions.quota import (
    MAX_RETRY_AFTER_S,
    WINDOW_MARGIN_S,
    LocalBucket,
    QuotaLimit,
    Reach,
    TeamWindow,
    UsualRate,
)

ALL = Reach(1.0, True)
WINDOW_S = 5.0
STEP_S = 0.01


def allowed(limit: QuotaLimit) -> float:
    """Return how many requests any window may hold."""
    return (limit.rate_per_s * WINDOW_S + limit.burst) * 1.1 + 20


def most_in_window(times: list[float]) -> int:
    first = most = 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def served(
    window: TeamWindow, limit: QuotaLimit, reach: Reach, begin: float, end: float
) -> list[float]:
    """Return when an endless demand is served."""
    times: list[float] = []
    now = begin
    while now < end:
        window.update(limit, reach, now)
        times += [now] * window.settle("e-0", 0, 100, 0.0, now)
        now += STEP_S
    return times


@pytest.mark.parametrize("limit", [QuotaLimit(2, 2), QuotaLimit(48, 48)])
def test_a_hot_team_gets_its_rate_and_one_burst(limit: QuotaLimit) -> None:
    times = served(TeamWindow(limit, ALL, 0.0), limit, ALL, 0.0, 20.0)
    assert most_in_window(times) <= limit.quota
    assert len(times) >= limit.quota * 3


@pytest.mark.parametrize("limit", [QuotaLimit(2, 2), QuotaLimit(48, 48)])
def test_after_the_loss_of_all_there_is_no_second_burst(limit: QuotaLimit) -> None:
    before = served(TeamWindow(limit, ALL, 0.0), limit, ALL, 0.0, 10.0)
    young = Reach(1.0, False)
    after = served(TeamWindow(limit, young, 11.0), limit, young, 11.0, 20.0)
    assert most_in_window(before + after) <= allowed(limit)


@pytest.mark.parametrize("ratio", [0.2, 1 / 3, 0.45])
@pytest.mark.parametrize("usual_ratio", [0.1, 0.6, 1.0])
def test_both_sides_of_a_cut_together_keep_the_rate(
    ratio: float, usual_ratio: float
) -> None:
    limit = QuotaLimit(10, 10)
    smaller, larger = Reach(ratio, True), Reach(1 - ratio, True)
    usual_there = limit.rate_per_s * usual_ratio * ratio
    together = smaller.quota_of(limit, usual_there) + larger.quota_of(limit, 10.0)
    assert together <= allowed(limit)


def test_the_smaller_side_of_a_cut_goes_on_as_before_and_no_more() -> None:
    limit = QuotaLimit(10, 10)
    cut_off = Reach(0.3, False)
    window = TeamWindow(limit, cut_off, 0.0)
    usual_per_s = 2.0
    granted = 0
    for step in range(500):
        now = step / 100
        window.update(limit, cut_off, now)
        granted += window.settle("e-0", 0, 1, usual_per_s, now)
    assert usual_per_s * WINDOW_S <= granted <= usual_per_s * WINDOW_S * 1.6 + 1


def test_what_was_served_without_asking_is_paid_back() -> None:
    limit = QuotaLimit(1, 1)
    window = TeamWindow(limit, ALL, 0.0)
    window.update(limit, ALL, 0.0)
    assert window.settle("e-0", 4, 0, 1.0, 0.0) == 0
    window.update(limit, ALL, 1.0)
    assert window.settle("e-0", 5, 1, 1.0, 1.0) == 0
    window.update(limit, ALL, 5.1)
    assert window.settle("e-0", 0, 1, 1.0, 5.1) == 0
    window.update(limit, ALL, 5.2)
    assert window.settle("e-0", 0, 9, 1.0, 5.2) == 1


def test_what_did_not_run_is_given_back_but_no_more_than_was_taken() -> None:
    limit = QuotaLimit(1, 5)
    window = TeamWindow(limit, ALL, 0.0)
    window.update(limit, ALL, 0.0)
    assert window.settle("e-0", 10, 0, 1.0, 0.0) == 0
    assert window.settle("e-0", -4, 5, 1.0, 0.0) == 4
    window.settle("e-0", -50, 0, 1.0, 0.0)
    assert window.left == limit.quota


def test_an_heir_knows_what_was_served_and_assumes_nothing() -> None:
    limit = QuotaLimit(10, 10)
    window = TeamWindow(limit, ALL, 0.0)
    window.update(limit, ALL, 1.0)
    window.settle("e-0", 20, 0, 1.0, 1.0)
    heir = TeamWindow(limit, Reach(1.0, False), 2.0)
    heir.update(limit, ALL, 2.0)
    heir.settle("e-0", 0, 5, 1.0, 2.0)
    assert window.is_complete
    heir.inherit(window.history(2.0), window.is_complete, 2.0)
    assert heir.left == limit.quota - 25
    heir.update(limit, ALL, 1.0 + WINDOW_S + WINDOW_MARGIN_S)
    assert heir.left == limit.quota - 5


def test_an_heir_takes_no_assumption_of_another_owner_for_a_count() -> None:
    """Guards against refusals below the limit while instances restart in turn.

    Late reports made a former owner open the window again, with an assumed history. It
    was handed over as if it had been counted.
    """
    limit = QuotaLimit(10, 10)
    heir = TeamWindow(limit, ALL, 0.0)
    heir.update(limit, ALL, 1.0)
    heir.settle("e-0", 5, 0, 1.0, 1.0)
    late = TeamWindow(limit, Reach(1.0, False), 1.0)
    late.update(limit, ALL, 1.0)
    late.settle("e-1", 2, 0, 1.0, 1.0)
    assert not late.is_complete
    heir.inherit(late.history(1.0), late.is_complete, 1.0)
    assert heir.left == limit.quota - 7


def test_a_window_begun_out_of_reach_of_most_is_no_second_quota() -> None:
    """Guards against a quota granted again by an owner that has just started.

    It knew few of the instances then, and took the window for one of a smaller side.
    """
    limit = QuotaLimit(20, 20)
    window = TeamWindow(limit, Reach(0.1, False), 0.0)
    window.update(limit, Reach(0.1, False), 0.0)
    assert window.left > 0
    assert not window.is_complete
    window.update(limit, Reach(1.0, False), 0.1)
    assert window.left == pytest.approx(limit.start_tokens)


def test_a_window_of_unknown_history_allows_its_start_where_instances_are_lost() -> (
    None
):
    """Guards against teams refused for a window's length after a loss of instances.

    The assumed use was taken off a quota that was reduced for the lost ones as well.
    """
    limit = QuotaLimit(28.0, 28.0)
    reach = Reach(0.6, settled=False)
    window = TeamWindow(limit, reach, 0.0)
    window.update(limit, reach, 0.0)
    assert window.quota < limit.quota
    assert window.left == pytest.approx(limit.start_tokens)


def test_a_lower_limit_holds_from_its_first_use() -> None:
    window = TeamWindow(QuotaLimit(50, 50), ALL, 0.0)
    lower = QuotaLimit(5, 5)
    times = served(window, lower, ALL, 0.0, 10.0)
    assert most_in_window(times) <= lower.quota


def test_the_refused_return_one_after_the_other() -> None:
    limit = QuotaLimit(1, 5)
    window = TeamWindow(limit, ALL, 0.0)
    window.update(limit, ALL, 0.0)
    window.settle("e-0", 10, 0, 1.0, 0.0)
    window.update(limit, ALL, 4.0)
    turns = [window.take_turn(1, 4.0) for _ in range(100)]
    first = WINDOW_S + WINDOW_MARGIN_S - 4.0
    assert turns[:3] == pytest.approx([first, first + 0.5, first + 1.0])
    assert max(turns) <= MAX_RETRY_AFTER_S


def test_the_usual_rate_follows_requests_and_is_kept_while_frozen() -> None:
    usual = UsualRate(0.0)
    for number in range(400):
        usual.add(number / 20)
    assert usual.at(20.0) == pytest.approx(20.0, rel=0.1)
    usual.freeze(20.0)
    usual.add(21.0)
    assert usual.at(40.0) == pytest.approx(20.0, rel=0.1)
    usual.thaw(40.0)
    assert usual.at(60.0) < 1.0


@pytest.mark.parametrize("seed", range(30))
def test_no_random_order_of_reports_exceeds_a_window(seed: int) -> None:
    """Reports, asks, returns, losses of the owner, and lower limits in any order."""
    chance = random.Random(seed)
    limit = QuotaLimit(chance.choice([1, 5, 20]), chance.choice([1, 5, 20]))
    highest = limit
    window = TeamWindow(limit, ALL, 0.0)
    times: list[float] = []
    now = 0.0
    lost_at = -WINDOW_S
    for _ in range(600):
        now += chance.random() * 0.05
        window.update(limit, ALL, now)
        action = chance.random()
        if action < 0.9:
            times += [now] * window.settle("e-0", 0, chance.randint(0, 5), 1.0, now)
        elif action < 0.98 and times and now - times[-1] < 1.0:
            times.pop()
            window.settle("e-0", -1, 0, 1.0, now)
        elif action >= 0.995 and now - lost_at > WINDOW_S:
            lost_at = now
            window = TeamWindow(limit, Reach(1.0, False), now)
        elif chance.random() < 0.2:
            limit = QuotaLimit(max(1, limit.rate_per_s / 2), max(1, limit.burst / 2))
    assert most_in_window(times) <= allowed(highest)


def test_a_local_window_gives_its_rate() -> None:
    window = LocalBucket(1.0, 0.0)
    taken = sum(window.take(4.0, 2.0, number / 100) for number in range(1000))
    assert 40 <= taken <= 42
