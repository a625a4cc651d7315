"""Faults by kinds of call: what the caller sees, the run word, how often it ran."""

import asyncio

import pytest

from caperridge.commands.sessions import lapse_session
from caperridge.keys import session
from caperridge.store.interface import PutRow, RowAbsent
from conftest import until
from loop_clock import LoopClock
from plain.conftest import LATE_S, PATIENT_S

OK = (200, "")
NOT_RUN = (503, "not_run")
LOST = (502, "unknown")
GONE = (409, "unknown")
ALL, FIRST = "all", "first"

# fault, at which targets, its switches;
# then for each kind of call what is seen and how often the targets ran it:
# repeatable; not repeatable; the same with a key; a resend once the fault is gone
TABLE = [
    ("lost before", ALL, {"lose_before": True}, (LOST, 0), (LOST, 0), (LOST, 0), GONE),
    ("lost during", ALL, {"lose_during": True}, (LOST, 2), (LOST, 1), (LOST, 1), GONE),
    ("lost after", ALL, {"lose_after": True}, (LOST, 2), (LOST, 1), (LOST, 1), GONE),
    ("hung", ALL, {"hung": True}, (LOST, 2), (LOST, 1), (LOST, 1), GONE),
    ("late", ALL, {"late_s": LATE_S}, (LOST, 2), (LOST, 1), (LOST, 1), GONE),
    ("late, in time", ALL, {"late_s": 0.05}, (OK, 1), (OK, 1), (OK, 1), OK),
    ("lost at one", FIRST, {"lose_after": True}, (OK, 2), (LOST, 1), (LOST, 1), GONE),
    ("hung at one", FIRST, {"hung": True}, (OK, 2), (LOST, 1), (LOST, 1), GONE),
    (
        "429",
        ALL,
        {"refuse_status": 429},
        ((429, ""), 0),
        ((429, ""), 0),
        ((429, ""), 0),
        (429, ""),
    ),
    (
        "503 without a word",
        ALL,
        {"refuse_status": 503},
        ((503, ""), 0),
        ((503, ""), 0),
        ((503, ""), 0),
        (503, ""),
    ),
    (
        "503 not_run",
        ALL,
        {"refuse_status": 503, "refuse_run": "not_run"},
        (NOT_RUN, 0),
        (NOT_RUN, 0),
        (NOT_RUN, 0),
        OK,
    ),
    (
        "429 not_run at one",
        FIRST,
        {"refuse_status": 429, "refuse_run": "not_run"},
        (OK, 1),
        (OK, 1),
        (OK, 1),
        OK,
    ),
    (
        "503 at one",
        FIRST,
        {"refuse_status": 503},
        (OK, 1),
        ((503, ""), 0),
        ((503, ""), 0),
        (503, ""),
    ),
    ("leaving", ALL, {"leaving": True}, (NOT_RUN, 0), (NOT_RUN, 0), (NOT_RUN, 0), OK),
    ("leaving at one", FIRST, {"leaving": True}, (OK, 1), (OK, 1), (OK, 1), OK),
    (
        "redirect",
        ALL,
        {"redirect": True},
        ((307, ""), 1),
        ((307, ""), 1),
        ((307, ""), 1),
        (307, ""),
    ),
]
IDS = [row[0] for row in TABLE]


@pytest.mark.parametrize("row", TABLE, ids=IDS)
async def test_a_repeatable_call_under_a_fault(rig, row) -> None:
    _, targets, faults, (seen, runs), _, _, _ = row
    rig.set_faults(targets, **faults)
    answer = await rig.call_past("lookup")
    assert ((answer.status, answer.run), rig.runs) == (seen, runs)


@pytest.mark.parametrize("row", TABLE, ids=IDS)
async def test_a_call_not_to_be_repeated_under_a_fault(rig, row) -> None:
    _, targets, faults, _, (seen, runs), _, _ = row
    rig.set_faults(targets, **faults)
    answer = await rig.call_past("billing")
    assert ((answer.status, answer.run), rig.runs) == (seen, runs)


@pytest.mark.parametrize("row", TABLE, ids=IDS)
async def test_a_keyed_call_under_a_fault_and_its_resend(rig, row) -> None:
    name, targets, faults, _, _, (seen, runs), resent = row
    rig.set_faults(targets, **faults)
    answer = await rig.call_past("billing", key="k1")
    assert ((answer.status, answer.run), rig.runs) == (seen, runs)
    rig.set_faults(ALL)
    if name == "leaving":
        new = [member.replace(incarnation=2) for member in rig.members]
        rig.instance.online.book.apply_list(new)
    again = await rig.call("billing", key="k1")
    assert (again.status, again.run) == resent
    if answer.status == again.status == 200:
        assert again.answer == answer.answer
        assert again.headers["Idempotent-Replayed"] == "true"
    assert rig.runs == max(runs, int(resent == OK))


@pytest.mark.parametrize(("service", "key"), [("lookup", ""), ("billing", "k1")])
async def test_a_refused_connection_is_not_run(
    rig, service, key, unused_tcp_port
) -> None:
    for state in rig.instance.online.book.states_by_id.values():
        state.member = state.member.replace(address=f"127.0.0.1:{unused_tcp_port}")
    answer = await rig.call(service, key)
    assert (answer.status, answer.run, rig.runs) == (*NOT_RUN, 0)
    assert answer.headers["Retry-After"] == "1"


