"""Old keyed calls are forgotten; what is young or changed stays."""

import pytest

from caperridge import keys
from caperridge.commands.forget_call import delete_call
from caperridge.commands.plain_claims import claim_call, record_answer, release_call
from caperridge.commands.sessions import open_session
from caperridge.decisions.membership import Membership
from caperridge.decisions.plain_calls import DONE, KEY_RETENTION_S, RUNNING, CallClaim
from caperridge.instance import call_sweeper
from caperridge.instance.call_sweeper import CallSweeper


async def recorded(memory, key: str, ended: float) -> None:
    row = keys.call("heat", "billing", key)
    claim = CallClaim(RUNNING, f"req-{key}", "d", "s1", ended - 1.0)
    await claim_call(memory, row, claim)
    done = claim.replace(state=DONE, ended=ended, status=200, body=b"x" * 20_000)
    await record_answer(memory, row, done)


@pytest.fixture
async def sweeper(memory, monkeypatch) -> CallSweeper:
    monkeypatch.setattr(call_sweeper, "PAGE", 2)
    await open_session(memory, "s1", "i", 5.0)
    for number in range(5):
        await recorded(memory, f"old{number}", ended=0.0)
        await recorded(memory, f"young{number}", ended=100.0)
    return CallSweeper(
        memory, Membership("one", "oviedo"), lambda: KEY_RETENTION_S + 50.0
    )


async def test_only_old_calls_are_forgotten(memory, sweeper) -> None:
    for _ in range(8):
        await sweeper.idle()
    young = {keys.call("heat", "billing", f"young{number}") for number in range(5)}
    assert {k for k in memory.rows_by_key if k.startswith(keys.CALLS)} == young
    assert len(memory.objects_by_name) == 5


async def test_a_call_that_changed_since_it_was_read_stays(memory, sweeper) -> None:
    key = keys.call("heat", "billing", "new")
    claim = CallClaim(RUNNING, "r1", "d", "s1", 0.0)
    await claim_call(memory, key, claim)
    read = memory.rows_by_key[key]
    await release_call(memory, key, "r1")
    await claim_call(memory, key, claim.replace(request="r2"))
    assert memory.rows_by_key[key].version == read.version
    await delete_call(memory, read)
    assert memory.rows_by_key[key].value["request"] == "r2"
