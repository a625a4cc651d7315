"""Contract of the store, called directly and through a peer."""

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from result import Err, Ok

from caperridge.gateway.relay_codec import answer_from_plain, answer_to_plain
from caperridge.gateway.rows import (
    ABSENT,
    HistoryGone,
    Refused,
    Rejected,
    RowKey,
    RowStore,
    Transaction,
    TransactionError,
)
from caperridge.platform.store import HttpRowStore
from caperridge.store.interface import NotDone, Unknown
from gateway.conftest import World, until

PART = "p1"
NOWHERE = "http://127.0.0.1:1"


def key(name: str, part: str = PART) -> RowKey:
    return RowKey("t", part, name)


@pytest_asyncio.fixture(params=["direct", "through a peer"])
async def store(
    request: pytest.FixtureRequest, world: World
) -> AsyncIterator[RowStore]:
    direct = HttpRowStore(world.store_address)
    if request.param == "direct":
        yield direct
        await direct.close()
        return
    await world.add_instance()
    cut_off = await world.add_instance()
    await world.ready()
    await until(lambda: any(m.store_reached for m in cut_off.mesh.alive()))
    world.store_of(cut_off)._base = NOWHERE
    yield cut_off._store
    await direct.close()


async def test_rows_are_read_in_order_between_keys(store: RowStore) -> None:
    names = ["a", "b", "c", "d"]
    writes = {key(name): name.encode() for name in names} | {}
    assert isinstance(await store.transact(Transaction({}, writes)), Ok)
    await store.transact(Transaction({}, {key("z", "other"): b"other"}))
    page = (await store.read("t", PART, first="b", end="d")).ok_value
    assert [(row.key.key, row.value) for row in page.rows] == [("b", b"b"), ("c", b"c")]
    page = (await store.read("t", PART, limit=3)).ok_value
    assert (len(page.rows), page.truncated) == (3, True)
    assert page.now_s > 0


async def test_a_transaction_is_done_whole_or_not_at_all(store: RowStore) -> None:
    first = Transaction({key("a"): ABSENT}, {key("a"): b"1", key("b"): b"\x00\xff"})
    done = (await store.transact(first)).ok_value
    again = await store.transact(first)
    assert isinstance(again, Err) and isinstance(again.err_value, Refused)
    row = again.err_value.row(key("a"))
    assert row is not None
    assert (row.value, row.version) == (b"1", done.version)
    mixed = Transaction(
        {key("a"): done.version, key("b"): 999}, {key("a"): b"2"}, [key("b")]
    )
    assert isinstance((await store.transact(mixed)).err_value, Refused)
    rows = (await store.read("t", PART)).ok_value.rows
    assert [row.value for row in rows] == [b"1", b"\x00\xff"]
    removing = Transaction({key("a"): done.version}, {}, [key("a")])
    later = (await store.transact(removing)).ok_value
    assert later.version > done.version
    assert [r.key.key for r in (await store.read("t", PART)).ok_value.rows] == ["b"]


async def test_objects_are_kept_whole(store: RowStore) -> None:
    data = bytes(range(256)) * 5000
    assert (await store.get_object("o")).ok_value is None
    assert isinstance(await store.put_object("o", data), Ok)
    assert isinstance(await store.put_object("o", data), Ok)
    assert (await store.get_object("o")).ok_value == data
    assert isinstance(await store.drop_object("o"), Ok)
    assert isinstance(await store.drop_object("o"), Ok)
    assert (await store.get_object("o")).ok_value is None


async def errors_of_calls(store: RowStore) -> list[TransactionError]:
    """Return the errors of one call of each kind, all of which fail."""
    answers = [
        await store.transact(Transaction({}, {key("a"): b"1"})),
        await store.read("t", PART),
        await store.put_object("o", b""),
    ]
    assert all(isinstance(answer, Err) for answer in answers)
    return [answer.err_value for answer in answers]


@pytest.mark.parametrize("status", [429, 503, 507])
async def test_a_refusal_is_not_done(
    store: RowStore, world: World, status: int
) -> None:
    world.store.refuse = status
    for error in await errors_of_calls(store):
        assert isinstance(error, NotDone)
    world.store.refuse = None
    assert (await store.read("t", PART)).ok_value.rows == []


