"""Quarantine of requests that crash their targets, without a network.

Guards against the pattern of an incident: a request that crashes each of its targets is
repeated every 0.3 s, at any instance. Two to ten other requests of any age up to a
second run at each target that crashes; the fatal one has no event and is about 0.1 s
old.
"""

import pytest

from caperridge.decisions.quarantine import (
    MAX_SUSPECTS,
    RETENTION_S,
    SETTLE_S,
    Quarantine,
)
from caperridge.decisions.suspects import (
    GOOD_RUN_TTL_S,
    QUARANTINE_THRESHOLD,
    TRIAL_DELAYS_S,
    Crash,
    Hold,
    LostRun,
)

FATAL = LostRun("fatal", "caller", 0.1, 0)


def bystander(content: str, caller: str = "caller") -> LostRun:
    return LostRun(content, caller, 0.4, 18)


class Fleet:
    """A quarantine whose targets crash one after the other."""

    def __init__(self) -> None:
        self.quarantine = Quarantine()
        self.now = 100.0
        self.targets = 0

    def crash(self, *runs: LostRun, reported_by: str = "e-0") -> None:
        """Crash one target with these runs, and evaluate the crash."""
        self.record(*runs, reported_by=reported_by)
        self.evaluate()

    def record(self, *runs: LostRun, reported_by: str = "e-0") -> None:
        """Crash one target with these runs."""
        self.targets += 1
        self.quarantine.record_crash(f"t-{self.targets}", runs, self.now, reported_by)

    def evaluate(self) -> list[str]:
        """Wait until all reports arrived; return the newly quarantined contents."""
        self.now += SETTLE_S
        return [one.content for one in self.quarantine.evaluate(self.now)]

    def record_good_run(
        self, content: str, caller: str = "caller", ago_s: float = 0.0
    ) -> None:
        self.quarantine.record_good_run(content, caller, self.now - ago_s, self.now)

    def is_quarantined(self, content: str, caller: str = "caller") -> bool:
        return self.quarantine.hold_for(content, caller) is not None


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


def test_enough_ends_put_a_request_in_quarantine_and_no_other(fleet: Fleet) -> None:
    for number in range(QUARANTINE_THRESHOLD):
        assert not fleet.is_quarantined("fatal")
        fleet.crash(bystander(f"sound-{number}"), FATAL)
        fleet.now += 0.3
    assert fleet.is_quarantined("fatal")
    assert [one.content for one in fleet.quarantine.quarantined()] == ["fatal"]


def test_one_end_reported_by_all_instances_is_one(fleet: Fleet) -> None:
    for instance in ("e-0", "e-1", "e-2"):
        fleet.quarantine.record_crash("t", [FATAL], fleet.now, instance)
        fleet.now += 0.004
    fleet.evaluate()
    assert not fleet.is_quarantined("fatal")


def test_a_target_that_ends_again_under_its_name_counts_again(fleet: Fleet) -> None:
    for _ in range(QUARANTINE_THRESHOLD):
        fleet.quarantine.record_crash("t", [FATAL], fleet.now, "e-0")
        fleet.now += 4.0
    fleet.evaluate()
    assert fleet.is_quarantined("fatal")


@pytest.mark.parametrize("victim_first", [True, False])
def test_who_was_moved_into_the_same_ends_is_not_to_blame(
    fleet: Fleet, victim_first: bool
) -> None:
    """A stream that is moved is at the next crash as well, but has produced events."""
    victim = LostRun("moved", "caller", 0.3, 12)
    runs = [victim, FATAL] if victim_first else [FATAL, victim]
    for _ in range(QUARANTINE_THRESHOLD):
        fleet.crash(*runs)
        fleet.now += 0.3
    assert fleet.is_quarantined("fatal")
    assert not fleet.is_quarantined("moved")
    fleet.crash(victim)
    assert not fleet.is_quarantined("moved")


