"""What keeps a target from items after a burst of failures, once it is well again.

Guards against an item that waits although all targets are well and have free slots.
"""

import random
from collections.abc import Callable

import pytest

from caperridge.decisions.ejection import EJECTION_THRESHOLD
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.targets import Target
from caperridge.targets.outcomes import Lost, NotSent, TargetRefused, WrongAnswer

# Callers take an item for lost when no target had it for so long.
CALM_S = 5.0
# Far more than a burst of crashes brings about.
FAILURES = 50
INTERVAL_S = 0.4

TARGET = Target("t-1", "model", "127.0.0.1:1", "a", 4)


def fail_with(error: object) -> Callable[[Fleet, float], None]:
    return lambda fleet, now: fleet.record_failure(TARGET, error, now)


@pytest.fixture
def fleet() -> Fleet:
    made = Fleet("e-0", "a", random.Random(1))
    made.targets.by_id[TARGET.id] = TARGET
    return made


@pytest.mark.parametrize(
    "fail",
    [
        fail_with(Lost("reset")),
        fail_with(Lost("it made no progress", broken_off=True)),
        fail_with(WrongAnswer("too many bytes without progress")),
        fail_with(TargetRefused(500, "it failed", "ran")),
        lambda fleet, now: fleet.record_item_refusal(TARGET.id, now),
        lambda fleet, now: fleet.mark_replaced(TARGET.id, now),
    ],
    ids=["lost", "silent", "overlong", "failed", "full", "replaced"],
)
def test_a_target_takes_items_soon_after_the_last_of_many_failures(
    fleet: Fleet, fail: Callable[[Fleet, float], None]
) -> None:
    now = 0.0
    for _ in range(FAILURES):
        now += INTERVAL_S
        fail(fleet, now)
    assert fleet.takes_items(TARGET.id, now + CALM_S)


@pytest.mark.parametrize("failures", [1, EJECTION_THRESHOLD, FAILURES])
def test_a_target_that_accepts_connections_again_takes_items_at_once(
    fleet: Fleet, failures: int
) -> None:
    now = 0.0
    for _ in range(failures):
        now += INTERVAL_S
        fleet.record_failure(TARGET, NotSent("no connection"), now)
        fleet.mark_crashed(TARGET)
    assert not fleet.takes_items(TARGET.id, now)
    fleet.mark_reachable(TARGET.id)
    assert fleet.takes_items(TARGET.id, now)