@pytest.mark.parametrize("status", [400, 403, 413])
async def test_a_call_that_is_refused_for_good_is_told_apart(
    store: RowStore, world: World, status: int
) -> None:
    """Guards against a caller that repeats what the store will never do."""
    world.store.refuse = status
    for error in await errors_of_calls(store):
        assert isinstance(error, Rejected)


@pytest.mark.parametrize("status", [408, 429, 500, 503, 507])
async def test_a_call_that_may_be_repeated_is_not_refused_for_good(
    store: RowStore, world: World, status: int
) -> None:
    """Guards against work that is given up when the store is busy or fails."""
    world.store.refuse = status
    answer = await store.transact(Transaction({}, {key("a"): b"1"}))
    assert isinstance(answer, Err)
    assert not isinstance(answer.err_value, Rejected)


BIG = b"a" * 48_000
OVER_LIMITS = {
    "entries": Transaction({}, {key(str(number)): b"" for number in range(101)}),
    "bytes": Transaction({}, {key(str(number)): BIG for number in range(16)}),
    "a value": Transaction({}, {key("a"): b"a" * 49_153}),
    "a key": Transaction({}, {key("a" * 201): b""}),
    "a partition": Transaction({}, {}, [key("a", "p" * 201)]),
}


@pytest.mark.parametrize("over", OVER_LIMITS)
async def test_a_transaction_over_a_limit_is_not_sent(
    store: RowStore, world: World, over: str
) -> None:
    """Guards against the price of a call whose refusal is known before it."""
    answer = await store.transact(OVER_LIMITS[over])
    assert isinstance(answer, Err)
    assert isinstance(answer.err_value, Rejected)
    assert world.store.over_limit == []


async def test_a_transaction_at_the_limits_is_done(
    store: RowStore, world: World
) -> None:
    """Guards against limits that refuse what the store takes."""
    at_limits = [
        Transaction({}, {key(str(number)): b"" for number in range(100)}),
        Transaction({}, {key(str(number)): BIG for number in range(15)}),
        Transaction({}, {key("a" * 200): b"a" * 49_152}),
    ]
    for transaction in at_limits:
        assert isinstance(await store.transact(transaction), Ok)
    assert world.store.over_limit == []


def test_an_earlier_release_takes_a_rejection_for_a_call_that_was_not_done() -> None:
    """Guards against a rejection that reads as success at an instance of before."""
    outcome, fields = answer_to_plain(Err(Rejected("too large")))
    answer = answer_from_plain("transact", outcome, fields)
    assert answer == Err(NotDone("too large"))


async def test_a_lost_answer_is_unknown_never_not_done(
    store: RowStore, world: World
) -> None:
    world.store.lose_answers = 1
    answer = await store.transact(Transaction({}, {key("a"): b"1"}))
    assert isinstance(answer, Err)
    assert isinstance(answer.err_value, Unknown)
    assert [row.value for row in (await store.read("t", PART)).ok_value.rows] == [b"1"]


@pytest.fixture
def direct(world: World) -> HttpRowStore:
    return HttpRowStore(world.store_address)


async def test_changes_come_as_soon_as_there_are_some(
    world: World, direct: HttpRowStore
) -> None:
    since = (await direct.read("t")).ok_value.version
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    watching = asyncio.ensure_future(direct.changes("t", since, 5.0))
    await asyncio.sleep(0.05)
    world.store.put("other", "x", 1)
    world.store.put("t", "a", 1)
    page = (await watching).ok_value
    assert [row.key.key for row in page.rows] == ["a"]
    assert loop.time() - started_at < 2.0
    world.store.remove("t", "a")
    page = (await direct.changes("t", page.version, 1.0)).ok_value
    assert [(row.key.key, row.removed) for row in page.rows] == [("a", True)]
    nothing = (await direct.changes("t", page.version, 0.05)).ok_value
    assert nothing.rows == []
    await direct.close()


async def test_forgotten_history_is_said(world: World, direct: HttpRowStore) -> None:
    world.store.put("t", "a", 1)
    world.store.expire_history()
    answer = await direct.changes("t", 0, 0.05)
    assert answer.err_value == HistoryGone()
    await direct.close()


async def test_no_connection_is_not_done_and_not_reached() -> None:
    nowhere = HttpRowStore("127.0.0.1:1")
    answer = await nowhere.transact(Transaction({}, {key("a"): b"1"}))
    assert isinstance(answer.err_value, NotDone)
    assert not answer.err_value.reached
    await nowhere.close()