def test_the_word_of_another_instance_may_come_a_little_later(fleet: Fleet) -> None:
    victim = LostRun("moved", "caller", 0.3, 12)
    for _ in range(QUARANTINE_THRESHOLD - 1):
        fleet.crash(victim, FATAL)
        fleet.now += 0.3
    fleet.quarantine.record_crash("last", [victim], fleet.now, "e-0")
    fleet.now += SETTLE_S / 2
    fleet.quarantine.evaluate(fleet.now)
    fleet.quarantine.record_crash("last", [FATAL], fleet.now, "e-1")
    assert fleet.evaluate() == ["fatal"]
    assert not fleet.is_quarantined("moved")


def test_a_popular_request_is_not_blamed_for_targets_that_end_by_themselves(
    fleet: Fleet,
) -> None:
    for _ in range(20):
        fleet.record_good_run("popular")
        fleet.crash(bystander("popular"))
        fleet.now += 0.5
        fleet.record_good_run("popular")
        fleet.now += 1.0
        assert not fleet.is_quarantined("popular")


def test_a_popular_request_is_not_blamed_when_several_targets_end_at_once(
    fleet: Fleet,
) -> None:
    for number in range(QUARANTINE_THRESHOLD + 1):
        fleet.quarantine.record_crash(
            f"t-{number}", [bystander("popular")], fleet.now, "e-0"
        )
    fleet.record_good_run("popular", ago_s=0.7)
    assert fleet.evaluate() == []


def test_one_whose_headers_change_is_not_blamed_when_several_end_at_once(
    fleet: Fleet,
) -> None:
    for number in range(QUARANTINE_THRESHOLD + 1):
        run = LostRun("popular", f"headers-{number}", 0.4, 18)
        fleet.quarantine.record_crash(f"t-{number}", [run], fleet.now, "e-0")
    fleet.record_good_run("popular", "headers-9", ago_s=0.7)
    assert fleet.evaluate() == []


def test_word_of_a_good_run_shortly_before_ends_a_hold(fleet: Fleet) -> None:
    for _ in range(QUARANTINE_THRESHOLD):
        fleet.crash(bystander("popular"))
    assert fleet.is_quarantined("popular")
    fleet.record_good_run("popular", ago_s=2.0)
    assert not fleet.is_quarantined("popular")


def test_a_request_that_ran_well_long_ago_can_be_to_blame(fleet: Fleet) -> None:
    fleet.crash(FATAL)
    fleet.record_good_run("fatal")
    fleet.now += GOOD_RUN_TTL_S
    for _ in range(QUARANTINE_THRESHOLD):
        fleet.crash(FATAL)
    assert fleet.is_quarantined("fatal")


def test_another_caller_of_the_same_is_served(fleet: Fleet) -> None:
    for _ in range(QUARANTINE_THRESHOLD):
        fleet.crash(FATAL)
    assert fleet.is_quarantined("fatal", "caller")
    assert not fleet.is_quarantined("fatal", "another")


def test_a_request_whose_headers_change_is_known_all_the_same(fleet: Fleet) -> None:
    for number in range(QUARANTINE_THRESHOLD):
        fleet.crash(LostRun("fatal", f"headers-{number}", 0.1, 0))
    assert fleet.is_quarantined("fatal", "headers-9")


def test_headers_that_change_do_not_make_a_popular_request_suspect(
    fleet: Fleet,
) -> None:
    for number in range(3 * QUARANTINE_THRESHOLD):
        fleet.record_good_run("popular", f"headers-{number}")
        fleet.crash(LostRun("popular", f"lost-{number}", 0.4, 18))
        fleet.now += 1.0
        fleet.record_good_run("popular", f"later-{number}")
        assert not fleet.is_quarantined("popular", "headers-9")


