"""Buckets of teams at their owners, against the rule: rate x window + burst.

Patterns: one team at many times its limit (hot_team), a part of the instances out of
reach (zone_cut), and the loss of all instances and their counts (loss_of_all).
"""

import random

import pytest

from caperridge.decisions.quota import (
    MAX_RETRY_AFTER_S,
    LocalBucket,
    QuotaLimit,
    Reach,
    TeamBucket,
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
    bucket: TeamBucket, limit: QuotaLimit, reach: Reach, begin: float, end: float
) -> list[float]:
    """Return when an endless demand is served."""
    times: list[float] = []
    now = begin
    while now < end:
        bucket.update(limit, reach, now)
        times += [now] * bucket.settle("e-0", 0, 100, 0.0, now)
        now += STEP_S
    return times


@pytest.mark.parametrize("limit", [QuotaLimit(2, 2), QuotaLimit(48, 48)])
def test_a_hot_team_gets_its_rate_and_one_burst(limit: QuotaLimit) -> None:
    times = served(TeamBucket(limit, ALL, 0.0), limit, ALL, 0.0, 20.0)
    assert most_in_window(times) <= limit.rate_per_s * WINDOW_S + limit.burst + 1
    assert len(times) >= limit.rate_per_s * 19


@pytest.mark.parametrize("limit", [QuotaLimit(2, 2), QuotaLimit(48, 48)])
def test_after_the_loss_of_all_there_is_no_second_burst(limit: QuotaLimit) -> None:
    before = served(TeamBucket(limit, ALL, 0.0), limit, ALL, 0.0, 10.0)
    young = Reach(1.0, False)
    after = served(TeamBucket(limit, young, 11.0), limit, young, 11.0, 20.0)
    assert most_in_window(before + after) <= allowed(limit)


@pytest.mark.parametrize("ratio", [0.2, 1 / 3, 0.45])
@pytest.mark.parametrize("usual_ratio", [0.1, 0.6, 1.0])
def test_both_sides_of_a_cut_together_keep_the_rate(
    ratio: float, usual_ratio: float
) -> None:
    """The smaller side has at most the share of the limit that its size suggests."""
    limit = QuotaLimit(10, 10)
    smaller, larger = Reach(ratio, True), Reach(1 - ratio, True)
    usual_there = limit.rate_per_s * usual_ratio * ratio
    together = smaller.rate_of(limit, usual_there) + larger.rate_of(limit, 10.0)
    assert together <= limit.rate_per_s * 1.25


def test_what_was_served_without_asking_is_paid_back() -> None:
    limit = QuotaLimit(10, 10)
    bucket = TeamBucket(limit, ALL, 0.0)
    bucket.update(limit, ALL, 0.0)
    assert bucket.settle("e-0", 15, 1, 1.0, 0.0) == 0
    bucket.update(limit, ALL, 0.5)
    assert bucket.settle("e-0", 0, 1, 1.0, 0.5) == 0
    bucket.update(limit, ALL, 0.61)
    assert bucket.settle("e-0", 0, 1, 1.0, 0.61) == 1


def test_what_did_not_run_is_given_back_but_fills_no_more_than_the_burst() -> None:
    limit = QuotaLimit(10, 10)
    bucket = TeamBucket(limit, ALL, 0.0)
    bucket.update(limit, ALL, 0.0)
    assert bucket.settle("e-0", 10, 0, 1.0, 0.0) == 0
    assert bucket.settle("e-0", -4, 5, 1.0, 0.0) == 4
    bucket.settle("e-0", -50, 0, 1.0, 0.0)
    assert bucket.level == limit.capacity


def test_a_lower_limit_holds_from_its_first_use() -> None:
    bucket = TeamBucket(QuotaLimit(50, 50), ALL, 0.0)
    lower = QuotaLimit(5, 5)
    times = served(bucket, lower, ALL, 0.0, 10.0)
    assert most_in_window(times) <= lower.rate_per_s * WINDOW_S + lower.burst + 1


def test_the_refused_return_one_after_the_other() -> None:
    limit = QuotaLimit(10, 1)
    bucket = TeamBucket(limit, ALL, 0.0)
    bucket.update(limit, ALL, 0.0)
    bucket.settle("e-0", 1, 0, 1.0, 0.0)
    turns = [bucket.take_turn(1, 0.0) for _ in range(100)]
    assert turns[:3] == pytest.approx([0.1, 0.2, 0.3])
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
    bucket = TeamBucket(limit, ALL, 0.0)
    times: list[float] = []
    now = 0.0
    lost_at = -WINDOW_S
    for _ in range(600):
        now += chance.random() * 0.05
        bucket.update(limit, ALL, now)
        action = chance.random()
        if action < 0.9:
            times += [now] * bucket.settle("e-0", 0, chance.randint(0, 5), 1.0, now)
        elif action < 0.98 and times and now - times[-1] < 1.0:
            times.pop()
            bucket.settle("e-0", -1, 0, 1.0, now)
        elif action >= 0.995 and now - lost_at > WINDOW_S:
            lost_at = now
            bucket = TeamBucket(limit, Reach(1.0, False), now)
        elif chance.random() < 0.2:
            limit = QuotaLimit(max(1, limit.rate_per_s / 2), max(1, limit.burst / 2))
    assert most_in_window(times) <= allowed(highest)


def test_a_local_bucket_gives_its_rate() -> None:
    bucket = LocalBucket(1.0, 0.0)
    taken = sum(bucket.take(4.0, 2.0, number / 100) for number in range(1000))
    assert 40 <= taken <= 42
