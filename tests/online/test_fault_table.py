"""Faults of a target by kinds of request: what the caller sees, and what ran."""

import asyncio

import pytest

from caperridge.decisions.patience import AdaptiveTimeout
from caperridge.standins.engine import Engine
from conftest import Listen
from online.conftest import TOKENS, FaultyTarget, Front

NOBODY = "127.0.0.1:1"  # a port that nobody listens on

# A process that stands still for as long as the patience has not sent its request yet,
# and moves it without any fault of the target's. So patience is long, and the clock is
# moved past it where a target hangs.
PATIENT_S = 20.0
DEADLINE_S = 300.0  # of the caller's, longer than all of that

# Fault; the `run` word if no other target can take it; how often the target ran it;
# tokens that the caller has by then.
FAULTS = [
    ("connect refused", "not_run", 0, 0),
    ("lost before the body is read", "unknown", 0, 0),
    ("lost after the body", "unknown", 1, 0),
    ("hung", "unknown", 1, 0),
    ("cut stream", "unknown", 1, 2),
    ("hung in the stream", "unknown", 1, 2),
    ("ended without the mark", "unknown", 1, 2),
    ("wrong id", "unknown", 1, 2),
    ("late event of another attempt", "unknown", 1, 2),
    ("crossed", "unknown", 1, 2),
    ("repeated offset", "unknown", 1, 2),
    ("skipped offset", "unknown", 1, 2),
    ("status 429 not_run", "not_run", 0, 0),
    ("status 429 silent", "unknown", 0, 0),
    ("status 503 not_run", "not_run", 0, 0),
    ("status 503 silent", "unknown", 0, 0),
    ("status 503 leaving", "not_run", 0, 0),
    ("status 500 silent", "unknown", 0, 0),
]
faults = pytest.mark.parametrize(("fault", "run", "runs", "seen"), FAULTS)
kinds = pytest.mark.parametrize("stream", [True, False], ids=["streamed", "whole"])


@pytest.fixture(autouse=True)
def patient(front: Front, monkeypatch: pytest.MonkeyPatch) -> None:
    """Have faults found by what they are, however slow this process is."""
    front.headers["Timeout"] = str(DEADLINE_S)
    monkeypatch.setattr("caperridge.targets.engine.MAX_CONNECT_S", PATIENT_S)
    policy = front.online.attempts.policy("chat")
    policy.first_event = AdaptiveTimeout(
        0.95, 3.0, PATIENT_S, 30.0, initial_s=PATIENT_S
    )
    policy.inter_event = AdaptiveTimeout(
        0.95, 3.0, PATIENT_S, 30.0, initial_s=PATIENT_S
    )


async def add_faulty(front: Front, listen: Listen, fault: str) -> FaultyTarget:
    target = FaultyTarget(fault)
    refused = fault == "connect refused"
    # It sorts first, so that the request goes there first.
    front.add("a-faulty", NOBODY if refused else await listen(target.app()))
    return target


@faults
@kinds
async def test_the_request_is_moved_and_whole(
    front: Front,
    good: tuple[Engine, str],
    listen: Listen,
    stream: bool,
    fault: str,
    run: str,
    runs: int,
    seen: int,
) -> None:
    target = await add_faulty(front, listen, fault)
    engine, address = good
    front.add("b-good", address)
    answer = await front.ask_past(target, stream)
    assert (answer.status, answer.cut) == (200, False)
    assert target.runs == runs
    assert list(engine.runs_by_request.values()) == [1]
    if stream:
        assert answer.marked
        assert answer.offsets == list(range(TOKENS))
        return
    text = answer.events[0]["choices"][0]["text"]
    assert len(text.split()) == TOKENS


@faults
@kinds
async def test_without_another_target_the_refusal_is_true(
    front: Front,
    listen: Listen,
    stream: bool,
    fault: str,
    run: str,
    runs: int,
    seen: int,
) -> None:
    target = await add_faulty(front, listen, fault)
    answer = await front.ask_past(target, stream)
    assert target.runs == runs
    assert answer.error["run"] == run
    assert not answer.marked
    if stream and seen:
        assert (answer.status, answer.cut) == (200, True)
        assert answer.offsets == list(range(seen))
        return
    assert answer.status == 503
    assert "Retry-After" in answer.headers
    assert answer.headers["X-Request-Id"] == answer.error["request_id"]