def test_a_caller_for_whom_it_runs_well_is_served_beside_others(fleet: Fleet) -> None:
    """The same content crashes targets for one caller and is served for another."""
    for _ in range(QUARANTINE_THRESHOLD):
        fleet.crash(FATAL)
        fleet.record_good_run("fatal", "another")
        fleet.now += 0.3
    assert fleet.is_quarantined("fatal", "caller")
    assert not fleet.is_quarantined("fatal", "another")


def test_several_such_requests_at_once_are_found_each(fleet: Fleet) -> None:
    others = [LostRun(f"fatal-{number}", "caller", 0.12, 0) for number in range(3)]
    for round_number in range(2 * QUARANTINE_THRESHOLD):
        running = [one for one in others if not fleet.is_quarantined(one.content)]
        if not running:
            break
        fleet.crash(
            running[round_number % len(running)], bystander(f"sound-{round_number}")
        )
        fleet.now += 0.2
    for _ in range(QUARANTINE_THRESHOLD):
        for one in others:
            if not fleet.is_quarantined(one.content):
                fleet.crash(one)
                fleet.now += 0.2
    quarantined = {one.content for one in fleet.quarantine.quarantined()}
    assert quarantined == {one.content for one in others}


def test_two_that_end_the_same_targets_are_both_found(fleet: Fleet) -> None:
    second = LostRun("fatal-2", "caller", 0.15, 0)
    for _ in range(QUARANTINE_THRESHOLD):
        fleet.crash(FATAL, second)
    assert fleet.is_quarantined("fatal")
    for _ in range(QUARANTINE_THRESHOLD):
        fleet.crash(second)
    assert fleet.is_quarantined("fatal-2")


def test_a_good_run_clears_a_request(fleet: Fleet) -> None:
    for _ in range(QUARANTINE_THRESHOLD):
        fleet.crash(FATAL)
    fleet.now += TRIAL_DELAYS_S[0]
    fleet.record_good_run("fatal")
    assert not fleet.is_quarantined("fatal")
    fleet.crash(FATAL)
    assert not fleet.is_quarantined("fatal")


def test_a_held_request_is_tried_three_times_in_two_minutes_at_most(
    fleet: Fleet,
) -> None:
    """The request is repeated continuously and crashes its target each time."""
    for _ in range(QUARANTINE_THRESHOLD):
        fleet.crash(FATAL)
    started_at = fleet.now
    trials: list[float] = []
    while fleet.now < started_at + 120.0:
        hold = fleet.quarantine.hold_for("fatal", "caller")
        assert hold is not None
        if hold.is_due(fleet.now):
            trials.append(fleet.now - started_at)
            suspect = fleet.quarantine.by_content["fatal"]
            suspect.hold = hold.after_trial(fleet.now)
            fleet.crash(FATAL)
        fleet.now += 0.1
    assert [round(at) for at in trials] == [1, 11, 71]


def test_one_that_comes_late_is_not_tried_before_its_time(fleet: Fleet) -> None:
    """The early first trial expires if no caller repeats the request in time."""
    for _ in range(QUARANTINE_THRESHOLD):
        fleet.crash(FATAL)
    hold = fleet.quarantine.hold_for("fatal", "caller")
    assert hold is not None
    due = [s / 2 for s in range(30) if hold.is_due(hold.since + s / 2)]
    assert due == [1.0, 1.5, *(s / 2 for s in range(20, 30))]
    assert hold.next_due(hold.since + 3.0) == hold.since + TRIAL_DELAYS_S[1]
    later = hold.after_trial(hold.since + 12.0)
    assert later.next_due(hold.since + 13.0) == hold.since + 12.0 + TRIAL_DELAYS_S[2]


def test_a_trial_given_back_is_due_at_once_and_lengthens_no_delay(
    fleet: Fleet,
) -> None:
    """Guards against a sound request that is held because its trials were cut."""
    for _ in range(QUARANTINE_THRESHOLD):
        fleet.crash(FATAL)
    suspect = fleet.quarantine.by_content["fatal"]
    assert suspect.hold is not None
    now = suspect.hold.since + TRIAL_DELAYS_S[1]
    tried = suspect.hold.after_trial(now)
    hold = tried
    for _ in range(5):
        now += 3.0
        hold = hold.with_trial_given_back(now)
        assert hold.is_due(now)
        hold = hold.after_trial(now)
    assert hold.trial_at - now == tried.trial_at - (suspect.hold.since + 10.0)


