"""Entries of targets that lapse in an outage of the store, told in any order.

Guards against the loss of sound targets: of two readers of the table only one noticed
the outage, and the other one's changes arrived first, without a word about it.
"""

import pytest

from caperridge.gateway.targets import LAPSE_GRACE_S, LATE_NEWS_S, Target, TargetList
from caperridge.gateway.watcher import MAX_RECOVERY_SPREAD_S, StoreReachability


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


# Guards against targets that stay in use after they have left: an entry removed while
# an instance or its zone was cut off was taken for one that lapsed in an outage.
@pytest.mark.parametrize(
    ("change_s_ago", "is_outage"),
    [
        (None, True),
        (MAX_RECOVERY_SPREAD_S / 2, True),
        (MAX_RECOVERY_SPREAD_S * 2, False),
    ],
)
async def test_only_an_outage_of_the_store_itself_lets_entries_lapse(
    change_s_ago: float | None, is_outage: bool
) -> None:
    """Peers that have changes some time before show that the store served them."""
    reach = StoreReachability()
    outages: list[float] = []
    reach.on_recovered(outages.append)
    reach.record_success()
    reach.record_failure("no answer")
    if change_s_ago is not None:
        reach.record_change_from_peer()
        reach._served_others_at -= change_s_ago
    reach.record_success()
    assert bool(outages) == is_outage
