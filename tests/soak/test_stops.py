"""The check of planned stops, on stops and requests that are made up."""

import pytest

from soak.callers import Tally
from soak.diary import EVERYBODY, Diary, Life, Trouble
from soak.kept import KeptRequest
from soak.stops import check_stops

GRACE_S = 4.0
TERM = 100.0
ENDED = 103.0


def check(
    request: KeptRequest, diary: Diary, ran: bool = False, ended: float = ENDED
) -> list[str]:
    request.life.term = TERM
    request.life.ended = ended
    diary.lives.append(request.life)
    tally = Tally()
    check_stops(diary, GRACE_S, [request], {request.id} if ran else set(), tally)
    return tally.broken


def sent(
    at: float, for_s: float, status: int | None = None, whole: bool = False
) -> KeptRequest:
    request = KeptRequest("k1", Life("e-1", 10.0), at)
    request.ended = at + for_s
    request.status = status
    request.whole = whole
    return request


@pytest.mark.parametrize(
    ("request_", "ran", "word"),
    [
        (sent(102.0, 0.5, 200, whole=True), True, ""),
        (sent(102.0, 0.5, 503, whole=True), False, ""),
        (sent(102.0, 0.1), False, ""),
        (sent(98.0, 1.9), True, ""),
        (sent(102.0, 0.3), False, "no answer on a connection"),
        (sent(102.0, 6.0), False, "no answer on a connection"),
        (sent(102.0, 0.1), True, "ran at a target"),
        (sent(102.0, 0.1, 200), True, "cut off"),
        (sent(98.0, 2.5, 200), True, "cut off"),
        (sent(102.0, 0.5, 502, whole=True), True, "answered 502"),
        (sent(102.0, 0.5, 504, whole=True), True, "answered 504"),
        (sent(98.0, 5.0, 504, whole=True), True, ""),
    ],
)
def test_only_an_answer_a_refusal_or_a_crossing_is_allowed(
    request_: KeptRequest, ran: bool, word: str
) -> None:
    broken = check(request_, Diary(), ran)
    assert [word in line for line in broken] == ([True] if word else [])


@pytest.mark.parametrize(
    ("instance", "over_at", "checked"),
    [("e-1", 97.5, 0), (EVERYBODY, 97.5, 0), ("e-1", 96.5, 1), ("e-2", 100.5, 1)],
)
def test_trouble_at_an_instance_suspends_its_promise_for_a_while(
    instance: str, over_at: float, checked: int
) -> None:
    diary = Diary()
    trouble = Trouble(instance, "paused", 90.0)
    trouble.ended = over_at
    diary.troubles.append(trouble)
    assert len(check(sent(102.0, 1.0), diary)) == checked


def test_the_end_of_a_connection_is_seen_later_by_a_late_soak() -> None:
    diary = Diary()
    diary.late.append((102.4, 0.3))
    assert check(sent(102.0, 0.4), diary) == []
    assert len(check(sent(102.0, 0.6), diary)) == 1


@pytest.mark.parametrize(
    ("late_at", "late_s", "found"), [(101.0, 1.0, 0), (101.0, 0.3, 1), (99.0, 1.0, 1)]
)
def test_what_a_target_took_may_fail_only_where_everything_stood_still(
    late_at: float, late_s: float, found: int
) -> None:
    for request in (sent(102.0, 0.7, 200), sent(102.0, 0.7)):
        diary = Diary()
        diary.late.append((late_at, late_s))
        assert len(check(request, diary, ran=True)) == found


def test_a_request_that_nobody_took_is_found_also_after_a_standstill() -> None:
    diary = Diary()
    diary.late.append((101.0, 1.0))
    assert len(check(sent(102.0, 0.3), diary)) == 1


def test_a_stop_beyond_the_grace_period_is_found() -> None:
    assert check(sent(102.0, 0.1), Diary(), ended=104.9) == []
    assert len(check(sent(102.0, 0.1), Diary(), ended=105.1)) == 1


@pytest.mark.parametrize(("code", "found"), [(-9, 0), (-1, 1), (1, 1), (0, 1)])
def test_a_process_that_ends_by_itself_is_found(code: int, found: int) -> None:
    diary = Diary()
    life = Life("e-1", 10.0)
    life.ended = ENDED
    life.code = code
    diary.lives.append(life)
    tally = Tally()
    check_stops(diary, GRACE_S, [], set(), tally)
    assert len(tally.broken) == found