def test_a_trial_given_back_replaces_the_hold_that_peers_know(fleet: Fleet) -> None:
    """Guards against peers that keep the delay of a trial that was given back."""
    for _ in range(QUARANTINE_THRESHOLD):
        fleet.crash(FATAL)
    suspect = fleet.quarantine.by_content["fatal"]
    assert suspect.hold is not None
    now = suspect.hold.since + TRIAL_DELAYS_S[1]
    claimed = suspect.hold.after_trial(now)
    given_back = claimed.with_trial_given_back(now + 3.0)
    assert suspect.merge([], claimed) and suspect.merge([], given_back)
    assert suspect.hold is given_back and not suspect.merge([], claimed)
    from_peer = given_back.replace(given_back=0)
    assert not suspect.merge([], from_peer)
    suspect.hold = from_peer
    assert suspect.merge([], given_back) and suspect.hold is given_back


def test_what_a_peer_kept_of_an_older_hold_does_not_come_back(fleet: Fleet) -> None:
    for _ in range(QUARANTINE_THRESHOLD):
        fleet.crash(FATAL)
    suspect = fleet.quarantine.by_content["fatal"]
    crashes, hold = list(suspect.crashes), suspect.hold
    fleet.now += 1.0
    fleet.record_good_run("fatal")
    fleet.quarantine.merge("fatal", crashes, hold)
    fleet.evaluate()
    assert not fleet.is_quarantined("fatal")


def test_who_knows_nothing_takes_a_hold_from_elsewhere(fleet: Fleet) -> None:
    crashes = [Crash(f"t-{n}", "caller", 0.1, 0, 90.0 + n, "e-1") for n in range(3)]
    hold = Hold(frozenset({"caller"}), 93.0, 1, 160.0)
    assert fleet.quarantine.merge("fatal", crashes, hold)
    assert fleet.is_quarantined("fatal")
    later = Hold(frozenset({"caller"}), 93.0, 2, 1060.0)
    assert fleet.quarantine.merge("fatal", crashes, later)
    assert not fleet.quarantine.merge("fatal", crashes, hold)
    assert fleet.quarantine.hold_for("fatal", "caller").trial_at == 1060.0


def test_ends_that_two_saw_apart_add_up(fleet: Fleet) -> None:
    """A partitioned instance knows of one crash, its peers of two others."""
    fleet.crash(FATAL)
    crashes = [Crash(f"u-{n}", "caller", 0.1, 0, 99.0 + n / 2, "e-1") for n in range(2)]
    fleet.quarantine.merge("fatal", crashes, None)
    assert fleet.evaluate() == ["fatal"]


def test_what_is_remembered_is_bounded_and_what_is_held_goes_last(
    fleet: Fleet,
) -> None:
    for _ in range(QUARANTINE_THRESHOLD):
        fleet.crash(FATAL)
    for number in range(2 * MAX_SUSPECTS):
        fleet.quarantine.record_crash(
            f"x-{number}", [bystander(f"b-{number}")], 200.0, "e"
        )
    assert len(fleet.quarantine.by_content) == MAX_SUSPECTS
    assert fleet.is_quarantined("fatal")
    for _ in range(100):
        fleet.crash(FATAL)
        fleet.now += 2.0
    assert len(fleet.quarantine.by_content["fatal"].crashes) < 20


def test_old_ends_are_forgotten(fleet: Fleet) -> None:
    fleet.crash(FATAL)
    fleet.crash(FATAL)
    fleet.now += RETENTION_S
    fleet.quarantine.expire(fleet.now)
    assert not fleet.quarantine.by_content
