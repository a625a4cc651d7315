"""Quarantine of parts of prompts that crash their targets, without a network.

Guards against the pattern of an incident: requests that are all different share one
part. At each target that crashes one of them has no event and is about 0.1 s old; the
others share its caller and its other parts.
"""

import pytest

from caperridge.decisions.quarantine import (
    MASS_CRASHES,
    PART_SETTLE_S,
    RETENTION_S,
    Quarantine,
)
from caperridge.decisions.suspect_keys import part_keys
from caperridge.decisions.suspects import (
    FIRST_PART_QUARANTINE_THRESHOLD,
    GOOD_RUN_TTL_S,
    PART_QUARANTINE_THRESHOLD_AFTER_GOOD_RUN,
    QUARANTINE_THRESHOLD,
    QUARANTINE_THRESHOLD_AFTER_GOOD_RUN,
    Crash,
    Hold,
    LostRun,
)
from policy.test_quarantine import Fleet

# Crashes under one part after which callers expect it to be known.
MOST_CRASHES = 5
FATAL, FIRST = part_keys(["first", "fatal", "own"])
OTHER, _ = part_keys(["first", "other", "own"])


def lost(content: str, *parts: str, age_s: float = 0.1) -> list[LostRun]:
    """Return a run without an event, once for each key by which it is suspected."""
    keys = [LostRun(part, content, age_s, 0) for part in parts]
    return [*keys, LostRun(content, "caller", age_s, 0)]


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


def crash_with(fleet: Fleet, *runs: list[LostRun], after_s: float = 0.3) -> None:
    fleet.crash(*(key for run in runs for key in run))
    fleet.now += after_s
    fleet.evaluate()


def settle(fleet: Fleet) -> None:
    """Wait until parts are evaluated."""
    fleet.now += PART_SETTLE_S
    fleet.evaluate()


def held(fleet: Fleet) -> set[str]:
    return {one.content for one in fleet.quarantine.quarantined()}


def test_enough_crashes_of_different_requests_blame_their_part(fleet: Fleet) -> None:
    for number in range(QUARANTINE_THRESHOLD):
        assert not held(fleet)
        crash_with(fleet, lost(f"c{number}", FATAL))
    assert held(fleet) == {FATAL}


@pytest.mark.parametrize("first_reported", [True, False])
def test_the_narrowest_of_the_parts_at_the_same_crashes_is_blamed(
    fleet: Fleet, first_reported: bool
) -> None:
    for number in range(FIRST_PART_QUARANTINE_THRESHOLD):
        run = lost(f"c{number}", FATAL, FIRST)
        crash_with(fleet, run[::-1] if first_reported else run)
    assert held(fleet) == {FATAL}


def test_crashes_that_a_part_explains_count_against_no_wider_one(fleet: Fleet) -> None:
    for number in range(QUARANTINE_THRESHOLD_AFTER_GOOD_RUN):
        crash_with(fleet, lost(f"c{number}", FATAL, FIRST))
    for number in range(FIRST_PART_QUARANTINE_THRESHOLD - 1):
        crash_with(fleet, lost(f"d{number}", FIRST))
    assert held(fleet) == {FATAL}
    crash_with(fleet, lost("last", FIRST))
    assert held(fleet) == {FATAL, FIRST}


def test_one_content_alone_does_not_blame_its_parts(fleet: Fleet) -> None:
    for _ in range(FIRST_PART_QUARANTINE_THRESHOLD):
        crash_with(fleet, lost("fatal", OTHER, FIRST))
    assert held(fleet) == {"fatal"}


def test_a_content_in_quarantine_does_not_hide_its_part(fleet: Fleet) -> None:
    for _ in range(QUARANTINE_THRESHOLD):
        crash_with(fleet, lost("moved", FATAL))
    assert held(fleet) == {"moved"}
    crash_with(fleet, lost("next", FATAL))
    assert held(fleet) == {"moved", FATAL}


def test_a_good_run_of_any_request_clears_a_part(fleet: Fleet) -> None:
    for number in range(QUARANTINE_THRESHOLD):
        crash_with(fleet, lost(f"c{number}", FATAL))
    assert fleet.quarantine.hold_for(FATAL, "anybody") is not None
    fleet.record_good_run(FATAL, "")
    assert not held(fleet)


