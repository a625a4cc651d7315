"""Claims of trials of quarantined requests, while other instances write the same row.

Guards against a trial that was due and refused: every instance writes the row when it
puts the request in quarantine, and the claim of one whose copy was a moment old failed.
"""

import pytest

from caperridge.decisions.quarantine import Quarantine
from caperridge.decisions.suspects import LostRun
from caperridge.elapsed import elapsed_s
from caperridge.gateway import held_rows
from caperridge.gateway.clock import StoreClock
from caperridge.gateway.held_rows import QuarantineTable
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
