"""Claims of trials of quarantined requests, while other instances write the same row.

Guards against a trial that was due and refused: every instance writes the row when it
puts the request in quarantine, and the claim of one whose copy was a moment old failed.
"""

import asyncio

import pytest

from caperridge.decisions.quarantine import Quarantine
from caperridge.decisions.suspects import LostRun
from caperridge.elapsed import elapsed_s
from caperridge.gateway import held_rows, trial_claims
from caperridge.gateway.clock import StoreClock
from caperridge.gateway.held_rows import QuarantineTable
from caperridge.gateway.rows import Transaction
from caperridge.gateway.watcher import StoreReachability
from gateway.memory_rows import MemoryRows

CONTENT = "c1"
CALLER = "caller"
LONG_S = 5000.0


def _table(rows: MemoryRows) -> QuarantineTable:
    """Return the table of an instance that has put the request in quarantine."""
    clock = StoreClock()
    clock.update(1000.0)
    reach = StoreReachability()
    reach.reached = True
    quarantine = Quarantine()
    now = elapsed_s()
    for number in range(3):
        run = LostRun(CONTENT, CALLER, 0.1, 0)
        quarantine.record_crash(f"t{number}", [run], now - 10 + number, "e-0")
    assert quarantine.evaluate(now)
    return QuarantineTable(rows, clock, reach, quarantine)


@pytest.fixture
def tables() -> list[QuarantineTable]:
    rows = MemoryRows([], [])
    return [_table(rows) for _ in range(3)]


class LateRows(MemoryRows):
    """Rows whose writes are answered once ``answering`` is set."""

    def __init__(self) -> None:
        super().__init__([], [])
        self.answering = asyncio.Event()

    async def transact(self, transaction: Transaction):
        answer = await super().transact(transaction)
        await self.answering.wait()
        return answer


def _suspect(table: QuarantineTable):
    return table._quarantine.by_content[CONTENT]


async def test_a_due_trial_is_claimed_though_another_wrote_the_row(
    tables: list[QuarantineTable], monkeypatch: pytest.MonkeyPatch
) -> None:
    first, second, _ = tables
    assert await first._write(CONTENT)
    real = elapsed_s
    monkeypatch.setattr(held_rows, "elapsed_s", lambda: real() + LONG_S)
    assert await second.claim_trial(_suspect(second))


async def test_one_of_many_claims_a_trial(
    tables: list[QuarantineTable], monkeypatch: pytest.MonkeyPatch
) -> None:
    real = elapsed_s
    monkeypatch.setattr(held_rows, "elapsed_s", lambda: real() + LONG_S)
    claimed = [await one.claim_trial(_suspect(one)) for one in tables]
    assert claimed == [True, False, False]


async def test_a_request_that_another_instance_cleared_is_not_held_again(
    tables: list[QuarantineTable], monkeypatch: pytest.MonkeyPatch
) -> None:
    first, second, _ = tables
    assert await first._write(CONTENT)
    second.copy.apply_row(next(iter(first.copy.rows_by_key.values())))
    first._quarantine.clear(CONTENT, elapsed_s())
    assert await first._write(CONTENT)
    real = elapsed_s
    monkeypatch.setattr(held_rows, "elapsed_s", lambda: real() + LONG_S)
    assert not await second.claim_trial(_suspect(second))
    assert second._store.rows_by_key == {}


async def test_a_trial_that_is_granted_late_is_left_to_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against trials that a slow store used up without any being made."""
    rows = LateRows()
    first, second = _table(rows), _table(rows)
    real = elapsed_s
    monkeypatch.setattr(held_rows, "elapsed_s", lambda: real() + LONG_S)
    monkeypatch.setattr(trial_claims, "CLAIM_TIMEOUT_S", 0.01)
    assert not await first.claim_trial(_suspect(first))
    assert rows.rows_by_key, "the claim was not written"
    rows.answering.set()
    assert first.has_open_claim(_suspect(first))
    assert not await second.claim_trial(_suspect(second))
    monkeypatch.setattr(trial_claims, "CLAIM_TIMEOUT_S", LONG_S)
    assert await first.claim_trial(_suspect(first))
    assert not first.has_open_claim(_suspect(first))
    assert not await first.claim_trial(_suspect(first))


@pytest.mark.parametrize("cleared_first", [False, True])
async def test_a_late_trial_is_not_made_once_the_request_was_cleared(
    monkeypatch: pytest.MonkeyPatch, cleared_first: bool
) -> None:
    rows = LateRows()
    table = _table(rows)
    real = elapsed_s
    monkeypatch.setattr(held_rows, "elapsed_s", lambda: real() + LONG_S)
    monkeypatch.setattr(trial_claims, "CLAIM_TIMEOUT_S", 0.01)
    suspect = _suspect(table)
    assert not await table.claim_trial(suspect)
    if cleared_first:
        suspect.clear(elapsed_s())
    rows.answering.set()
    await table._claims._claims_by_content[CONTENT]
    if not cleared_first:
        suspect.clear(elapsed_s())
    assert suspect.hold is None
    assert not table.has_open_claim(suspect)