def test_a_good_run_before_the_crashes_clears_no_quarantine(fleet: Fleet) -> None:
    began_at = fleet.now
    fleet.now += GOOD_RUN_TTL_S + 1.0
    for number in range(QUARANTINE_THRESHOLD):
        crash_with(fleet, lost(f"c{number}", FATAL))
    fleet.record_good_run(FATAL, "", ago_s=fleet.now - began_at)
    assert held(fleet) == {FATAL}


def test_a_part_that_ran_well_a_moment_ago_needs_more_crashes(fleet: Fleet) -> None:
    fleet.crash(*lost("before", OTHER))
    fleet.record_good_run(OTHER, "")
    fleet.now += 0.1
    for number in range(PART_QUARANTINE_THRESHOLD_AFTER_GOOD_RUN):
        assert not held(fleet)
        crash_with(fleet, lost(f"c{number}", OTHER))
    assert held(fleet) == {OTHER}


@pytest.mark.parametrize("part", [FATAL, FIRST])
def test_a_part_that_was_sound_is_known_by_the_fifth_crash(
    fleet: Fleet, part: str
) -> None:
    """A new version may make it fatal, and leave few targets for a sixth crash."""
    fleet.crash(*lost("before", part))
    fleet.record_good_run(part, "")
    fleet.now += 0.1
    for number in range(MOST_CRASHES):
        crash_with(fleet, lost(f"c{number}", part))
    assert held(fleet) == {part}


@pytest.mark.parametrize("part", [FATAL, FIRST])
def test_crashes_in_quick_succession_count_each(fleet: Fleet, part: str) -> None:
    """Several requests with the part come in a second, and targets crash as fast."""
    fleet.crash(*lost("before", part))
    fleet.record_good_run(part, "")
    fleet.now += 0.1
    for number in range(MOST_CRASHES):
        fleet.record(*lost(f"c{number}", part))
        fleet.now += 0.2
    fleet.now += 0.3
    fleet.evaluate()
    assert held(fleet) == {part}


def test_a_part_that_runs_well_between_crashes_is_never_blamed(fleet: Fleet) -> None:
    for number in range(4 * QUARANTINE_THRESHOLD_AFTER_GOOD_RUN):
        crash_with(fleet, lost(f"c{number}", FIRST))
        if number % 3 == 0:
            fleet.record_good_run(FIRST, "")
    assert not held(fleet)


def test_parts_that_are_at_a_few_of_many_crashes_at_once_are_not_blamed(
    fleet: Fleet,
) -> None:
    """Many targets lose power; popular parts have just begun at some of them."""
    for number in range(4 * MASS_CRASHES):
        parts = (OTHER, FIRST) if number % 6 == 0 else ()
        fleet.record(*lost(f"c{number}", *parts))
    settle(fleet)
    assert not held(fleet)
    fleet.now += 1.0
    for number in range(QUARANTINE_THRESHOLD):
        assert not held(fleet)
        crash_with(fleet, lost(f"later-{number}", FATAL, FIRST))
    assert held(fleet) == {FATAL}


def test_a_part_that_is_at_many_crashes_at_once_is_blamed(fleet: Fleet) -> None:
    """A job has many items with the part, and they begin together."""
    for number in range(2 * MASS_CRASHES):
        parts = (FATAL, FIRST) if number % 2 == 0 else ()
        fleet.record(*lost(f"c{number}", *parts))
    settle(fleet)
    assert held(fleet) == {FATAL}


def test_what_peers_know_of_a_part_is_merged(fleet: Fleet) -> None:
    crashes = [Crash(f"t{n}", f"c{n}", 0.1, 0, fleet.now - 1, "e-1") for n in range(3)]
    hold = Hold(frozenset(), fleet.now, 0, fleet.now + 1.0)
    fresh = Quarantine()
    assert fresh.merge(FATAL, crashes, hold)
    assert fresh.hold_for(FATAL, "anybody") is not None
    assert fresh.by_content[FATAL].is_part


