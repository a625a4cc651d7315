"""Hedged calls of the store, whose answers may be lost or late.

Guards against jobs that are accepted too late. When the store lost the answers of a
third of the writes, a job whose write was affected was accepted 2 to 4 s after its
submission, one call time-out each time, where its caller allows 0.4 s.
"""

import asyncio

import pytest
from result import Err, Ok, Result

from caperridge.gateway.repeating_store import (
    HEDGE_DELAY_RATIO,
    MAX_CALLS,
    MIN_HEDGE_DELAY_S,
    HedgingStore,
)
from caperridge.gateway.rows import (
    Done,
    Refused,
    Rejected,
    RowKey,
    StoredRow,
    Transaction,
    TransactionError,
)
from caperridge.platform import store as platform_store
from caperridge.store.interface import NotDone, Unknown
from gateway.conftest import World, until
from gateway.memory_rows import MemoryRows
from gateway.test_jobs import ITEMS, listed

TRANSACTION = Transaction({RowKey("t", "", "a"): 0}, {RowKey("t", "", "a"): b"1"})
ROW = StoredRow(RowKey("t", "", "a"), b"1", 3)


class ScriptedStore(MemoryRows):
    """Answers transactions with the given results in turn; None never answers."""

    def __init__(self) -> None:
        self.answers: list[Result[Done, TransactionError] | None] = []
        self.calls = 0

    async def transact(
        self, transaction: Transaction
    ) -> Result[Done, TransactionError]:
        answer = self.answers[self.calls]
        self.calls += 1
        if answer is None:
            await asyncio.Event().wait()
        if answer is UNANSWERED:
            await until(lambda: self.calls == len(self.answers))
        assert answer is not None
        return answer


@pytest.fixture
def scripted() -> ScriptedStore:
    return ScriptedStore()


DONE = Ok(Done(3, 1.0))
REFUSED = Err(Refused([ROW]))
UNKNOWN = Err(Unknown("lost"))
NOT_DONE = Err(NotDone("busy"))
REJECTED = Err(Rejected("too large"))
UNSETTLED = Err(Unknown("none of several calls was answered"))
# Times out after the other calls have finished.
UNANSWERED = Err(Unknown("no answer in time"))


@pytest.mark.parametrize(
    ("answers", "result", "calls"),
    [
        ([DONE], DONE, 1),
        ([NOT_DONE], NOT_DONE, 1),
        ([UNKNOWN], UNKNOWN, 1),
        ([None, DONE], DONE, 2),
        # The first call took effect and its answer was lost; the second finds the row.
        ([None, REFUSED], REFUSED, 2),
        ([None, UNKNOWN, DONE], DONE, 3),
        ([None, None, REFUSED], REFUSED, 3),
        # That the second call was not done says nothing about the first.
        ([None, NOT_DONE, DONE], DONE, 3),
        ([UNANSWERED, NOT_DONE, NOT_DONE], UNSETTLED, 3),
        # Every call of the same transaction is refused for good.
        ([None, REJECTED], REJECTED, 2),
    ],
)
async def test_an_overdue_call_is_made_again(
    scripted: ScriptedStore,
    answers: list[Result[Done, TransactionError] | None],
    result: Result[Done, TransactionError],
    calls: int,
) -> None:
    scripted.answers = answers
    assert await HedgingStore(scripted).transact(TRANSACTION) == result
    assert scripted.calls == calls


async def test_a_store_that_says_nothing_gets_few_calls(
    scripted: ScriptedStore,
) -> None:
    scripted.answers = [None] * (MAX_CALLS + 1)
    call = asyncio.create_task(HedgingStore(scripted).transact(TRANSACTION))
    await until(lambda: scripted.calls == MAX_CALLS)
    await asyncio.sleep(MIN_HEDGE_DELAY_S * 2)
    assert scripted.calls == MAX_CALLS
    call.cancel()


async def test_a_slow_store_is_waited_for(scripted: ScriptedStore) -> None:
    store = HedgingStore(scripted)
    assert store.hedge_delay_s("transact") == MIN_HEDGE_DELAY_S
    store._mean_s_by_call["transact"] = 0.5
    assert store.hedge_delay_s("transact") == 0.5 * HEDGE_DELAY_RATIO


async def test_a_job_is_accepted_at_once_though_answers_are_lost(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Longer than any test waits, so only a hedged call can succeed.
    monkeypatch.setattr(platform_store, "CALL_TIMEOUT_S", 60.0)
    runner = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    world.store.lose_answers = 2
    world.store.lose_silently = True
    assert (await world.submit(instance, "j1", ITEMS)).status == 202
    results = await listed(world, instance, "j1", len(ITEMS))
    assert sorted(one["id"] for one in results) == ITEMS
    assert len(runner.runs) == len(ITEMS)
