"""Contract of each platform call under each fault, in memory and over HTTP."""

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


class PlatformUnderTest:
    """A platform client, and the in-memory platform behind it, which injects faults."""

    def __init__(self, memory: MemoryPlatform, client: Platform) -> None:
        self.memory = memory
        self.client = client


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
async def under_test(
    request: pytest.FixtureRequest, listen: Any
) -> AsyncIterator[PlatformUnderTest]:
    memory = MemoryPlatform(time.monotonic)
    if request.param == "memory":
        yield PlatformUnderTest(memory, memory)
        return
    address = await listen(platform_standin.make_app(memory))
    http = HttpPlatform(f"http://{address}", "oviedo", deadline_s=0.5)
    yield PlatformUnderTest(memory, http)
    await http.close()


@pytest.fixture(autouse=True)
async def rows(under_test: PlatformUnderTest, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(settle, "RETRY_DELAY_S", 0.0)
    memory = under_test.memory
    await memory.transact([], [PutRow("row/a", {"n": 1, "s": "x"})], "token-a")
    await memory.put_object("object/a", b"0123456789")
    memory.set_members([ListedMember("t", "target", "h:1", "oviedo")])


def contents(under_test: PlatformUnderTest) -> tuple[dict, dict]:
    return dict(under_test.memory.rows_by_key), dict(under_test.memory.objects_by_name)


@pytest.mark.parametrize("name", CALLS)
async def test_without_faults_each_call_is_done(
    under_test: PlatformUnderTest, name: str
) -> None:
    assert isinstance(await CALLS[name](under_test.client), Ok)


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param({"outage": True}, id="outage"),
        pytest.param({"writes_per_s": 1e-9, "reads_per_s": 1e-9}, id="throttled"),
    ],
)
@pytest.mark.parametrize("name", CALLS)
async def test_a_refused_call_is_not_done(
    under_test: PlatformUnderTest, name: str, faults: dict[str, Any]
) -> None:
    under_test.memory.faults = under_test.memory.faults.replace(**faults)
    # Initially the rate limiter's token bucket allows one call.
    await under_test.memory.delete_object("object/none")
    await under_test.memory.get_object("object/none")
    before = contents(under_test)
    outcome = await CALLS[name](under_test.client)
    assert isinstance(outcome, Err)
    assert isinstance(outcome.err_value, NotDone)
    assert contents(under_test) == before


@pytest.mark.parametrize("name", WRITES)
async def test_a_lost_answer_is_unknown_never_not_done(
    under_test: PlatformUnderTest, name: str
) -> None:
    under_test.memory.faults.lose_answers = 1.0
    outcome = await WRITES[name](under_test.client)
    if name in ("transact_settled", "delete_object"):
        # The settled one is read back; deleting twice gives the same result.
        assert isinstance(outcome, Ok)
        return
    assert isinstance(outcome, Err)
    assert isinstance(outcome.err_value, Unknown)


@pytest.mark.parametrize("name", CALLS)
async def test_a_slow_call_is_done_or_unknown(
    under_test: PlatformUnderTest, name: str
) -> None:
    under_test.memory.faults.slow_s = 0.6
    outcome = await CALLS[name](under_test.client)
    if under_test.client is under_test.memory:
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
    under_test: PlatformUnderTest, condition: Any, holds: bool
) -> None:
    before = contents(under_test)
    writes = [
        SetFields("row/a", {"n": 2}),
        PutRow("row/b", {"n": 1}),
        DeleteRow("row/d"),
    ]
    outcome = await under_test.client.transact([condition], writes, "t")
    if holds:
        assert outcome.ok_value.versions_by_key == {"row/a": 2, "row/b": 1}
        assert under_test.memory.rows_by_key["row/a"].value == {"n": 2, "s": "x"}
        return
    assert isinstance(outcome.err_value, Conflict)
    assert outcome.err_value.failed_keys == [condition.key]
    reported_row = outcome.err_value.rows_by_key[condition.key]
    assert reported_row == under_test.memory.rows_by_key.get(condition.key)
    assert contents(under_test) == before


async def test_fields_of_an_absent_row_are_not_set(
    under_test: PlatformUnderTest,
) -> None:
    outcome = await under_test.client.transact([], [SetFields("row/c", {"n": 1})], "t")
    assert outcome.err_value.failed_keys == ["row/c"]


async def test_a_settled_conflict_with_another_stays_a_conflict(
    under_test: PlatformUnderTest,
) -> None:
    conditions = [RowVersion("row/a", 1)]
    await under_test.memory.transact([], [SetFields("row/a", {"n": 9})], "other")
    under_test.memory.faults.lose_answers = 1.0
    outcome = await transact_settled(
        under_test.client, conditions, [SetFields("row/a", {"n": 2})], "own"
    )
    assert isinstance(outcome.err_value, Conflict)
    assert under_test.memory.rows_by_key["row/a"].value["n"] == 9


async def test_a_lost_answer_before_an_outage_stays_unknown(
    under_test: PlatformUnderTest,
) -> None:
    under_test.memory.faults.lose_answers = 1.0
    first = await under_test.client.transact(*INSERT)
    assert isinstance(first.err_value, Unknown)
    transact = under_test.client.transact

    async def transact_before_outage(*arguments: Any) -> Result[Any, Any]:
        outcome = await transact(*arguments)
        under_test.memory.faults.outage = True
        return outcome

    under_test.memory.rows_by_key.pop("row/b")
    under_test.client.transact = transact_before_outage
    outcome = await transact_settled(under_test.client, *INSERT)
    assert isinstance(outcome.err_value, Unknown)
    assert "row/b" in under_test.memory.rows_by_key


async def test_pages_of_a_scan_are_in_order_and_complete(
    under_test: PlatformUnderTest,
) -> None:
    for number in range(7):
        await under_test.memory.transact(
            [], [PutRow(f"page/{number}", {"n": number})], "t"
        )
    found: list[int] = []
    after = ""
    while page := (await under_test.client.scan("page/", after, 3)).ok_value:
        found.extend(row.value["n"] for row in page)
        after = page[-1].key
    assert found == list(range(7))


async def test_part_of_an_object_can_be_read(under_test: PlatformUnderTest) -> None:
    assert (await under_test.client.get_object("object/a", 2, 3)).ok_value == b"234"
    assert (await under_test.client.get_object("object/none")).ok_value is None