@pytest.mark.parametrize("bystander", [FIRST, "moved"])
def test_what_peers_knew_of_a_bystander_before_does_not_count(
    fleet: Fleet, bystander: str
) -> None:
    """Rows of the store and first messages may be older than the quarantine."""
    crash_with(fleet, lost("c0", FATAL, FIRST))
    crash_with(fleet, lost("c1", FATAL, FIRST), lost("moved"))
    crashes = list(fleet.quarantine.by_content[bystander].crashes)
    crash_with(fleet, lost("c2", FATAL, FIRST), lost("moved"))
    assert held(fleet) == {FATAL}
    assert not fleet.quarantine.merge(bystander, crashes, None)
    assert not fleet.quarantine.by_content[bystander].crashes


def test_crashes_long_ago_count_no_more(fleet: Fleet) -> None:
    for number in range(QUARANTINE_THRESHOLD - 1):
        crash_with(fleet, lost(f"c{number}", FATAL))
    fleet.now += RETENTION_S
    fleet.quarantine.expire(fleet.now)
    crash_with(fleet, lost("later", FATAL))
    assert not held(fleet)


def test_a_part_is_one_suspect_wherever_it_stands(fleet: Fleet) -> None:
    """Guards against a fatal part that had to be found at each position anew."""
    prompts = (["a", "fatal", "own"], ["a", "b", "fatal", "own"], ["b", "fatal", "own"])
    for number, parts in enumerate(prompts):
        crash_with(fleet, lost(f"c{number}", *part_keys(parts)))
    assert held(fleet) == {FATAL}


def test_the_narrowest_of_later_parts_is_blamed(fleet: Fleet) -> None:
    keys = part_keys(["a", "wide", "fatal", "own"])
    for number in range(QUARANTINE_THRESHOLD):
        crash_with(fleet, lost(f"c{number}", *keys))
    assert held(fleet) == {FATAL}


@pytest.mark.parametrize("writer_first", [True, False])
def test_a_run_that_writes_at_a_crash_exonerates_its_parts_of_it(
    fleet: Fleet, writer_first: bool
) -> None:
    """Guards against popular parts blamed for targets that crash in a moment."""
    for number in range(2 * QUARANTINE_THRESHOLD_AFTER_GOOD_RUN):
        writer = [LostRun(OTHER, f"w{number}", 0.4, 18)]
        runs = [writer, lost(f"c{number}", OTHER)]
        crash_with(fleet, *(runs if writer_first else runs[::-1]), after_s=0.0)
    settle(fleet)
    assert not held(fleet)


@pytest.mark.parametrize("cause_first", [True, False])
def test_a_crash_at_a_trial_counts_against_no_bystander(
    fleet: Fleet, cause_first: bool
) -> None:
    for number in range(QUARANTINE_THRESHOLD):
        crash_with(fleet, lost(f"c{number}", FATAL))
    for number in range(FIRST_PART_QUARANTINE_THRESHOLD):
        runs = [lost(f"t{number}", FATAL), lost(f"b{number}", OTHER)]
        crash_with(fleet, *(runs if cause_first else runs[::-1]))
    assert held(fleet) == {FATAL}


def test_parts_are_evaluated_after_good_runs_had_time_to_arrive(fleet: Fleet) -> None:
    for number in range(QUARANTINE_THRESHOLD):
        fleet.record(*lost(f"c{number}", OTHER))
    fleet.evaluate()
    fleet.record_good_run(OTHER, "", ago_s=1.0)
    settle(fleet)
    assert not held(fleet)


def test_a_part_explains_the_crashes_of_a_content_that_was_moved_with_it(
    fleet: Fleet,
) -> None:
    """A sound item is begun again and again at targets that the part crashes."""
    for number in range(QUARANTINE_THRESHOLD):
        crash_with(fleet, lost(f"c{number}", FATAL, FIRST), lost("moved", FIRST))
    assert held(fleet) == {FATAL}
    fleet.crash(*lost("moved", FIRST))
    settle(fleet)
    assert held(fleet) == {FATAL}