@faults
@kinds
async def test_what_may_not_be_repeated_is_sent_on_only_if_it_did_not_run(
    front: Front,
    good: tuple[Engine, str],
    listen: Listen,
    stream: bool,
    fault: str,
    run: str,
    runs: int,
    seen: int,
) -> None:
    front.service.repeatable = False
    target = await add_faulty(front, listen, fault)
    engine, address = good
    front.add("b-good", address)
    answer = await front.ask_past(target, stream)
    ran = target.runs + sum(engine.runs_by_request.values())
    assert ran <= 1
    if run == "not_run":
        assert (answer.status, ran) == (200, 1)
        return
    assert answer.error["run"] == "unknown"
    assert answer.error["code"] == "answer_lost"
    assert not engine.runs_by_request


@kinds
async def test_a_disbelieved_not_run_is_unknown(
    front: Front, listen: Listen, stream: bool
) -> None:
    front.service.believes_not_run = False
    await add_faulty(front, listen, "status 503 not_run")
    answer = await front.ask(stream)
    assert answer.error["run"] == "unknown"


@kinds
async def test_an_answer_that_lacks_only_its_mark_is_not_run_again(
    front: Front, good: tuple[Engine, str], listen: Listen, stream: bool
) -> None:
    target = await add_faulty(front, listen, "mark lost after the last token")
    engine, address = good
    front.add("b-good", address)
    answer = await front.ask(stream)
    assert (answer.status, answer.cut) == (200, False)
    assert (target.runs, engine.runs_by_request) == (1, {})
    if stream:
        assert answer.offsets == list(range(TOKENS))


async def test_an_event_after_the_mark_does_not_reach_the_caller(
    front: Front, listen: Listen
) -> None:
    await add_faulty(front, listen, "event after the mark")
    answer = await front.ask(stream=True)
    assert answer.offsets == list(range(TOKENS))


async def test_a_leaving_target_is_told_of_and_gets_nothing_more(
    front: Front, good: tuple[Engine, str], listen: Listen
) -> None:
    await add_faulty(front, listen, "status 503 leaving")
    front.add("b-good", good[1])
    await front.ask(stream=False)
    assert front.leaving == ["a-faulty"]
    front.book.apply_list(front.members)  # the list still calls it live
    assert [item.target for item in front.book.rank("chat")] == ["b-good"]


async def test_a_refusal_that_holds_anywhere_remembers_an_earlier_attempt(
    front: Front, listen: Listen
) -> None:
    await add_faulty(front, listen, "lost after the body")
    front.add("b-strict", await listen(FaultyTarget("status 422 not_run").app()))
    answer = await front.ask(stream=False)
    assert (answer.status, answer.error["run"]) == (422, "unknown")


@kinds
@pytest.mark.parametrize("other", ["lost after the body", "crossed"])
async def test_a_target_that_was_only_slow_is_tried_again_when_no_other_is_left(
    front: Front, listen: Listen, stream: bool, other: str
) -> None:
    # Guards against 503 "no other target" while a sound target was given up early.
    slow = await add_faulty(front, listen, "hung")
    front.add("b-faulty", await listen(FaultyTarget(other).app()))
    async with asyncio.TaskGroup() as group:
        asking = group.create_task(front.ask_past(slow, stream))
        await slow.hanging.wait()
        slow.fault = ""
    answer = asking.result()
    assert (answer.status, answer.cut) == (200, False), answer.error
    assert slow.runs == 2
    if stream:
        assert answer.marked
        assert answer.offsets == list(range(TOKENS))


async def test_a_request_that_no_target_can_take_is_refused_without_queueing(
    front: Front, listen: Listen
) -> None:
    # Guards against a wait for room at targets that have failed the request already.
    faulty = await add_faulty(front, listen, "hung")
    async with asyncio.TaskGroup() as group:
        asking = group.create_task(front.ask_past(faulty, stream=False))
        await faulty.hanging.wait()
        busy = front.book.states_by_id["a-faulty"]
        busy.in_flight += 2 * front.service.most_running
    answer = asking.result()
    assert answer.error["code"] == "no_target"
    steps = [step.what for step in front.traces.find(answer.error["request_id"]).steps]
    assert "queued" not in steps
