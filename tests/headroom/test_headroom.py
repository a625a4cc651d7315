"""Headroom with a simulated clock: bursts, hand-over, starvation, guard."""

from itertools import pairwise

import pytest

from caperridge.decisions.batch_share import MAX_GUARD_PENALTY_STREAMS, FirstTokenGuard
from caperridge.decisions.headroom import PEER_RESERVE_S, SETTLE_S, Headroom
from caperridge.decisions.membership import Membership
from caperridge.decisions.own_targets import OwnTargets
from caperridge.decisions.preemption import (
    PROTECTION_THRESHOLD,
    BatchStream,
    preemption_victims,
)
from caperridge.decisions.routing import TargetState
from caperridge.decisions.runner_headroom import MAX_DEFERRAL_STEPS
from caperridge.store.interface import ListedMember

TARGET = "runner-1"
SLOTS = 16
STEP_S = 0.03
REFILL_TIME_S = 0.5  # limit for batch to refill its slots after a burst


def fill(headroom: Headroom, running: int, weight: float, now: float) -> int:
    starts = headroom.to_start(TARGET, SLOTS, weight, running, 0, now)
    return running + starts.count


def preempted_count(headroom: Headroom, running: int, weight: float, now: float) -> int:
    streams = [BatchStream(str(n), TARGET) for n in range(running)]
    return len(headroom.to_preempt(TARGET, SLOTS, weight, streams, now))


@pytest.mark.parametrize("weight", [0.0, 0.5, 1.0])
def test_batch_has_its_places_back_soon_after_a_burst(weight: float) -> None:
    headroom = Headroom()
    headroom.acquire_target(TARGET, 0.0, sole_instance=True)
    running = 0
    for step in range(20):
        running = fill(headroom, running, weight, step * STEP_S)
    assert running == SLOTS
    now = 1.0
    for online in range(1, SLOTS + 1):
        headroom.update_online(TARGET, "entry-1", online, now)
        running -= preempted_count(headroom, running, weight, now)
        assert running + online <= SLOTS
        now += 0.01
    now += 3.0
    headroom.update_online(TARGET, "entry-1", 0, now)
    finished_at = now
    while now < finished_at + REFILL_TIME_S:
        running = fill(headroom, running, weight, now)
        now += STEP_S
    assert running == SLOTS


def test_a_stream_that_frees_its_place_by_itself_is_left_to_end() -> None:
    headroom = Headroom()
    headroom.acquire_target(TARGET, 0.0, sole_instance=True)
    streams = [BatchStream(str(n), TARGET, tokens=n) for n in range(SLOTS)]
    streams[0].ending = True
    headroom.update_online(TARGET, "entry-1", 1, 1.0)
    assert headroom.to_preempt(TARGET, SLOTS, 0.5, streams, 1.0) == []
    headroom.update_online(TARGET, "entry-1", 2, 1.0)
    assert headroom.to_preempt(TARGET, SLOTS, 0.5, streams, 1.0) == [streams[1]]


@pytest.mark.parametrize("weight", [0.0, 0.5])
def test_a_place_just_freed_is_held_and_then_given_to_batch(weight: float) -> None:
    headroom = Headroom()
    headroom.acquire_target(TARGET, 0.0, sole_instance=True)
    for online in (4, 3):
        headroom.update_online(TARGET, "entry-1", online, 1.0)
    assert headroom.startable(TARGET, SLOTS, weight, 1.0) == SLOTS - 4
    assert headroom.allowed(TARGET, SLOTS, weight, 1.0) == SLOTS - 3
    assert (
        headroom.to_start(TARGET, SLOTS, weight, SLOTS - 4, 0, 1.0).retry_delay_s < 0.1
    )
    assert headroom.startable(TARGET, SLOTS, weight, 1.5) == SLOTS - 3


def test_a_place_is_kept_for_requests_of_peers() -> None:
    headroom = Headroom()
    headroom.acquire_target(TARGET, 0.0, sole_instance=False)
    now = SETTLE_S
    assert headroom.allowed(TARGET, SLOTS, 1.0, now) == SLOTS - 1
    headroom.update_online(TARGET, "entry-2", 3, now, sequence=1)
    assert headroom.allowed(TARGET, SLOTS, 1.0, now) == SLOTS - 1 - 3


def test_no_place_is_kept_where_peers_have_sent_nothing_for_long() -> None:
    headroom = Headroom()
    headroom.acquire_target(TARGET, 0.0, sole_instance=False)
    headroom.update_online(TARGET, "entry-2", 1, 10.0, sequence=1)
    headroom.update_online(TARGET, "entry-2", 0, 11.0, sequence=2)
    idle_at = 10.0 + PEER_RESERVE_S
    assert headroom.allowed(TARGET, SLOTS, 1.0, idle_at - 0.1) == SLOTS - 1
    assert headroom.allowed(TARGET, SLOTS, 1.0, idle_at) == SLOTS
    headroom.update_online(TARGET, "entry-2", 1, idle_at + 1, sequence=3)
    assert headroom.allowed(TARGET, SLOTS, 1.0, idle_at + 1) == SLOTS - 1 - 1