async def test_a_refusal_that_is_not_believed_leaves_the_run_unknown(rig) -> None:
    service = rig.instance.configuration.current.services_by_name["billing"]
    service.believes_not_run = False
    rig.set_faults(ALL, refuse_status=503, refuse_run="not_run")
    answer = await rig.call("billing", key="k1")
    rig.set_faults(ALL)
    again = await rig.call("billing", key="k1")
    assert (answer.status, answer.run, rig.runs) == (503, "unknown", 0)
    assert (again.status, again.run, rig.runs) == (*GONE, 0)


async def test_a_resend_while_the_first_runs_is_told_so_at_once(rig) -> None:
    clock = LoopClock()
    rig.set_faults(ALL, late_s=PATIENT_S / 2)
    first = asyncio.ensure_future(rig.call("billing", key="k1"))
    await until(lambda: rig.runs == 1)
    second = await rig.call("billing", key="k1")
    assert (second.status, second.run, second.code) == (409, "unknown", "in_progress")
    assert second.headers["Retry-After"] == "1"
    assert rig.held == 1  # the first still runs
    await clock.ahead_until(lambda: not rig.held)
    assert (await first).status == 200
    third = await rig.call("billing", key="k1")
    assert (third.answer, rig.runs) == ((await first).answer, 1)


async def test_a_caller_that_hangs_up_finds_the_answer_later(rig) -> None:
    rig.set_faults(ALL, late_s=0.1)
    first = asyncio.ensure_future(rig.call("billing", key="k1"))
    await until(lambda: rig.runs == 1)
    first.cancel()
    await until(lambda: not rig.instance.keyed_calls.pending)
    again = await rig.call("billing", key="k1")
    assert (again.status, rig.runs) == (200, 1)


async def test_another_call_under_the_same_key_is_refused(rig) -> None:
    await rig.call("billing", key="k1")
    other = await rig.call("billing", key="k1", body="10")
    assert (other.status, other.run, other.code) == (409, "not_run", "key_reused")
    assert rig.runs == 1


@pytest.mark.parametrize("fault", ["outage", "dropped"])
async def test_a_claim_that_cannot_be_made_sends_nothing(rig, fault) -> None:
    rig.memory.claim = fault
    answer = await rig.call("billing", key="k1")
    assert (answer.status, answer.run, rig.runs) == (503, "unknown", 0)
    assert answer.headers["Retry-After"] == "1"
    unkeyed = await rig.call("billing")
    assert (unkeyed.status, rig.runs) == (200, 1)
    rig.memory.claim = ""
    assert (await rig.call("billing", key="k1")).status == 200
    assert rig.runs == 2


async def test_a_claim_whose_answer_is_lost_is_settled(rig) -> None:
    rig.memory.claim = rig.memory.record = "lost"
    first = await rig.call("billing", key="k1")
    again = await rig.call("billing", key="k1")
    assert (first.status, again.answer, rig.runs) == (200, first.answer, 1)


async def test_a_claim_in_doubt_is_given_back(rig, monkeypatch) -> None:
    read = rig.memory.read

    async def no_calls(keys):
        if keys[0].startswith("call/"):
            return await rig.memory.transact(
                [RowAbsent("x")], [PutRow("call/", {})], ""
            )
        return await read(keys)

    rig.memory.claim = "lost"
    monkeypatch.setattr(rig.memory, "read", no_calls)
    answer = await rig.call("billing", key="k1")
    assert (answer.status, answer.run, rig.runs) == (503, "unknown", 0)
    monkeypatch.undo()
    rig.memory.claim = ""
    await until(lambda: not rig.instance.keyed_calls.pending)
    assert (await rig.call("billing", key="k1")).status == 200
    assert rig.runs == 1


async def test_an_answer_is_given_though_it_cannot_be_recorded(rig) -> None:
    rig.memory.record = "outage"
    first = await rig.call("billing", key="k1")
    again = await rig.call("billing", key="k1")
    assert (first.status, again.status, again.run) == (200, 409, "unknown")
    rig.memory.record = ""
    await until(lambda: not rig.instance.keyed_calls.pending)
    last = await rig.call("billing", key="k1")
    assert (last.answer, rig.runs) == (first.answer, 1)


async def test_the_claim_of_an_instance_that_is_gone_is_unknown(rig) -> None:
    rig.memory.record = "outage"
    rig.set_faults(ALL, late_s=0.1)
    first = asyncio.ensure_future(rig.call("billing", key="k1"))
    await until(lambda: rig.runs == 1)
    key = session(rig.instance.session.session_id)
    row = rig.memory.rows_by_key[key]
    await lapse_session(rig.memory, rig.instance.session.session_id, row.version)
    again = await rig.call("billing", key="k1")
    assert (again.status, again.run, again.code) == (*GONE, "outcome_unknown")
    assert ((await first).status, rig.runs) == (200, 1)


async def test_a_large_answer_is_recorded_in_an_object(rig) -> None:
    body = "x" * 100_000
    first = await rig.call("billing", key="k1", body=body)
    again = await rig.call("billing", key="k1", body=body)
    assert first.answer["body"] == body
    assert (again.answer, rig.runs) == (first.answer, 1)
    (row,) = [r for k, r in rig.memory.rows_by_key.items() if k.startswith("call/")]
    assert not row.value["body"]


async def test_the_callers_token_stays_here(rig) -> None:
    seen = (await rig.call("billing", key="k1")).answer["headers"]
    assert "Authorization" not in seen
    assert (seen["X-Caller"], seen["Idempotency-Key"]) == ("heat", "k1")
