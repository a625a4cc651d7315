"""Entries of targets that lapse in an outage of the store, told in any order.

Guards against the loss of sound targets: of two readers of the table only one noticed
the outage, and the other one's changes arrived first, without a word about it.
"""

import pytest

from caperridge.gateway.targets import LAPSE_GRACE_S, LATE_NEWS_S, Target, TargetList


@pytest.fixture
def targets() -> TargetList:
    listed = TargetList()
    listed.put(Target("t1", "s", "1.1.1.1:1", "a", 8))
    listed.put(Target("t2", "s", "1.1.1.1:2", "a", 8, draining=True))
    return listed


def test_a_removed_target_is_back_when_an_outage_is_reported_after_it(
    targets: TargetList,
) -> None:
    targets.remove("t1", 10.0)
    assert targets.find_by_name("t1") is None
    targets.store_returned(10.0 + LATE_NEWS_S / 2)
    assert targets.find_by_name("t1") is not None
    assert targets.expire(10.0 + LATE_NEWS_S) == []
    assert targets.expire(10.0 + LATE_NEWS_S + LAPSE_GRACE_S) == ["t1"]


def test_a_target_that_was_draining_is_not_back(targets: TargetList) -> None:
    targets.remove("t2", 10.0)
    targets.store_returned(10.1)
    assert targets.find_by_name("t2") is None


def test_a_target_removed_long_before_is_not_back(targets: TargetList) -> None:
    targets.remove("t1", 10.0)
    targets.store_returned(10.1 + LATE_NEWS_S)
    assert targets.find_by_name("t1") is None


def test_a_target_that_started_again_is_not_replaced(targets: TargetList) -> None:
    targets.remove("t1", 10.0)
    targets.put(Target("t1@2", "s", "1.1.1.1:9", "a", 8, name="t1"))
    targets.store_returned(10.1)
    found = targets.find_by_name("t1")
    assert found is not None
    assert found.id == "t1@2"