@pytest.mark.parametrize(
    ("weight", "most_starts"),
    [
        pytest.param(0.0, SLOTS // 4, id="tail"),
        pytest.param(0.5, 7, id="middle"),
        pytest.param(1.0, SLOTS, id="throughput"),
    ],
)
def test_a_quiet_target_stays_full_while_a_quarter_ends_with_each_step(
    weight: float, most_starts: int
) -> None:
    headroom = Headroom()
    headroom.acquire_target(TARGET, 0.0, sole_instance=True)
    running = 0
    for step in range(40):
        filled = fill(headroom, running, weight, step * STEP_S)
        assert filled - running <= most_starts
        # No stream finishes at first, while the target is filled.
        running = filled - (SLOTS // 4 if step >= 20 else 0)
        assert step < 20 or filled == SLOTS
    # Prefills stay spread beside an online request and for a while after it.
    headroom.update_online(TARGET, "entry-1", 1, 2.0)
    headroom.update_online(TARGET, "entry-1", 0, 2.1)
    assert (fill(headroom, running, weight, 3.0) == SLOTS) == (weight == 1.0)
    assert fill(headroom, running, weight, 5.0) == SLOTS


@pytest.mark.parametrize(
    ("old_learns_s", "new_learns_s", "most_at_once"),
    [
        pytest.param(10.0, 10.0, SLOTS, id="both at once"),
        pytest.param(10.0, 11.5, SLOTS, id="nobody for a moment"),
        pytest.param(11.9, 10.0, SLOTS, id="both within the time to settle"),
        pytest.param(14.0, 10.0, 2 * SLOTS, id="both for longer than that"),
    ],
)
def test_what_two_dispatchers_or_none_may_do_is_bounded(
    old_learns_s: float, new_learns_s: float, most_at_once: int
) -> None:
    old, new = Headroom(), Headroom()
    old.acquire_target(TARGET, 0.0)
    old_running = new_running = 0
    both_s, max_running, new_learnt = 0.0, 0, False
    for tick in range(600):
        now = tick * STEP_S
        if now >= old_learns_s:
            old.release_target(TARGET)
            old_running = 0
        else:
            old_running = fill(old, old_running, 0.5, now)
        if now >= new_learns_s and not new_learnt:
            new_learnt = True
            new.acquire_target(TARGET, now)
        new_running = fill(new, new_running, 0.5, now)
        max_running = max(max_running, old_running + new_running)
        if old_running and new_running:
            both_s += STEP_S
    assert max_running <= most_at_once
    assert both_s <= max(0.0, old_learns_s - new_learns_s - SETTLE_S) + STEP_S
    assert new_running == SLOTS - 1


def test_a_start_is_put_off_beside_an_online_prompt_but_not_for_ever() -> None:
    headroom = Headroom()
    headroom.acquire_target(TARGET, 0.0, sole_instance=True)
    running, online, started_at = 0, 0, []
    for step in range(60):
        now = 1.0 + step * STEP_S
        before = running
        online = 1 - online  # a request arrives with every other step
        headroom.update_online(TARGET, "entry-1", online, now)
        running = fill(headroom, running, 0.0, now)
        if running > before:
            started_at.append(now)
        if running >= SLOTS // 2:
            running = 0  # all finish, so that there are always free slots
    waits = [after - at for at, after in pairwise(started_at)]
    assert min(waits) > 2 * STEP_S  # without the pause, each step would start streams
    assert max(waits) <= (MAX_DEFERRAL_STEPS + 1) * STEP_S


def test_no_item_gives_way_for_ever() -> None:
    streams = [BatchStream(f"item-{n}", TARGET, tokens=n) for n in range(6)]
    for _ in range(200):
        for stream in streams:
            stream.tokens += 5
        victim = preemption_victims(streams, 1)[0]
        # It restarts elsewhere without progress.
        victim.preemptions += 1
        victim.tokens = 0
    counts = [stream.preemptions for stream in streams]
    assert max(counts) - min(counts) <= PROTECTION_THRESHOLD


def test_late_first_tokens_take_places_from_batch_and_time_gives_them_back() -> None:
    guard = FirstTokenGuard()
    guard.record_first_token(0.05, STEP_S, 0.0)
    guard.record_first_token(0.06, STEP_S, 0.0)
    assert guard.withheld_streams(0.0) == 0
    for _ in range(20):
        guard.record_first_token(0.05 + 10 * STEP_S, STEP_S, 1.0)
    assert 2 <= guard.withheld_streams(1.0) <= MAX_GUARD_PENALTY_STREAMS
    assert guard.withheld_streams(100.0) == 0


def test_own_targets_follow_the_live_instances() -> None:
    targets = [ListedMember(f"r{n}", "target", "a:1", "oviedo") for n in range(40)]
    states_by_id = {member.id: TargetState(member) for member in targets}
    peers = [ListedMember(f"e{n}", "instance", "a:1", "oviedo") for n in (1, 2)]
    memberships = [Membership(f"e{n}", "oviedo") for n in (1, 2)]
    own_targets = [OwnTargets(membership) for membership in memberships]
    assert len(own_targets[0].refresh(states_by_id).gained) == 40
    for membership in memberships:
        membership.apply_list(peers)
    changes = own_targets[0].refresh(states_by_id)
    own_targets[1].refresh(states_by_id)
    assert changes.lost
    assert not own_targets[0].is_only_instance
    for target in states_by_id:
        assert own_targets[0].owns(target) != own_targets[1].owns(target)
    memberships[0].apply_list(peers[:1])
    changes = own_targets[0].refresh(states_by_id)
    assert changes.removed_peers == ["e2"]
    assert set(changes.gained) == {t for t in states_by_id if own_targets[1].owns(t)}
