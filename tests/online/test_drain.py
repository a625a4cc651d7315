"""Online requests while their instance stops as planned."""

import asyncio
from types import SimpleNamespace

import pytest

from caperridge.instance.drain import FINISHING, STOPPED
from conftest import Fleet, until

TOKENS = 800  # their steps alone take longer than the balancer needs
BODY = {"model": "chat", "prompt": "alarm 17?", "max_tokens": TOKENS}
BALANCER_S = 0.5  # long beside one short request, also on a busy machine
DRAIN_S = 60.0


async def test_requests_of_an_instance_that_stops_are_answered_whole(
    fleet: Fleet,
) -> None:
    fleet.instance.settings.balancer_s = BALANCER_S
    fleet.instance.settings.drain_s = DRAIN_S
    ask = asyncio.create_task(fleet.post("/v1/completions", BODY))
    while not fleet.instance.online.in_flight:
        await asyncio.sleep(0.001)
    drained = asyncio.create_task(fleet.instance.drain.run())
    await asyncio.sleep(0)
    assert fleet.instance.not_ready_because()
    status, _ = await fleet.post("/v1/completions", BODY | {"max_tokens": 2})
    assert status == 200  # the balancer has not moved on yet
    await until(lambda: fleet.instance.drain.stage == FINISHING)
    assert not ask.done()  # the stop waits for it
    status, answer = await ask
    assert status == 200
    assert answer["usage"]["completion_tokens"] == TOKENS
    await drained
    assert fleet.instance.drain.cut == []
    for engine in fleet.engines_by_id.values():
        assert set(engine.runs_by_request.values()) <= {1}


async def test_errors_in_the_steps_of_a_stop_end_no_other(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Else the process ends on the spot, with whatever it had still read.

    Found by making each step fail that gives away what peers go on with.

    Proved by: the stop below raises at its first step, with a request under way.
    """
    instance = fleet.instance
    instance.settings.balancer_s = BALANCER_S
    instance.settings.drain_s = DRAIN_S
    ask = asyncio.create_task(fleet.post("/v1/completions", BODY))
    while not instance.online.in_flight:
        await asyncio.sleep(0.001)
    reached: set[str] = set()

    def fails(step: str) -> None:
        reached.add(step)
        raise RuntimeError("broken")

    peers = SimpleNamespace(leave=lambda: fails("told"))
    monkeypatch.setattr(instance, "mesh", peers)
    monkeypatch.setattr(instance.keyed_calls, "wait_idle", lambda: fails("calls"))
    monkeypatch.setattr(instance.dispatcher, "release", lambda _: fails("batch"))
    monkeypatch.setattr(instance.session, "close", lambda: fails("session"))
    await instance.drain.run()
    monkeypatch.undo()
    assert instance.drain.stage == STOPPED
    assert instance.drain.cut == []
    assert (await ask)[0] == 200
    assert reached == {"told", "calls", "batch", "session"}


async def test_a_call_of_an_operator_that_runs_at_the_end_is_answered(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It may wait for the platform; its caller must learn what became of it.

    Found by asking which requests a stop does not count: those of operators.

    Proved by: the connection of the call below ends with no answer.
    """
    begun = asyncio.Event()

    async def slow(_: str) -> dict[str, str]:
        begun.set()
        await asyncio.sleep(1.0)  # twice as long as callers' requests are waited for
        return {"outcome": "answered"}

    monkeypatch.setattr(fleet.instance.explanations, "explain", slow)
    call = asyncio.create_task(fleet.operate("/requests/r1"))
    await begun.wait()
    await fleet.instance.stop()
    assert await call == (200, {"outcome": "answered"})
