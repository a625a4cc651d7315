"""Each call of the platform under each fault, in memory and over HTTP alike."""

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest
from result import Err, Ok, Result

from caperridge.standins import platform as platform_standin
from caperridge.standins.platform import MemoryPlatform
from caperridge.store import settle
from caperridge.store.http import HttpPlatform
from caperridge.store.interface import (
    Conflict,
    DeleteRow,
    FieldEquals,
    ListedMember,
    NotDone,
    Platform,
    PutRow,
    RowAbsent,
    RowVersion,
    SetFields,
    Unknown,
)
from caperridge.store.settle import put_settled, transact_settled


class Pair:
    """A platform as its users see it, and the memory behind it with the faults."""

    def __init__(self, memory: MemoryPlatform, seen: Platform) -> None:
        self.memory = memory
        self.seen = seen


Call = Callable[[Platform], Awaitable[Result[Any, Any]]]
INSERT = ([RowAbsent("row/b")], [PutRow("row/b", {"n": 1})], "token-b")


async def _insert(platform: Platform) -> Result[Any, Any]:
    return await platform.transact(*INSERT)


async def _insert_settled(platform: Platform) -> Result[Any, Any]:
    return await transact_settled(platform, *INSERT)


WRITES: dict[str, Call] = {
    "transact": _insert,
    "transact_settled": _insert_settled,
    "put_object": lambda platform: platform.put_object("object/b", b"data"),
    "put_settled": lambda platform: put_settled(platform, "object/b", b"data"),
    "delete_object": lambda platform: platform.delete_object("object/a"),
}
READS: dict[str, Call] = {
    "read": lambda platform: platform.read(["row/a"]),
    "scan": lambda platform: platform.scan("row/"),
    "get_object": lambda platform: platform.get_object("object/a"),
    "list_objects": lambda platform: platform.list_objects("object/"),
    "members": lambda platform: platform.members(),
}
CALLS = WRITES | READS


@pytest.fixture(params=["memory", "http"])
async def pair(request: pytest.FixtureRequest, listen: Any) -> AsyncIterator[Pair]:
    memory = MemoryPlatform(time.monotonic)
    if request.param == "memory":
        yield Pair(memory, memory)
        return
    address = await listen(platform_standin.make_app(memory))
    http = HttpPlatform(f"http://{address}", "oviedo", deadline_s=0.5)
    yield Pair(memory, http)
    await http.close()


@pytest.fixture(autouse=True)
async def rows(pair: Pair, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(settle, "RETRY_DELAY_S", 0.0)
    memory = pair.memory
    await memory.transact([], [PutRow("row/a", {"n": 1, "s": "x"})], "token-a")
    await memory.put_object("object/a", b"0123456789")
    memory.set_members([ListedMember("t", "target", "h:1", "oviedo")])


def contents(pair: Pair) -> tuple[dict, dict]:
    return dict(pair.memory.rows_by_key), dict(pair.memory.objects_by_name)


@pytest.mark.parametrize("name", CALLS)
async def test_without_faults_each_call_is_done(pair: Pair, name: str) -> None:
    assert isinstance(await CALLS[name](pair.seen), Ok)


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param({"outage": True}, id="outage"),
        pytest.param({"writes_per_s": 1e-9, "reads_per_s": 1e-9}, id="throttled"),
    ],
)
@pytest.mark.parametrize("name", CALLS)
async def test_a_refused_call_is_not_done(
    pair: Pair, name: str, faults: dict[str, Any]
) -> None:
    pair.memory.faults = pair.memory.faults.replace(**faults)
    # The bucket holds one call's worth at first.
    await pair.memory.delete_object("object/none")
    await pair.memory.get_object("object/none")
    before = contents(pair)
    outcome = await CALLS[name](pair.seen)
    assert isinstance(outcome, Err)
    assert isinstance(outcome.err_value, NotDone)
    assert contents(pair) == before


@pytest.mark.parametrize("name", WRITES)
async def test_a_lost_answer_is_unknown_never_not_done(pair: Pair, name: str) -> None:
    pair.memory.faults.lose_answers = 1.0
    outcome = await WRITES[name](pair.seen)
    if name in ("transact_settled", "delete_object"):
        # Settled by reading back; a delete is the same whoever did it.
        assert isinstance(outcome, Ok)
        return
    assert isinstance(outcome, Err)
    assert isinstance(outcome.err_value, Unknown)


@pytest.mark.parametrize("name", CALLS)
async def test_a_slow_call_is_done_or_unknown(pair: Pair, name: str) -> None:
    pair.memory.faults.slow_s = 0.6
    outcome = await CALLS[name](pair.seen)
    if pair.seen is pair.memory:
        assert isinstance(outcome, Ok)
    else:
        assert isinstance(outcome.err_value, Unknown)


@pytest.mark.parametrize(
    ("condition", "holds"),
    [
        (RowAbsent("row/a"), False),
        (RowAbsent("row/c"), True),
        (RowVersion("row/a", 1), True),
        (RowVersion("row/a", 2), False),
        (RowVersion("row/c", 1), False),
        (FieldEquals("row/a", "s", "x"), True),
        (FieldEquals("row/a", "s", "y"), False),
        (FieldEquals("row/c", "s", "x"), False),
    ],
)
async def test_a_transaction_is_all_or_nothing(
    pair: Pair, condition: Any, holds: bool
) -> None:
    before = contents(pair)
    writes = [
        SetFields("row/a", {"n": 2}),
        PutRow("row/b", {"n": 1}),
        DeleteRow("row/d"),
    ]
    outcome = await pair.seen.transact([condition], writes, "t")
    if holds:
        assert outcome.ok_value.versions_by_key == {"row/a": 2, "row/b": 1}
        assert pair.memory.rows_by_key["row/a"].value == {"n": 2, "s": "x"}
        return
    assert isinstance(outcome.err_value, Conflict)
    assert outcome.err_value.failed_keys == [condition.key]
    shown = outcome.err_value.rows_by_key[condition.key]
    assert shown == pair.memory.rows_by_key.get(condition.key)
    assert contents(pair) == before


async def test_fields_of_an_absent_row_are_not_set(pair: Pair) -> None:
    outcome = await pair.seen.transact([], [SetFields("row/c", {"n": 1})], "t")
    assert outcome.err_value.failed_keys == ["row/c"]


async def test_a_settled_conflict_with_another_stays_a_conflict(pair: Pair) -> None:
    conditions = [RowVersion("row/a", 1)]
    await pair.memory.transact([], [SetFields("row/a", {"n": 9})], "other")
    pair.memory.faults.lose_answers = 1.0
    outcome = await transact_settled(
        pair.seen, conditions, [SetFields("row/a", {"n": 2})], "own"
    )
    assert isinstance(outcome.err_value, Conflict)
    assert pair.memory.rows_by_key["row/a"].value["n"] == 9


async def test_a_lost_answer_before_an_outage_stays_unknown(pair: Pair) -> None:
    pair.memory.faults.lose_answers = 1.0
    first = await pair.seen.transact(*INSERT)
    assert isinstance(first.err_value, Unknown)
    transact = pair.seen.transact

    async def lost_then_away(*arguments: Any) -> Result[Any, Any]:
        outcome = await transact(*arguments)
        pair.memory.faults.outage = True
        return outcome

    pair.memory.rows_by_key.pop("row/b")
    pair.seen.transact = lost_then_away
    outcome = await transact_settled(pair.seen, *INSERT)
    assert isinstance(outcome.err_value, Unknown)
    assert "row/b" in pair.memory.rows_by_key


async def test_pages_of_a_scan_are_in_order_and_complete(pair: Pair) -> None:
    for number in range(7):
        await pair.memory.transact([], [PutRow(f"page/{number}", {"n": number})], "t")
    found: list[int] = []
    after = ""
    while page := (await pair.seen.scan("page/", after, 3)).ok_value:
        found.extend(row.value["n"] for row in page)
        after = page[-1].key
    assert found == list(range(7))


async def test_part_of_an_object_can_be_read(pair: Pair) -> None:
    assert (await pair.seen.get_object("object/a", 2, 3)).ok_value == b"234"
    assert (await pair.seen.get_object("object/none")).ok_value is None
